"""Callers of one member that wait until the store answers again."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from ..decisions.store_outage import OutageView, Reject, RejectReason, decide
from ..reporting.events import Event, log_event
from ..reporting.metrics import Count

CHECK_SECONDS = 0.05
# Interval at which one waiting submission is tried, since the owner or a transaction
# may succeed while this member's reads of the store fail.
PROBE_SECONDS = 0.25
# Callers time out after 3 s, so the answer has to be sent earlier.
REPLY_WITHIN_SECONDS = 2.8
REPLY_MARGIN_SECONDS = 0.2


@dataclass(slots=True)
class Caller:
    """The caller of one submission.

    Attributes
    ----------
    answer_by : float
        Loop time by which the answer has to be sent.
    is_time_known : bool
        Whether the caller said how long it waits.
    is_connected : callable
        Returns whether an answer still reaches the caller.
    has_waited : bool
        Whether the caller has been told to wait.
    """

    answer_by: float
    is_time_known: bool = False
    is_connected: object = lambda: True
    has_waited: bool = False


def make_caller(received_at, deadline_ms=None, is_connected=lambda: True):
    """Return the `Caller` of a request.

    Parameters
    ----------
    received_at : float
        Loop time at which the request arrived.
    deadline_ms : int or None
        How long the caller waits for this answer, None if it did not say.
    is_connected : callable
    """
    seconds = REPLY_WITHIN_SECONDS
    if deadline_ms is not None:
        seconds = min(seconds, deadline_ms / 1000 - REPLY_MARGIN_SECONDS)
    return Caller(received_at + seconds, deadline_ms is not None, is_connected)


class Release(Enum):
    """End of a wait after which the submission is tried again."""

    TRY_AGAIN = "tryAgain"


@dataclass(slots=True, eq=False)
class _Entry:
    caller: Caller
    size: int
    future: asyncio.Future


class OutageQueue:
    """Holds callers for as long as `store_outage.decide` allows.

    Parameters
    ----------
    is_available : callable
        Returns whether the store answers this member.
    probe_store : callable
        Reads from the store now, unless it did so shortly before.
    metrics : Metrics
    """

    def __init__(self, is_available, probe_store, metrics):
        self._is_available = is_available
        self._probe_store = probe_store
        self._metrics = metrics
        self._entries = {}
        self._bytes = 0
        self._task = None
        self._probe_at = 0.0

    def __len__(self):
        return len(self._entries)

    async def wait(self, job, size, caller, age_seconds, is_isolated):
        """Wait for the store; return `Release.TRY_AGAIN` or a `RejectReason`."""
        loop = asyncio.get_running_loop()
        if not caller.is_connected():
            return RejectReason.DISCONNECTED
        view = OutageView(
            age_seconds,
            caller.answer_by - loop.time(),
            is_isolated,
            caller.has_waited,
            len(self._entries),
            self._bytes,
        )
        decision = decide(view, size)
        if isinstance(decision, Reject):
            return decision.reason
        if not caller.has_waited:
            caller.has_waited = True
            self._metrics.count(Count.STORE_WAITS)
            log_event(
                Event.JOB_WAITS,
                job=job,
                outage_seconds=round(view.age_seconds, 3),
                time_left=round(view.remaining_seconds, 3),
                waiting=view.waiting_count,
                waiting_bytes=view.waiting_bytes,
            )
        entry = _Entry(caller, size, loop.create_future())
        self._entries[entry] = None
        self._bytes += size
        if self._task is None or self._task.done():
            self._probe_at = loop.time() + PROBE_SECONDS
            self._task = asyncio.create_task(self._run())
        try:
            async with asyncio.timeout(decision.seconds):
                return await entry.future
        except TimeoutError:
            return RejectReason.STILL_UNAVAILABLE
        finally:
            del self._entries[entry]
            self._bytes -= size

    def release_all(self):
        """Let every waiting submission be tried again."""
        for entry in self._entries:
            _resolve(entry, Release.TRY_AGAIN)

    async def _run(self):
        """Release the callers once the store answers, and drop those that are gone."""
        loop = asyncio.get_running_loop()
        while self._entries:
            await asyncio.sleep(CHECK_SECONDS)
            for entry in self._entries:
                if not entry.caller.is_connected():
                    _resolve(entry, RejectReason.DISCONNECTED)
            if self._is_available():
                self.release_all()
                continue
            self._probe_store()
            if loop.time() >= self._probe_at and self._entries:
                self._probe_at = loop.time() + PROBE_SECONDS
                _resolve(next(iter(self._entries)), Release.TRY_AGAIN)


def _resolve(entry, result):
    if not entry.future.done():
        entry.future.set_result(result)
