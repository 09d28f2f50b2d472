"""Interfaces between the scheduler and what it learns from runs; no I/O."""

from typing import Protocol


class RunObserver(Protocol):
    """Learns from the reports of workers."""

    def record_run_end(self, task, worker, end, now):
        """Record the reported end of a run, before its task changes.

        Parameters
        ----------
        task : TaskRun
        worker : Worker
        end : RunEnd
        now : float
            Event loop time in seconds.
        """

    def record_progress(self, task, worker, listed, now):
        """Record the report of an active run, before its task changes.

        Parameters
        ----------
        task : TaskRun
        worker : Worker
        listed : ListedRun
        now : float
            Event loop time in seconds.
        """


class WorkerRanker(Protocol):
    """Prefers some of the workers on which a task fits."""

    def rank(self, step, worker):
        """Return how unsuitable a worker is for a step, 0 if nothing is against it.

        Parameters
        ----------
        step : StepRun
        worker : Worker

        Returns
        -------
        int
        """
