"""Sends arrivals when they are due, whether or not earlier ones were answered."""

import asyncio

from result import Ok

from cactustiller.model import WorkloadKind

from .outcomes import Moment, Result, Tracked
from .workload import RequestLoad

SAMPLE_SECONDS = 1.0
STATUS_CALLS = 16
FINAL = (Result.SUCCEEDED, Result.FAILED, Result.CANCELLED)


class Replay:
    """Open-loop replay of a workload's arrivals.

    Parameters
    ----------
    submitter : GatewayClient
        With the key that submits.
    operator : GatewayClient
        Reads statistics, once a second.
    arrivals : list of Arrival
    workload : Workload

    Attributes
    ----------
    tracked : list of Tracked
        Arrivals sent so far.
    moments : list of Moment
        Samples of the cell over time.
    """

    def __init__(self, submitter, operator, arrivals, workload):
        self.tracked = []
        self.moments = []
        self.lost_samples = 0
        self._submitter = submitter
        self._operator = operator
        self._arrivals = arrivals
        self._workload = workload
        self._begin = 0.0
        self._calls = set()

    @property
    def elapsed_seconds(self):
        """Seconds since the begin."""
        return asyncio.get_running_loop().time() - self._begin

    async def run(self, on_progress=lambda replay: None):
        """Send everything, wait for the jobs and read what became of them."""
        self._begin = asyncio.get_running_loop().time()
        sampling = asyncio.create_task(self._sample_regularly(on_progress))
        try:
            await self._send_all()
            await self._wait_for_jobs()
        finally:
            sampling.cancel()
            await asyncio.gather(sampling, return_exceptions=True)
        await self._stop_services()

    async def _send_all(self):
        for arrival in self._arrivals:
            # A fixed schedule: a slow cell must not slow the arrivals.
            await self._sleep_until(arrival.at)
            tracked = Tracked(arrival, late_seconds=self.elapsed_seconds - arrival.at)
            self.tracked.append(tracked)
            is_request = isinstance(arrival.load, RequestLoad)
            self._spawn(self._request(tracked) if is_request else self._submit(tracked))
        await self._sleep_until(self._workload.duration_seconds)

    async def _sleep_until(self, at):
        await asyncio.sleep(max(0.0, at - self.elapsed_seconds))

    async def _submit(self, tracked):
        arrival = tracked.arrival
        answer = await self._submitter.submit_job(arrival.job)
        tracked.answered_seconds = self.elapsed_seconds - arrival.at
        if answer.is_err():
            tracked.note_failure(answer.unwrap_err())
            return
        tracked.job = answer.unwrap().job
        tracked.result = Result.ACCEPTED
        if arrival.cancel_at is not None:
            await self._sleep_until(arrival.cancel_at)
            await self._submitter.cancel_job(tracked.job)

    async def _request(self, tracked):
        arrival = tracked.arrival
        answer = await self._submitter.send_request(
            arrival.load.service,
            b"",
            deadline_seconds=arrival.load.deadline_seconds,
            work_ms=arrival.work_ms,
        )
        tracked.answered_seconds = self.elapsed_seconds - arrival.at
        if answer.is_err():
            tracked.note_failure(answer.unwrap_err())
        else:
            tracked.result = Result.SUCCEEDED

    async def _wait_for_jobs(self):
        until = self._workload.duration_seconds + self._workload.drain_seconds
        while True:
            await self._read_statuses()
            is_over = not self._calls and not any(map(_is_open, self.tracked))
            if is_over or self.elapsed_seconds >= until:
                break
            await asyncio.sleep(SAMPLE_SECONDS)
        for call in list(self._calls):
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)

    async def _read_statuses(self):
        slots = asyncio.Semaphore(STATUS_CALLS)

        async def read(tracked):
            async with slots:
                answer = await self._submitter.get_job(tracked.job)
            if isinstance(answer, Ok):
                tracked.note_status(answer.ok())

        waiting = [
            tracked
            for tracked in self.tracked
            if tracked.job and tracked.result not in FINAL
        ]
        await asyncio.gather(*(read(tracked) for tracked in waiting))

    async def _stop_services(self):
        left = [
            tracked.job
            for tracked in self.tracked
            if tracked.job and tracked.result not in FINAL
        ]
        await asyncio.gather(*(self._submitter.cancel_job(job) for job in left))

    async def _sample_regularly(self, on_progress):
        while True:
            await self._sample()
            on_progress(self)
            await asyncio.sleep(SAMPLE_SECONDS)

    async def _sample(self):
        at = self.elapsed_seconds
        answer = await self._operator.get_stats()
        if answer.is_err():
            self.lost_samples += 1
            return
        stats = answer.unwrap()
        reserved = getattr(stats, "packing", {}).get("reserved", {})
        packing = max(reserved.values(), default=0.0)
        self.moments.append(Moment(at, packing, getattr(stats, "teams", {})))

    def _spawn(self, coroutine):
        call = asyncio.create_task(coroutine)
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)


def _is_open(tracked):
    if tracked.result is Result.PENDING:
        return True
    if tracked.result is not Result.ACCEPTED:
        return False
    is_service = tracked.arrival.load.kind is WorkloadKind.SERVICE
    # A service without an end counts once it runs.
    return not is_service or tracked.first_start_seconds is None
