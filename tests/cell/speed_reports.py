"""Reports of workers of unlike speeds."""

from cactustiller.cell import RunEnd
from cactustiller.cell.decisions.speeds import SpeedEstimates
from cactustiller.cell.records.listings import ListedRun

from .builders import make_step, make_worker

NOW = 100.0


class Reports:
    """Reports of steps whose tasks run on workers of given speeds.

    Each step has two tasks on each worker. Reports follow each other at a second.
    """

    def __init__(self, speeds, **step):
        self.estimates = SpeedEstimates()
        self.now = NOW
        self.workers = {name: make_worker(name, born_ms=1) for name in speeds}
        self._speeds = speeds
        self._step = step
        self._numbers = iter(range(1, 1000))

    def play_step(self, seconds=10.0, first=0, factor=lambda worker, index: 1.0):
        """Report a step whose tasks take `seconds` at speed 1, and its ends.

        `factor` maps a worker and the index of its task to the factor by which the
        task takes longer.
        """
        step = make_step(next(self._numbers), count=2 * len(self.workers), **self._step)
        tasks = iter(step.tasks)
        runs = [
            (next(tasks), worker, self._speeds[name] / factor(name, index))
            for name, worker in self.workers.items()
            for index in range(2)
        ]
        started = self.now
        for task, worker, _ in runs:
            task.run, task.worker = 1, worker.info.worker
            task.started_at = task.start_sent_at = started
        while runs:
            self.now += 1.0
            for run in list(runs):
                task, worker, speed = run
                done = 100 * (self.now - started) * speed / seconds
                percent = min(100, int(first + done))
                if percent >= 100 and not step.spec.is_gang:
                    self.end(task, worker)
                    runs.remove(run)
                    continue
                listed = ListedRun(task.name, 1, "", percent, 0.0)
                self.estimates.record_progress(task, worker, listed, self.now)
                task.progress = percent
            if step.spec.is_gang and all(task.progress >= 100 for task, *_ in runs):
                for task, worker, _ in runs:
                    self.end(task, worker)
                runs.clear()

    def end(self, task, worker):
        self.estimates.record_run_end(task, worker, RunEnd.DONE, self.now)

    def find_speeds(self):
        return {name: self.estimates.find_speed(name) for name in self.workers}

    def find_slow(self):
        return {
            name
            for name, worker in self.workers.items()
            if self.estimates.find_rank(worker)
        }
