"""Runs that occupy a worker, as the owner of its shard knows them."""

from dataclasses import dataclass
from enum import Enum

from cactustiller.model import NOTHING, Resources, RunRecord, RunState
from cactustiller.model.messages import RunKey, RunReport


class RunPhase(Enum):
    """Progress of a run on a worker."""

    RESERVED = "reserved"
    RECOVERED = "recovered"
    STARTING = "starting"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True)
class RunEntry:
    """One run; times without a unit in the name are on the worker's clock.

    Parameters
    ----------
    record : RunRecord
    phase : RunPhase
    reserved_until_loop_seconds : float
        End of a reservation on the loop's clock.
    running_since_loop_seconds : float
        Start of the run on the loop's clock.
    start_before : float
        Latest start that any message sent so far allows; 0 if none was sent.
    lease_until : float or None
        Latest lease granted; None if a former owner granted it.
    unanswered_starts : int
        Starts sent that the worker has not answered and may yet act on.
    answered_at : float
        The worker's clock at its last answer to a start.
    is_inherited : bool
        Whether a former owner may have started and renewed the run.
    is_stopping, checkpoint : bool
        Whether a stop is wanted, and whether after a checkpoint.
    needs_apply : bool
        Whether the worker must be told something.
    usage : Resources
        What the worker last said that the run uses.
    report : RunReport or None
        Latest state for the run's home.
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
    usage: Resources = NOTHING
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

    def set_state(self, state, reason="", run_seconds=0.0):
        """Set the state that the run's home has to learn of."""
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
        """Make the home learn the run's state again, with its age at loop time."""
        if self.report.state is RunState.RUNNING:
            seconds = now - self.running_since_loop_seconds
            self.set_state(RunState.RUNNING, run_seconds=seconds)
        self.is_reported = False


def make_run_key(record):
    """Return the `RunKey` of anything with job, index and attempt."""
    return RunKey.model_construct(
        job=record.job, index=record.index, attempt=record.attempt
    )


def run_row_key(shard, job, index):
    """Return the key of the row that holds a committed assignment."""
    return f"run/{shard}/{job}/{index}"
