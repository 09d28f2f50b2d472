"""Speculative execution: finds late runs in rounds and places copies of them; no I/O.

`stragglers.py` decides which runs are late, `copy_placement.py` where copies start, and
`copies.py` what the end of either run means.
"""

from ..records.copies import make_copy
from ..reporting.events import Event, log_event
from .copy_placement import WaitingWork, place_copies
from .stragglers import CopiesBudget, RunTimes, allows_copies, find_late_runs

# Minimum time between two searches for late runs. Progress is reported less often, and
# the search looks at each running task of the jobs that allow copies.
SEARCH_INTERVAL_SECONDS = 0.1


class Speculation:
    """Jobs that allow copies, and the search for their late runs.

    Parameters
    ----------
    engine : Engine

    Attributes
    ----------
    run_times : RunTimes
        Observer of the ends of runs.
    """

    def __init__(self, engine):
        self.run_times = RunTimes()
        self._engine = engine
        self._jobs = {}
        self._searched_at = float("-inf")

    def add_job(self, job):
        """Search a job's steps for late runs if one of them allows copies."""
        if any(allows_copies(spec) for spec in job.spec.steps):
            self._jobs[job.spec.job] = job

    def count_copies(self):
        """Return the number of copies that may be running."""
        return sum(task.copy is not None for task in self._iterate_tasks())

    def place_copies(self, current_round, ordered):
        """Yield a `Placement` for each copy to start.

        The caller has to assign each placement before it asks for the next.

        Parameters
        ----------
        current_round : PlacementRound
            Round whose other placements are assigned.
        ordered : list of (OrderKey, StepRun, QueueRules)
            Steps that were eligible in the round.
        """
        now = current_round.now
        if not self._jobs or now - self._searched_at < SEARCH_INTERVAL_SECONDS:
            return
        self._searched_at = now
        self._forget_ended_jobs()
        late_runs = self._find_late_runs(now)
        if not late_runs:
            return
        waiting = WaitingWork(current_round, ordered)
        budget = self._make_budget(current_round.workers)
        for late, worker in place_copies(current_round, late_runs, waiting, budget):
            task = late.task
            copy = make_copy(task)
            current_round.assign(copy, worker)
            yield current_round.placements[-1]
            log_event(
                Event.COPY_PLACED,
                job=task.step.job.spec.job,
                task=task.name,
                run=copy.run,
                worker=worker.info.worker,
                late_run=task.run,
                late_worker=task.worker,
                progress=task.progress,
                elapsed=round(now - task.started_at, 3),
                remaining=round(late.remaining, 3),
                expected=round(late.expected, 3),
            )

    def _find_late_runs(self, now):
        """Return ``(LateRun, QueueRules)`` of each run worth a copy."""
        found = []
        for job in self._jobs.values():
            rules = self._engine.find_rules(job)
            for step in job.iterate_steps():
                late_runs = find_late_runs(step, rules.max_attempts, now)
                found += [(late, rules) for late in late_runs]
        return found

    def _make_budget(self, workers):
        """Return the budget that the copies that may be running have left."""
        budget = CopiesBudget(workers)
        for task in self._iterate_tasks():
            if task.copy is not None:
                job = task.step.job
                service = self._engine.find_rules(job).service
                budget.take(job.spec.team, service, task.step.spec.counted)
        return budget

    def _iterate_tasks(self):
        for job in self._jobs.values():
            for step in job.iterate_steps():
                yield from step.tasks

    def _forget_ended_jobs(self):
        self._jobs = {
            job_id: job
            for job_id, job in self._jobs.items()
            if not job.state.is_final and self._engine.jobs.get(job_id) is job
        }
