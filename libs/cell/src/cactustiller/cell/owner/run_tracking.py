"""Tracking of task runs by the answers and reports of workers."""

from cactustiller.model import JobState, WorkerId

from ..decisions.health import record_failure, record_success
from ..records.copies import drop_copy, promote_copy, settle_done
from ..records.crashes import count_losses, prove_run
from ..records.listings import find_released_task
from ..records.runs import RunEnd, RunPhase
from ..reporting.events import Event, log_event
from .capacity import LEASE_SECONDS
from .restarts import RestartTracker


class RunTracker(RestartTracker):
    """Tracks the latest run of each task, and the state of its job.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time of the event loop in seconds.
    wall_clock_ms : callable
        Returns Unix milliseconds.

    Attributes
    ----------
    on_run_ended : callable
        Called with the task and the `RunEnd` of each run, before the task changes.
    on_copy_settled : callable
        Called with the `CopyOutcome` of each copy.
    published_states : dict of JobId to JobState
        States that callers may see.
    latest_eligible_number : int
        Number of the step that became eligible last.
    observers : list of RunObserver
        Learn from the reported ends and the progress of runs.
    """

    def __init__(self, clock, wall_clock_ms):
        super().__init__(clock)
        self.published_states = {}
        self.on_run_ended = _ignore
        self.on_copy_settled = _ignore
        self.observers = []
        self._wall_clock_ms = wall_clock_ms
        # Ids of the jobs whose latest progress is not part of a batch yet.
        self._dirty = set()
        # Steps with pending tasks whose dependencies have succeeded.
        self._eligible = {}
        self.latest_eligible_number = 0

    def apply_listing(self, worker, listing, sent_at, received_at):
        """Apply a worker's report of its runs.

        A report of a previous incarnation of the worker is ignored.

        Parameters
        ----------
        worker : Worker
        listing : Listing
        sent_at, received_at : float
            Event loop times at which the call was sent and its answer received.
        """
        if not self._recognize_process(worker, listing, sent_at):
            return
        worker.note_answer(sent_at, received_at)
        worker.update_clock_offset(listing.clock_ms, received_at)
        for end in listing.ended:
            if end.number > worker.processed_through:
                worker.processed_through = end.number
                self._apply_end(worker, end)
        self._update_orphaned_runs(worker, listing.active)
        for run in listing.active:
            self._apply_listed_run(worker, run, sent_at, received_at)
        if not listing.is_complete:
            # A run that is missing may have ended, with an end that is still to come.
            log_event(
                Event.LISTING_INCOMPLETE,
                worker=worker.info.worker,
                ends=len(listing.ended),
                runs=len(worker.runs),
            )
            return
        worker.listed_at = max(worker.listed_at, sent_at)
        listed = {run.task: run for run in listing.active}
        for name, (task, run) in list(worker.runs.items()):
            if name not in listed or listed[name].run < run:
                self._check_missing(worker, task, sent_at)
        if not worker.is_synchronized:
            # The worker has accepted this owner's fencing token and rejects calls of
            # previous owners, so those can no longer extend its lease.
            worker.cap_lease(received_at, LEASE_SECONDS)
            worker.is_synchronized = True

    def _apply_end(self, worker, end):
        """Release the run that ended, and succeed, fail or requeue its task."""
        tracked = worker.runs.get(end.task)
        if tracked is None or tracked[1] != end.run:
            self._apply_late_end(worker, end)
            return
        task = tracked[0]
        self._remove_run(worker, task)
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        # Also for a run whose task has succeeded by another run: if that success is not
        # stored yet, this end may be the only one left after a takeover.
        worker.unstored_ends.append((end.number, task.step.job.spec.job))
        if task.run != end.run or task.phase is RunPhase.SUCCEEDED:
            if not task.step.spec.is_gang:
                self.on_run_ended(task, end.end)
            return
        log_event(
            Event.RUN_ENDED,
            job=task.step.job.spec.job,
            task=task.name,
            run=end.run,
            worker=worker.info.worker,
            end=end.end.value,
        )
        self.on_run_ended(task, end.end)
        now = self._clock()
        for observer in self.observers:
            observer.record_run_end(task, worker, end.end, now)
        if end.end is RunEnd.DONE and not task.step.spec.is_service:
            record_success(worker)
            self._succeed(task)
        elif end.end is RunEnd.FAILED:
            task.step.failed_on.add(worker.info.worker)
            record_failure(worker, task, self.workers.values(), now)
            self._fail(task)
        else:
            self._requeue(task)

    def _apply_late_end(self, worker, end):
        """Succeed a task whose run was released before its worker reported its end.

        A later run of the task is stopped, or not started any more.
        """
        task = find_released_task(self.jobs, end)
        if task is None or end.end is not RunEnd.DONE:
            return
        step = task.step
        job = step.job.spec.job
        worker.unstored_ends.append((end.number, job))
        log_event(
            Event.RUN_ENDED,
            job=job,
            task=task.name,
            run=end.run,
            worker=worker.info.worker,
            end=end.end.value,
            is_late=True,
        )
        self.on_run_ended(task, end.end)
        task.is_stopping = task.holds_capacity
        self._succeed(task)
        if not step.pending_count:
            self._eligible.pop(step, None)

    def _succeed(self, run):
        task, outcome = settle_done(run)
        if outcome is not None:
            self.on_copy_settled(outcome)
        step, job = task.step, task.step.job
        unblocked = job.complete_step(step) if step.succeed(task) else []
        if job.is_complete():
            self._finish(job, JobState.SUCCEEDED)
        else:
            self._update_eligible(job, unblocked)

    def _fail(self, run):
        """Count a failed attempt, once per run of a gang; retry or fail the job.

        The failure of a copy is an attempt of its task.
        """
        task = run.original or run
        step = task.step
        if not step.spec.is_gang:
            task.failures += 1
        elif task.run > step.last_failed_run:
            step.last_failed_run = task.run
            for member in step.tasks:
                member.failures += 1
        limit = self.find_rules(step.job).max_attempts
        self._requeue(run)
        if task.failures >= limit and not step.spec.is_service:
            self._finish(step.job, JobState.FAILED, "attempts used up")

    def _give_up(self, job):
        """Fail a job with a task that crashes its workers."""
        self._finish(job, JobState.FAILED, "crashed its workers")

    def _requeue(self, task):
        """Make a task pending again after its run has certainly ended.

        A gang that loses a task restarts as a whole, so its other runs are stopped. A
        task with two runs continues with the other one.
        """
        step = task.step
        if task.phase is RunPhase.SUCCEEDED:
            return
        if task.original is not None or task.copy is not None:
            self._continue_with_other_run(task)
            return
        if task.phase is not RunPhase.WAITING:
            task.phase = RunPhase.WAITING
            step.pending_count += 1
        task.worker = WorkerId("")
        task.is_start_sent = task.is_stopping = task.is_start_unanswered = False
        if step.spec.is_gang and step.broken_run != task.run:
            step.broken_run = task.run
            for member in step.tasks:
                member.is_stopping = member.holds_capacity
        self._update_eligible(step.job, [step])

    def _continue_with_other_run(self, run):
        """Continue a task with the other of its two runs after one has ended."""
        if run.original is not None:
            self.on_copy_settled(drop_copy(run))
        else:
            copy = run.copy
            self.on_copy_settled(promote_copy(run))
            if copy in copy.step.suspects:
                self._suspects.add(copy)
        self._update_eligible(run.step.job, [run.step])

    def _apply_listed_run(self, worker, listed, sent_at, now):
        """Update a task from the report of its active run."""
        tracked = worker.runs.get(listed.task)
        if tracked is None or tracked[1] != listed.run:
            return
        task = tracked[0]
        for observer in self.observers:
            observer.record_progress(task, worker, listed, now)
        if listed.checkpoint:
            task.checkpoint = listed.checkpoint
        if task.phase is RunPhase.ASSIGNED:
            task.phase = RunPhase.RUNNING
            task.started_at = task.started_at or now
            self._mark_started(task.step.job)
        if task in task.step.suspects:
            prove_run(task, sent_at)
        target_ms = task.step.spec.latency_target_ms
        if target_ms:
            task.latency_ratio = listed.load / target_ms
        if listed.progress > task.progress:
            task.progress, task.progressed_at = listed.progress, now

    def _check_missing(self, worker, task, sent_at):
        """Handle a run that is missing from the worker's report.

        Makes its task pending again if the run has certainly ended or can no longer
        start; stops the run if its start got no answer and may still be carried out.
        """
        if not worker.is_synchronized and not task.start_sent_at:
            # The report was requested with this owner's fencing token, so the worker
            # rejects starts of previous owners from here on. After a restart, starts of
            # this owner may still be under way.
            self._settle_missing_run(worker, task, "not listed after takeover")
        elif task.started_at and task.started_at < sent_at:
            self._settle_missing_run(worker, task, "no longer listed")
        elif task.stop_acked_at and task.stop_acked_at < sent_at:
            worker.note_stopped_start(task.name, task.run, self._clock())
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
            silent_seconds=worker.measure_silence(self._clock()),
        )
        self._remove_run(worker, task)
        self._requeue(task)

    def confirm_start(self, task, run, now):
        """Mark a run as running after its worker accepted the start."""
        if task.run == run and task.phase is RunPhase.ASSIGNED:
            task.phase = RunPhase.RUNNING
            task.started_at = task.progressed_at = now
            self._mark_started(task.step.job)

    def reject_start(self, worker, task, run, retry_at):
        """Make a task pending again whose start was refused or not sent.

        The step is not placed again before `retry_at`, in event loop time.
        """
        tracked = worker.runs.get(task.name)
        if tracked is None or tracked[1] != run:
            return
        self._remove_run(worker, task)
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

    def _update_eligible(self, job, steps=None):
        """Record newly eligible steps and mark the job's progress as changed.

        Looks at the given steps only, since a job may have thousands; at all if None.
        """
        self._dirty.add(job.spec.job)
        if job.state.is_final:
            return
        for step in job.find_eligible() if steps is None else steps:
            if step.is_eligible and step not in self._eligible:
                step.eligible_at = self._clock()
                self.latest_eligible_number += 1
                step.eligible_number = self.latest_eligible_number
                self._eligible[step] = True

    def _finish(self, job, state, reason=None):
        """Set the final state of a job and mark its active runs to be stopped.

        A state that callers may have seen as final is kept.
        """
        if job.state.is_final:
            return
        job.state = state
        job.ended_ms = int(self._wall_clock_ms())
        self._dirty.add(job.spec.job)
        losses = count_losses(job) if state is JobState.FAILED else {}
        fields = {"job": job.spec.job, "state": state.value, "reason": reason}
        log_event(Event.JOB_ENDED, **fields, **losses)
        for step in job.iterate_steps():
            self._eligible.pop(step, None)
            for run in step.iterate_runs():
                if run.holds_capacity:
                    run.is_stopping = True
        if state is JobState.SUCCEEDED:
            job.clear_occurrences()


def _ignore(*arguments):
    """Ignore an event; the default of the callbacks."""
