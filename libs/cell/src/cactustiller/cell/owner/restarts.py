"""Recognition of restarted workers, and what a restart says of their runs."""

from ..records.workers import WorkerLoss
from ..reporting.events import Event, log_event
from .capacity import CapacityTracker


class RestartTracker(CapacityTracker):
    """Releases the runs that ended with a former process of their worker."""

    def _recognize_process(self, worker, listing, sent_at):
        """Return whether a report comes from the worker's latest process.

        Handles the restart that a report shows.
        """
        if worker.born_ms and listing.born_ms not in (0, worker.born_ms):
            # Answers may overtake each other, and the time of day may be set back
            # between two starts.
            is_later = sent_at >= worker.alive_at
            if listing.born_ms < worker.born_ms and not is_later:
                return False
            self._end_incarnation(worker, listing.born_ms, "report")
        if not worker.born_ms:
            self._drop_runs_of_earlier_incarnations(worker, listing.born_ms)
        worker.born_ms = listing.born_ms or worker.born_ms
        return True

    def _end_incarnation(self, worker, born_ms, evidence):
        """Handle a worker's restart, which ended all its runs."""
        self._log_restart(worker, evidence, born_ms)
        worker.born_ms = born_ms
        worker.reset_incarnation()
        for job in self.jobs.values():
            for step in job.iterate_steps():
                step.forget_approval(worker.info.worker)
        self._drop_all_runs(worker, WorkerLoss.RESTARTED)
        # Answers to calls sent before are those of the previous incarnation.
        worker.alive_at = self._clock()

    def end_replaced_worker(self, worker):
        """Release the runs of a worker whose process has been replaced by another."""
        if worker.runs or worker.orphaned_runs:
            self._log_restart(worker, "another worker at its address")
            self._drop_all_runs(worker, WorkerLoss.RESTARTED)

    def _log_restart(self, worker, evidence, born_ms=None):
        log_event(
            Event.WORKER_RESTARTED,
            worker=worker.info.worker,
            evidence=evidence,
            born_ms=born_ms,
            former_born_ms=worker.born_ms,
            silent_seconds=worker.measure_silence(self._clock()),
            runs=len(worker.runs),
        )

    def _drop_runs_of_earlier_incarnations(self, worker, born_ms):
        """Release the runs that a previous owner placed before the worker restarted."""
        runs = [
            (task, run)
            for task, run in worker.runs.values()
            if task.run == run and 0 < task.incarnation < born_ms
        ]
        if runs:
            self._drop_runs(worker, runs, WorkerLoss.RESTARTED)
