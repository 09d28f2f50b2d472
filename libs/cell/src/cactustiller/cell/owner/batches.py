"""Batches of changes that an owner stores before they take effect; no I/O."""

from dataclasses import dataclass, field

from ..configuration import MAX_ROW_BYTES
from ..decisions.placement_round import Placement
from ..records.progress_rows import make_progress_puts
from .row_groups import find_progress_limits
from .run_control import RunControl

# A placement that is older than this when its batch is stored is discarded, and its
# task is scheduled again. The limit allows for four transactions of a store that is
# sixty times slower than usual. For newer placements the worker's state is checked.
MAX_PLACEMENT_AGE_SECONDS = 2.5
# Delay before the rows of a job that the store has refused are written again.
REFUSED_PAUSE_SECONDS = 2.0


@dataclass(slots=True)
class Batch:
    """Changes to store in one transaction, with their effects once it commits.

    Attributes
    ----------
    rows : dict of JobId to (dict of RowKey to bytes or None)
        Progress rows to put or, if None, to remove; the most urgent jobs first.
    new_jobs : list of JobId
        Jobs whose specification rows are part of the transaction.
    states : dict of JobId to (JobRun, JobState)
        States to publish to callers once the batch is stored.
    placements : list of Placement
        Starts to send once the batch is stored.
    """

    rows: dict = field(default_factory=dict)
    new_jobs: list = field(default_factory=list)
    states: dict = field(default_factory=dict)
    placements: list[Placement] = field(default_factory=list)


class BatchCollector(RunControl):
    """Collects changed progress and placements, and applies what has been stored.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time of the event loop in seconds.
    wall_clock_ms : callable
        Returns Unix milliseconds.
    max_row_bytes : int
        Largest value that a row of the store may have.
    """

    def __init__(self, clock, wall_clock_ms, max_row_bytes=MAX_ROW_BYTES):
        super().__init__(clock, wall_clock_ms)
        self._unstored_placements = []
        self._progress_limits = find_progress_limits(max_row_bytes)
        # Jobs whose rows the store has refused, with the time of the next attempt.
        self._refused_until = {}

    def confirm_jobs(self, jobs):
        """Publish the states of jobs whose rows are stored."""
        for job_id in jobs:
            job = self.jobs.get(job_id)
            if job is not None:
                self.published_states.setdefault(job_id, job.state)

    def collect(self, max_rows, new_jobs=()):
        """Return the `Batch` of the most urgent changes; later batches take the rest.

        Callers are blocked on ended jobs, placements and new jobs, so these come first,
        in this order. Other progress is needed only by the next owner at a takeover.

        Parameters
        ----------
        max_rows : int
            Maximum number of rows in the transaction.
        new_jobs : iterable of JobId
            Jobs whose specification rows are not stored yet. The row of a job is stored
            together with its progress row or before it.
        """
        self._dirty &= self.jobs.keys()
        self._forget_refusals()
        unstored = set(new_jobs)
        ended = [job for job in self._dirty if self.jobs[job].state.is_final]
        placed = [p.task.step.job.spec.job for p in self._unstored_placements]
        batch = Batch()
        for job_id in dict.fromkeys([*ended, *placed, *unstored, *self._dirty]):
            if job_id in self._refused_until:
                continue
            is_dirty, is_new = job_id in self._dirty, job_id in unstored
            max_rows -= is_dirty + is_new
            if max_rows < 0:
                break
            if is_new:
                batch.new_jobs.append(job_id)
            if is_dirty:
                job = self.jobs[job_id]
                batch.rows[job_id] = make_progress_puts(job, *self._progress_limits)
                batch.states[job_id] = (job, job.state)
        self._dirty -= batch.rows.keys()
        later = []
        for placement in self._unstored_placements:
            is_stored = placement.task.step.job.spec.job in batch.rows
            (batch.placements if is_stored else later).append(placement)
        self._unstored_placements = later
        return batch

    @property
    def unstored_job_count(self):
        """Number of jobs whose latest progress the next batches will store."""
        return len(self._dirty - self._refused_until.keys())

    def is_unstored(self, job_id):
        """Return whether a job's latest progress is not part of a batch yet."""
        return job_id in self._dirty

    def withdraw_refused(self, batch, jobs):
        """Take jobs whose rows the store has refused out of a batch.

        Their tasks are placed again, and their rows written again, after a pause. Other
        jobs are not affected.
        """
        until = self._clock() + REFUSED_PAUSE_SECONDS
        for job_id in jobs:
            puts = batch.rows.pop(job_id, {})
            batch.states.pop(job_id, None)
            job = self.jobs.get(job_id)
            if job is None:
                continue
            # Any of the further rows may be in the store.
            job.further_rows = max(job.further_rows, len(puts) - 1)
            self._refused_until[job_id] = until
            self._dirty.add(job_id)
            for step in job.iterate_steps():
                step.retry_at = max(step.retry_at, until)
        kept = []
        for placement in batch.placements:
            task = placement.task
            if task.step.job.spec.job in jobs:
                self.reject_start(placement.worker, task, task.run, until)
            else:
                kept.append(placement)
        batch.placements = kept

    def _forget_refusals(self):
        now = self._clock()
        self._refused_until = {
            job: until for job, until in self._refused_until.items() if now < until
        }

    def confirm_batch(self, batch):
        """Publish the states of a stored batch; return the placements to start.

        Placements that are too old, whose worker is no longer schedulable or whose run
        is to be stopped are discarded, and their tasks become pending again.
        """
        for job_id, (job, state) in batch.states.items():
            # The job may have been dropped and submitted again since.
            if self.jobs.get(job_id) is job:
                self.published_states[job_id] = state
        now = self._clock()
        starts = []
        for placement in batch.placements:
            task, worker = placement.task, placement.worker
            # The run may have been released since, and its task placed again: then
            # this placement is void, and the later one is in this batch, too.
            if worker.runs.get(task.name) != (task, task.run) or task.is_start_sent:
                continue
            is_stale = now - placement.decided_at > MAX_PLACEMENT_AGE_SECONDS
            is_unusable = is_stale or not worker.is_schedulable(now)
            if is_unusable or task.is_stopping or not task.holds_capacity:
                self.reject_start(worker, task, task.run, 0.0)
                continue
            task.is_start_sent = True
            task.start_sent_at = now
            starts.append(placement)
        return starts

    def acknowledge_ends(self):
        """Acknowledge to each worker the run ends whose effects are stored.

        A worker reports an end again until it is acknowledged. May only be called when
        the last batch is stored, since `collect` already counts its changes as stored.
        """
        for worker in self.workers.values():
            unstored = worker.unstored_ends
            while unstored and unstored[0][1] not in self._dirty:
                unstored.popleft()
            first = unstored[0][0] if unstored else worker.processed_through + 1
            worker.acked_through = max(worker.acked_through, first - 1)
