"""Executors in the platform's instance list, and which may receive requests."""

import asyncio

import structlog

from cactustiller.model import InstanceState
from cactustiller.model.supervision import keep_running
from cactustiller.ports import InstanceListing

POLL_INTERVAL_SECONDS = 0.5

log = structlog.get_logger(__name__)


class ExecutorDirectory:
    """Executors by id, refreshed from the platform's instance list.

    Parameters
    ----------
    port : InstanceListPort
    evacuations : ZoneEvacuations
    """

    def __init__(self, port, evacuations):
        self.listing = InstanceListing()
        self.evacuations = evacuations
        self._port = port
        self._executors = {}
        self._leaving = set()
        self._task = None

    async def start(self):
        """Load the list once, then poll it in the background."""
        await self.poll()
        self._task = asyncio.create_task(
            keep_running("poll instance list", self._poll_regularly)
        )

    async def stop(self):
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def poll(self):
        """Read the list; if that fails, the previous one stays in use."""
        answer = await self._port.list_instances()
        if answer.is_err():
            log.warning("instance_list_unavailable", reason=str(answer.unwrap_err()))
            return
        self.listing = answer.unwrap()
        self._executors = {info.executor: info for info in self.listing.backends}
        self._leaving &= self._executors.keys()

    def mark_leaving(self, executor):
        """Record that an executor reported that it is leaving."""
        if executor not in self._leaving:
            log.info("executor_leaving", executor=executor)
        self._leaving.add(executor)

    def is_usable(self, executor):
        """Return whether an executor may receive new requests."""
        info = self._executors.get(executor)
        return (
            info is not None
            and info.state is InstanceState.LIVE
            and executor not in self._leaving
            and not self.is_evacuated(executor)
        )

    def is_evacuated(self, executor):
        """Return whether a listed executor is in a zone that is being evacuated."""
        info = self._executors.get(executor)
        return info is not None and info.zone in self.evacuations.zones

    def list_evacuated(self, service):
        """Return the ids of a service's executors in evacuated zones."""
        zones = self.evacuations.zones
        if not zones:
            return []
        return [
            info.executor
            for info in self._executors.values()
            if info.service == service and info.zone in zones
        ]

    def get(self, executor):
        """Return the `BackendInfo` of an executor, ``None`` if it is not listed."""
        return self._executors.get(executor)

    def list_usable(self, service):
        """Return the ids of a service's executors that may receive requests."""
        return {
            info.executor
            for info in self._executors.values()
            if info.service == service and self.is_usable(info.executor)
        }

    def list_services(self):
        """Return the services of the listed executors."""
        return {info.service for info in self._executors.values()}

    def has_service(self, service):
        """Return whether any executor of a service is listed."""
        return any(info.service == service for info in self._executors.values())

    async def _poll_regularly(self):
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            await self.poll()
