"""Runs of tasks: their starts and ends, as workers answer and list them."""

from cactustiller.model import JobState, WorkerId

from .capacity import LEASE_SECONDS, CapacityTracker
from .desired import DesiredState
from .events import Event, log_event
from .health import record_failure, record_success
from .runs import RunEnd, RunPhase


class RunTracker(CapacityTracker):
    """Follows the latest run of each task.

    Parameters
    ----------
    clock : callable
        Seconds of the loop.
    wall_clock_ms : callable
        Unix milliseconds.

    Attributes
    ----------
    on_run_ended : callable
        Called with the task and the `End` of each run, before the task is settled.
    """

    def __init__(self, clock, wall_clock_ms):
        super().__init__(clock)
        self.published_states = {}
        self.desired = DesiredState()
        self.on_run_ended = _ignore_run_end
        self._wall_clock_ms = wall_clock_ms
        self._dirty = set()
        self._eligible = {}

    def apply_listing(self, worker, listing, sent_at, received_at):
        """Take what a worker says of its runs.

        Parameters
        ----------
        worker : Worker
        listing : Listing
        sent_at, received_at : float
            When the call was sent and its answer came.
        """
        if worker.born_ms and listing.born_ms > worker.born_ms:
            self._end_incarnation(worker, listing.born_ms)
        elif listing.born_ms and listing.born_ms < worker.born_ms:
            return
        worker.born_ms = listing.born_ms
        worker.update_clock_offset(listing.clock_ms, received_at)
        worker.listed_at = max(worker.listed_at, sent_at)
        for end in listing.ended:
            if end.number > worker.processed_through:
                worker.processed_through = end.number
                self._apply_end(worker, end)
        listed = {run.task: run for run in listing.active}
        self._update_orphaned_runs(worker, listing.active)
        for run in listing.active:
            self._apply_listed_run(worker, run, received_at)
        for name, (task, run) in list(worker.runs.items()):
            if name not in listed or listed[name].run < run:
                self._check_missing(worker, task, sent_at)
        if not worker.is_synchronized:
            # The fence is raised there, so a former owner grants nothing more.
            worker.cap_lease(received_at, LEASE_SECONDS)
            worker.is_synchronized = True

    def _apply_end(self, worker, end):
        tracked = worker.runs.get(end.task)
        if tracked is None or tracked[1] != end.run:
            return
        task = tracked[0]
        self._release_capacity(worker, task)
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if task.run != end.run or task.phase is RunPhase.SUCCEEDED:
            return
        worker.unstored_ends.append((end.number, task.step.job.spec.job))
        log_event(
            Event.RUN_ENDED,
            job=task.step.job.spec.job,
            task=task.name,
            run=end.run,
            worker=worker.info.worker,
            end=end.end.value,
        )
        self.on_run_ended(task, end.end)
        if end.end is RunEnd.DONE and not task.step.spec.is_service:
            record_success(worker)
            self._succeed(task)
        elif end.end is RunEnd.FAILED:
            task.step.failed_on.add(worker.info.worker)
            record_failure(worker, task, self.workers.values(), self._clock())
            self._fail(task)
        else:
            self._requeue(task)

    def _succeed(self, task):
        step = task.step
        # One member that ended so speaks for its gang.
        done = step.tasks if step.spec.is_gang else [task]
        for member in done:
            if member.phase is RunPhase.WAITING:
                step.pending_count -= 1
            if member.phase is not RunPhase.SUCCEEDED:
                member.phase = RunPhase.SUCCEEDED
                step.succeeded_count += 1
        job = step.job
        job.close_finished()
        if job.is_complete():
            self._finish(job, JobState.SUCCEEDED)
        else:
            self._update_eligible(job)

    def _fail(self, task):
        step = task.step
        if not step.spec.is_gang:
            task.failures += 1
        elif task.run > step.last_failed_run:
            step.last_failed_run = task.run
            for member in step.tasks:
                member.failures += 1
        limit = self.find_rules(step.job).max_attempts
        if task.failures >= limit and not step.spec.is_service:
            self._requeue(task)
            self._finish(step.job, JobState.FAILED)
        else:
            self._requeue(task)

    def _requeue(self, task):
        """Let a task wait again whose run has surely ended."""
        step = task.step
        if task.phase is RunPhase.SUCCEEDED:
            return
        if task.phase is not RunPhase.WAITING:
            task.phase = RunPhase.WAITING
            step.pending_count += 1
        task.worker = WorkerId("")
        task.is_start_sent = task.is_stopping = task.is_start_unanswered = False
        if step.spec.is_gang:
            # A gang that lost a member starts again as a whole.
            for member in step.tasks:
                member.is_stopping = member.holds_capacity
        self._update_eligible(step.job)

    def _apply_listed_run(self, worker, listed, now):
        tracked = worker.runs.get(listed.task)
        if tracked is None or tracked[1] != listed.run:
            return
        task = tracked[0]
        if listed.checkpoint:
            task.checkpoint = listed.checkpoint
        if task.phase is RunPhase.ASSIGNED:
            task.phase = RunPhase.RUNNING
            task.started_at = task.started_at or now
            self._mark_started(task.step.job)
        target_ms = task.step.spec.latency_target_ms
        if target_ms:
            task.latency_ratio = listed.load / target_ms
        if listed.progress > task.progress:
            task.progress, task.progressed_at = listed.progress, now

    def _check_missing(self, worker, task, sent_at):
        """Settle a run that the worker does not list."""
        if not worker.is_synchronized:
            # The list came under this owner's fence: no earlier start is carried out.
            self._settle_missing_run(worker, task, "not listed after takeover")
        elif task.started_at and task.started_at < sent_at:
            self._settle_missing_run(worker, task, "no longer listed")
        elif task.stop_acked_at and task.stop_acked_at < sent_at:
            self._settle_missing_run(worker, task, "stopped before it started")
        elif task.is_start_sent and not task.started_at and task.is_start_unanswered:
            task.is_stopping = True

    def _settle_missing_run(self, worker, task, reason):
        log_event(
            Event.RUN_SETTLED,
            job=task.step.job.spec.job,
            task=task.name,
            run=task.run,
            worker=worker.info.worker,
            reason=reason,
        )
        self._release_capacity(worker, task)
        self._requeue(task)

    def confirm_start(self, task, run, now):
        """Note that a worker accepted a start."""
        if task.run == run and task.phase is RunPhase.ASSIGNED:
            task.phase = RunPhase.RUNNING
            task.started_at = task.progressed_at = now
            self._mark_started(task.step.job)

    def reject_start(self, worker, task, run, retry_at):
        """Note that a worker refused a start: the run is not there."""
        tracked = worker.runs.get(task.name)
        if tracked is None or tracked[1] != run:
            return
        self._release_capacity(worker, task)
        if task.run == run:
            task.step.retry_at = max(task.step.retry_at, retry_at)
            self._requeue(task)

    def _mark_started(self, job):
        if not job.has_started:
            job.has_started = True
            if job.state is JobState.WAITING:
                job.state = JobState.RUNNING
                self.published_states[job.spec.job] = JobState.RUNNING
            self._dirty.add(job.spec.job)

    def _update_eligible(self, job):
        """Bring the set of steps that may start up to date."""
        self._dirty.add(job.spec.job)
        if job.state.is_final:
            return
        for step in job.find_eligible():
            if step not in self._eligible:
                step.eligible_at = self._clock()
                self._eligible[step] = True

    def _finish(self, job, state):
        job.state = state
        job.ended_ms = int(self._wall_clock_ms())
        self._dirty.add(job.spec.job)
        log_event(Event.JOB_ENDED, job=job.spec.job, state=state.value)
        for step in job.iterate_steps():
            self._eligible.pop(step, None)
            for task in step.tasks:
                if task.holds_capacity:
                    task.is_stopping = True
        if state is JobState.SUCCEEDED:
            job.occurrences.clear()

    def find_rules(self, job):
        """Return the rules in force for a job's queue."""
        queue = self.desired.queues.get(job.spec.queue)
        return queue.rules if queue else job.spec.rules

    def apply_desired(self, desired):
        """Take a newer desired state."""
        if desired.version > self.desired.version:
            self.desired = desired


def _ignore_run_end(task, end):
    """Take no note of a run's end."""
