"""Scheduling state and decisions of one cell, kept by its owner; no I/O.

A cell is a group of workers that is scheduled as one. Several processes, its members,
accept jobs for it; the owner is the member that leads it, elected by lease and fencing
token. A placement takes effect in two phases: `Engine.collect` returns the changes to
store, and `Engine.confirm_batch` returns the starts to send once they are stored.
"""

from cactustiller.model import JobState

from ..configuration import MAX_ROW_BYTES
from ..decisions.cold_workers import ColdWorkerRanker
from ..decisions.interference import InterferenceObserver
from ..decisions.interference_ranking import InterferenceRanker
from ..decisions.job_memory import DEFAULT_JOB_BYTES, JobMemory
from ..decisions.placement import place_steps
from ..decisions.placement_round import PlacementRound
from ..decisions.service_usage import measure_usage
from ..decisions.shares import ShareMeter
from ..decisions.speculation import Speculation
from ..decisions.speed_ranker import SpeedRanker
from ..decisions.speeds import SpeedEstimates
from ..records.copies import find_next_run
from ..records.pacing import FULL_PERCENT
from ..records.progress import decode_progress
from ..records.runs import JobRun, RunPhase
from ..reporting.events import Event, log_event
from .batches import BatchCollector
from .block_reports import BlockReporter
from .step_order import StepOrder

# Finished jobs stay readable for this long beyond the documented retention period.
RETENTION_MARGIN_SECONDS = 30.0


class Engine(BatchCollector):
    """Scheduler of one cell: its jobs, queues, workers and runs.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time of the event loop in seconds.
    wall_clock_ms : callable
        Returns Unix milliseconds.
    max_job_bytes : int
        Memory for all jobs.
    max_row_bytes : int
        Largest value that a row of the store may have.

    Attributes
    ----------
    deferred_jobs : dict of JobId to QueueName
        Stored jobs that are not loaded, since there is no memory for their tasks.
    is_plan_partial : bool
        The latest round has left steps for the next one.
    """

    def __init__(
        self,
        clock,
        wall_clock_ms,
        max_job_bytes=DEFAULT_JOB_BYTES,
        max_row_bytes=MAX_ROW_BYTES,
    ):
        super().__init__(clock, wall_clock_ms, max_row_bytes)
        self.job_memory = JobMemory(self.jobs, max_job_bytes, clock)
        self.deferred_jobs = {}
        self.is_plan_partial = False
        self._shares = ShareMeter()
        self._recurring_jobs = set()
        self.interference = InterferenceObserver()
        self.speeds = SpeedEstimates()
        self.speculation = Speculation(self)
        self.observers += [self.interference, self.speeds, self.speculation.run_times]
        self._interference_ranker = InterferenceRanker(
            self.interference.estimates, clock
        )
        self._rankers = [
            ColdWorkerRanker(clock),
            self._interference_ranker,
            SpeedRanker(self.speeds, self.find_rules),
        ]
        self._order = StepOrder(self)
        self.block_reporter = BlockReporter(self, clock, wall_clock_ms)

    def add_job(self, spec, progress=None, is_stored=True):
        """Add a job and restore its progress from `progress` if given.

        The state of a job that is not stored yet is published by `confirm_jobs`.
        """
        if spec.job in self.jobs:
            return
        job = decode_progress(spec, progress) if progress else JobRun(spec)
        self.jobs[spec.job] = job
        if is_stored:
            self.published_states[spec.job] = job.state
        if job.state.is_final:
            return
        self._has_filling_tasks |= any(step.fills for step in spec.steps)
        team = self.desired.teams.get(spec.team)
        job.is_over_share = self._shares.is_over(team, spec)
        if not spec.repeat_count and not job.occurrences:
            job.open_occurrence(0)
        if spec.repeat_count:
            self._recurring_jobs.add(spec.job)
        for step in job.iterate_steps():
            self._suspects |= step.suspects
            for run in step.iterate_runs():
                if run.holds_capacity:
                    self._restore_run(run)
        self.speculation.add_job(job)
        self._update_eligible(job)
        if not progress:
            self._dirty.discard(spec.job)

    def drop_job(self, job_id):
        """Remove a job that was never stored; none of its starts has been sent."""
        job = self.jobs.pop(job_id)
        self._dirty.discard(job_id)
        self._recurring_jobs.discard(job_id)
        for step in job.iterate_steps():
            self._eligible.pop(step, None)
            for task in step.tasks:
                worker = self.workers.get(task.worker)
                if task.holds_capacity and worker is not None:
                    self._remove_run(worker, task)
                    task.phase = RunPhase.WAITING
        self._unstored_placements = [
            placement
            for placement in self._unstored_placements
            if placement.task.step.job is not job
        ]

    def cancel_job(self, job_id):
        """Cancel a job that has not ended, and mark its runs to be stopped."""
        job = self.jobs.get(job_id)
        if job is None or job.state.is_final:
            return
        self._finish(job, JobState.CANCELLED)

    def remove_expired_jobs(self, retention_ms, max_count):
        """Remove at most `max_count` jobs past their retention; return their ids.

        Jobs that still have runs on workers are kept.
        """
        limit = self._wall_clock_ms() - retention_ms - RETENTION_MARGIN_SECONDS * 1000
        expired = [
            job_id
            for job_id, job in self.jobs.items()
            if job.ended_ms and job.ended_ms < limit and not self._has_active_tasks(job)
        ]
        expired = expired[:max_count]
        for job_id in expired:
            del self.jobs[job_id]
            self.published_states.pop(job_id, None)
        return expired

    def count_pending(self, queue):
        """Return the number of a queue's jobs of which no task has started.

        Recurring jobs are not counted.
        """
        deferred = sum(other == queue for other in self.deferred_jobs.values())
        return deferred + sum(
            job.spec.queue == queue
            and not job.state.is_final
            and not job.has_started
            and not job.spec.repeat_count
            for job in self.jobs.values()
        )

    def plan(self):
        """Place the eligible steps; return those that need approval, most urgent first.

        The starts may be sent once the batch with their placements is stored.
        """
        now, now_ms = self._clock(), self._wall_clock_ms()
        self._open_due_occurrences(now_ms)
        isolated = self._find_isolated_workers() if self._suspects else ()
        schedulable = [
            worker
            for worker in self.workers.values()
            if worker.is_schedulable(now) and worker.info.worker not in isolated
        ]
        ordered = self.compute_order_keys(self._eligible, now_ms)
        ordered.sort(key=lambda entry: entry[0])
        current_round = PlacementRound(
            now,
            schedulable,
            self._count_team_fits,
            self._add_team_usage,
            wall_now=now_ms / 1000,
            isolated=[self.workers[worker_id] for worker_id in isolated],
            rankers=self._rankers,
            usage=measure_usage(self.workers.values()),
        )
        self._interference_ranker.begin_round(current_round.placements)
        place_steps(current_round, ordered)
        for placement in current_round.placements:
            self._assign(placement)
        for task, worker in current_round.preempted:
            self._preempt(task, worker)
        for placement in self.speculation.place_copies(current_round, ordered):
            self._assign(placement)
        self._unstored_placements += current_round.placements
        self.is_plan_partial = current_round.is_partial
        return current_round.steps_needing_approval

    def find_eligible_steps(self):
        """Return the steps with pending tasks whose dependencies have succeeded."""
        return list(self._eligible)

    @property
    def eligible_count(self):
        """Number of eligible steps."""
        return len(self._eligible)

    def iterate_eligible(self):
        """Iterate over the eligible steps in the order in which they became so."""
        return iter(self._eligible)

    def iterate_latest_eligible(self):
        """Iterate over the eligible steps, those that became so last first."""
        return reversed(self._eligible)

    def is_eligible(self, step):
        """Return whether a step is still eligible."""
        return step in self._eligible

    def has_team_room(self, step):
        """Return whether its team's limit allows the next start of a step."""
        needed = step.spec.count if step.spec.is_gang else 1
        team = step.job.spec.team
        return self._count_team_fits(team, step.spec.amounts, needed) >= needed

    def find_steps_without_approval(self, max_count):
        """Return the most urgent steps that still have to request approval.

        These need approval, and have neither an answer nor a call in flight. At most
        `max_count` of each service are returned.
        """
        if not max_count:
            return []
        return self._order.find_without_approval(
            max_count, self._clock(), self._wall_clock_ms()
        )

    def compute_order_keys(self, steps, now_ms):
        """Return ``(OrderKey, step, QueueRules)`` for each eligible step.

        Parameters
        ----------
        steps : iterable of StepRun
        now_ms : float
            Unix milliseconds.
        """
        return self._order.compute_keys(steps, now_ms)

    def _preempt(self, task, worker):
        task.is_stopping = True
        log_event(
            Event.RUN_PREEMPTED,
            job=task.step.job.spec.job,
            task=task.name,
            run=task.run,
            worker=worker.info.worker,
            progress=task.progress,
        )

    def _assign(self, placement):
        """Give a placed task its next run number and reset the state of its run.

        A copy is placed like a task, but its task is not pending.
        """
        task, worker, ticket, _ = placement
        step = task.step
        if step.spec.is_gang:
            # All tasks of a gang share a run number, which the first one increments.
            if task is step.tasks[0]:
                run = max(member.run for member in step.tasks) + 1
            else:
                run = step.tasks[0].run
        else:
            run = find_next_run(task)
        task.run = run
        task.phase = RunPhase.ASSIGNED
        task.worker = worker.info.worker
        task.incarnation = worker.born_ms
        task.start_sent_at = 0.0
        worker.last_placement_at = self._clock()
        task.ticket = ticket
        task.is_start_sent = task.is_stopping = task.is_start_unanswered = False
        task.started_at = task.stop_acked_at = 0.0
        task.progress = -1
        # A worker starts each run at full pace.
        task.pace, task.latency_ratio = FULL_PERCENT, 0.0
        task.has_had_copy = False
        worker.runs[task.name] = (task, run)
        if task.original is not None:
            task.original.copy_run = run
        else:
            step.pending_count -= 1
            if not step.pending_count:
                self._eligible.pop(step, None)
        self._dirty.add(step.job.spec.job)

    def _open_due_occurrences(self, now_ms):
        """Open the next occurrence of each recurring job that is due."""
        for job_id in list(self._recurring_jobs):
            job = self.jobs.get(job_id)
            if job is None or job.state.is_final:
                self._recurring_jobs.discard(job_id)
                continue
            spec = job.spec
            opened = job.finished_occurrences + len(job.occurrences)
            due = spec.first_run_ms + opened * spec.interval_ms
            is_due = opened < spec.repeat_count and now_ms >= due
            if is_due and self.job_memory.admit_occurrence(job):
                self._update_eligible(job, job.open_occurrence(opened))

    def _has_active_tasks(self, job):
        return any(
            run.holds_capacity
            for step in job.iterate_steps()
            for run in step.iterate_runs()
        )
