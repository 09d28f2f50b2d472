"""Runs on a worker, as recorded by the owner of its shard.

A run is one attempt of a task on a worker.
"""

from dataclasses import dataclass
from enum import Enum

from cactustiller.model import NO_RESOURCES, Resources, RunRecord, RunState
from cactustiller.model.messages import RunKey, RunReport


class RunPhase(Enum):
    """Phase of a run on a worker."""

    RESERVED = "reserved"
    RECOVERED = "recovered"
    STARTING = "starting"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True)
class RunEntry:
    """One run. Times without a unit in their name are seconds of the worker's clock.

    Parameters
    ----------
    record : RunRecord
    phase : RunPhase
    reserved_until_loop_seconds : float
        End of the reservation in loop time.
    running_since_loop_seconds : float
        Start of the run in loop time.
    start_before : float
        Latest start that any start message sent so far allows; 0 if none was sent.
    lease_until : float or None
        Latest end of a granted lease; None if a previous owner granted it.
    unanswered_starts : int
        Number of start messages that the worker has not answered and may still act on.
    start_answered_at : float
        The worker's clock at its last answer to a start.
    is_inherited : bool
        Whether a previous owner may have started the run and renewed its lease.
    is_stopping, checkpoint : bool
        Whether a stop is requested, and whether the task is to checkpoint first.
    needs_apply : bool
        Whether the next `Apply` has to contain a start, renewal or stop of the run.
    usage : Resources
        Resources in use as last reported by the worker.
    report : RunReport or None
        Latest state to report to the run's home.
    is_reported : bool
        Whether the home has acknowledged `report`.
    """

    record: RunRecord
    phase: RunPhase
    reserved_until_loop_seconds: float = 0.0
    running_since_loop_seconds: float = 0.0
    start_before: float = 0.0
    lease_until: float | None = 0.0
    unanswered_starts: int = 0
    start_answered_at: float = 0.0
    is_inherited: bool = False
    is_stopping: bool = False
    checkpoint: bool = False
    needs_apply: bool = False
    usage: Resources = NO_RESOURCES
    report: RunReport | None = None
    is_reported: bool = True

    @property
    def key(self):
        """Key of the run."""
        return make_run_key(self.record)

    @property
    def holds_capacity(self):
        """Whether the run counts against its worker's capacity."""
        return self.phase is not RunPhase.ENDED

    def is_surely_not_started(self, watched_at):
        """Return whether no start message that was sent can take effect any more.

        Parameters
        ----------
        watched_at : float
            The worker's clock when it last reported its runs, without this one.
        """
        return not self.unanswered_starts or watched_at > self.start_before

    def set_state(self, state, reason="", run_seconds=0.0):
        """Set the run's state and a new report of it for the home."""
        self.report = RunReport(
            run=self.key,
            state=state,
            worker=self.record.worker,
            reason=reason,
            run_seconds=run_seconds,
        )
        self.is_reported = False
        if state is RunState.RUNNING:
            self.phase = RunPhase.RUNNING
        else:
            self.phase = RunPhase.ENDED

    def refresh_report(self, now):
        """Mark the report as unsent, with the run time as of loop time `now`."""
        if self.report.state is RunState.RUNNING:
            seconds = now - self.running_since_loop_seconds
            self.set_state(RunState.RUNNING, run_seconds=seconds)
        self.is_reported = False


def make_run_key(record):
    """Return the `RunKey` of an object with a job, an index and an attempt."""
    return RunKey.model_construct(
        job=record.job, index=record.index, attempt=record.attempt
    )


def run_row_key(shard, job, index):
    """Return the key of the table row of a committed assignment."""
    return f"run/{shard}/{job}/{index}"
