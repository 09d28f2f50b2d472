"""Decisions to stop runs on workers or to limit their speed, which is their pace."""

from typing import NamedTuple

from ..decisions.health import is_stalled, outlives_worker, record_stall
from ..records.pacing import DECREASE_ABOVE_RATIO, choose_pace
from ..records.runs import RunPhase, TaskRun
from ..records.workers import Worker
from ..reporting.events import Event, log_event
from .run_tracking import RunTracker

STOP_RETRY_SECONDS = 0.5
# An unacknowledged pace is sent again after this time. It is shorter than the minimum
# interval between decreases of the pace (`DECREASE_INTERVAL_SECONDS`, 0.6 s).
PACE_RETRY_SECONDS = 0.5
# A stop is sent again if this time has passed since its first acknowledgement and the
# end of the run has not been reported.
STOP_CONFIRMATION_SECONDS = 2.0


class StopOrder(NamedTuple):
    """Stop of a run on a worker, whose process is identified by its start."""

    worker: Worker
    task: str
    run: int
    born_ms: int


class PaceOrder(NamedTuple):
    """Speed limit of a filling run, in percent of its full speed.

    `latency_ratios` are the tail latencies, relative to their targets, on which the
    decision is based.
    """

    worker: Worker
    task: TaskRun
    run: int
    percent: int
    latency_ratios: list[float]


class RunControl(RunTracker):
    """Finds the runs to stop or pace.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time of the event loop in seconds.
    wall_clock_ms : callable
        Returns Unix milliseconds.
    """

    def __init__(self, clock, wall_clock_ms):
        super().__init__(clock, wall_clock_ms)
        self._stop_sent_at = {}
        # Most cells have no filling tasks and skip the pass over all runs.
        self._has_filling_tasks = False

    def stop_runs_on_leaving_workers(self):
        """Mark the runs to be stopped that would not end before their worker leaves.

        Only a draining worker leaves.
        """
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
        """Record that a worker acknowledged a stop.

        The worker never starts a run after it has acknowledged its stop, unless it
        restarts. A run that had started keeps its capacity until its end is reported.
        """
        if stop.born_ms != stop.worker.born_ms:
            return
        stop.worker.known_stops.add((stop.task, stop.run))
        tracked = stop.worker.runs.get(stop.task)
        if tracked is not None and tracked[1] == stop.run:
            # Keeps the first time: a report requested after it that does not list the
            # run shows that the run cannot start any more.
            tracked[0].stop_acked_at = tracked[0].stop_acked_at or now

    def find_due_stops(self):
        """Return the stops to send now, of orphaned and forgotten runs too.

        An unacknowledged stop is sent again after `STOP_RETRY_SECONDS`.
        """
        now = self._clock()
        stops = []
        for worker in self.workers.values():
            for task, run in worker.runs.values():
                is_acked = (
                    task.stop_acked_at
                    and now - task.stop_acked_at < STOP_CONFIRMATION_SECONDS
                )
                if task.is_stopping and not is_acked:
                    stops.append(StopOrder(worker, task.name, run, worker.born_ms))
            unplaced = worker.orphaned_runs.keys() | worker.find_forgotten_stops(now)
            stops += [
                StopOrder(worker, name, run, worker.born_ms) for name, run in unplaced
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
        """Mark stalled runs to be stopped, so that they run on other workers."""
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
        """Return the paces to send now to filling tasks.

        They follow from the tail latencies of the serving tasks on the same worker.
        """
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
            # The worker may have carried out an older order, which got no answer, after
            # the acknowledged one. So the pace is repeated while a latency is too high.
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
        """Record that a worker acknowledged a pace."""
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
