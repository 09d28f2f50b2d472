"""What an owner does to runs that are at work: stops and paces."""

from typing import NamedTuple

from .events import Event, log_event
from .health import is_stalled, outlives_worker, record_stall
from .pacing import DECREASE_ABOVE_RATIO, choose_pace
from .run_tracking import RunTracker
from .runs import RunPhase, TaskRun
from .workers import Worker

STOP_RETRY_SECONDS = 0.5
# A pace without an answer is sent again, as it may fall every 0.6 s.
PACE_RETRY_SECONDS = 0.5
# A run that is still there this long after its stop was answered is stopped again.
STOP_CONFIRMATION_SECONDS = 2.0


class StopOrder(NamedTuple):
    """Run that is to be stopped on a worker."""

    worker: Worker
    task: str
    run: int


class PaceOrder(NamedTuple):
    """Share of its speed, in percent, at which a filling run is to work.

    `tails` are the tail latencies that decided, as parts of their targets.
    """

    worker: Worker
    task: TaskRun
    run: int
    percent: int
    latency_ratios: list[float]


class RunControl(RunTracker):
    """Finds the runs that have to be stopped or paced.

    Parameters
    ----------
    clock : callable
        Seconds of the loop.
    wall_clock_ms : callable
        Unix milliseconds.
    """

    def __init__(self, clock, wall_clock_ms):
        super().__init__(clock, wall_clock_ms)
        self._stop_sent_at = {}
        # Most cells have no filling tasks; the walk over all runs is left out there.
        self._has_filling_tasks = False

    def stop_runs_on_leaving_workers(self):
        """Stop runs that would be cut when their draining worker leaves."""
        now = self._clock()
        for worker in self.workers.values():
            if not worker.info.is_draining or not worker.is_reachable:
                continue
            leaves_at = worker.draining_since + worker.info.remaining_ms / 1000
            for task, run in worker.runs.values():
                if task.run == run and outlives_worker(task, leaves_at, now):
                    task.is_stopping = True
                    log_event(
                        Event.RUN_EVACUATED,
                        job=task.step.job.spec.job,
                        task=task.name,
                        run=run,
                        worker=worker.info.worker,
                        progress=task.progress,
                        left_seconds=round(leaves_at - now, 3),
                    )

    def confirm_stop(self, stop, now):
        """Note that a worker took a stop; a run that was not there never will be.

        A run that was there holds its room until its end is listed.
        """
        tracked = stop.worker.runs.get(stop.task)
        if tracked is not None and tracked[1] == stop.run:
            # Listings asked for before this one stay of no use, so the first counts.
            tracked[0].stop_acked_at = tracked[0].stop_acked_at or now

    def find_due_stops(self):
        """Return the stops that are due, each again after a pause."""
        now = self._clock()
        stops = []
        for worker in self.workers.values():
            for task, run in worker.runs.values():
                is_acked = (
                    task.stop_acked_at
                    and now - task.stop_acked_at < STOP_CONFIRMATION_SECONDS
                )
                if task.is_stopping and not is_acked:
                    stops.append(StopOrder(worker, task.name, run))
            stops += [
                StopOrder(worker, name, run) for name, run in worker.orphaned_runs
            ]
        due = [
            stop
            for stop in stops
            if now - self._stop_sent_at.get((stop.task, stop.run), -1.0)
            >= STOP_RETRY_SECONDS
        ]
        self._stop_sent_at = {
            key: sent
            for key, sent in self._stop_sent_at.items()
            if now - sent < 2 * STOP_RETRY_SECONDS
        }
        for stop in due:
            self._stop_sent_at[stop.task, stop.run] = now
        return due

    def stop_stalled_runs(self):
        """Stop runs that stand still, so that they run elsewhere."""
        now = self._clock()
        for worker in self.workers.values():
            if not worker.is_reachable:
                continue
            for task, run in worker.runs.values():
                if task.run == run and is_stalled(task, worker):
                    task.is_stopping = True
                    task.step.failed_on.add(worker.info.worker)
                    record_stall(worker, task, self.workers.values(), now)

    def find_due_paces(self):
        """Return the paces that are due for tasks that fill beside serving ones."""
        if not self._has_filling_tasks:
            return []
        now = self._clock()
        due = []
        for worker in self.workers.values():
            runs = [task for task, run in worker.runs.values() if task.run == run]
            filling_tasks = [
                task
                for task in runs
                if task.step.spec.fills and task.phase is RunPhase.RUNNING
            ]
            if not filling_tasks or not worker.is_reachable:
                continue
            latency_ratios = [
                task.latency_ratio for task in runs if task.step.spec.latency_target_ms
            ]
            percent = choose_pace(worker.pace, latency_ratios, now)
            # An older order without an answer may have been carried out since.
            may_be_outdated = max(latency_ratios, default=0.0) > DECREASE_ABOVE_RATIO
            for task in filling_tasks:
                is_due = now - task.pace_sent_at >= PACE_RETRY_SECONDS
                if is_due and (task.pace != percent or may_be_outdated):
                    task.pace_sent_at = now
                    due.append(
                        PaceOrder(worker, task, task.run, percent, latency_ratios)
                    )
        return due

    def confirm_pace(self, order):
        """Note that a worker took a pace."""
        task = order.task
        if task.run == order.run and task.pace != order.percent:
            task.pace = order.percent
            log_event(
                Event.RUN_PACED,
                job=task.step.job.spec.job,
                task=task.name,
                run=order.run,
                worker=order.worker.info.worker,
                percent=order.percent,
                tail=round(max(order.latency_ratios, default=0.0), 2),
            )
