"""Recognition of restarted workers, and what a restart says of their runs.

A restart ends the runs that the former process had. It says nothing of a start that may
still be under way, since orders name the worker and not its process: the new process
may carry it out, now or later.
"""

from ..records.workers import WorkerLoss
from ..reporting.events import Event, log_event
from .capacity import CapacityTracker


class RestartTracker(CapacityTracker):
    """Releases the runs that ended with a former process of their worker.

    A run that the former process has not reported is kept until the new one has
    reported its end, or is known not to have it and not to start it.

    Attributes
    ----------
    on_runs_kept : callable
        Called with a restarted worker whose new process has to report its runs, as a
        call that waits for the former process may not break.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.on_runs_kept = lambda worker: None

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
            self._drop_runs_of_earlier_incarnations(worker, listing)
        worker.born_ms = listing.born_ms or worker.born_ms
        return True

    def _end_incarnation(self, worker, born_ms, evidence):
        """Handle a worker's restart, which ended the runs of its former process."""
        self._log_restart(worker, evidence, born_ms)
        worker.born_ms = born_ms
        worker.reset_incarnation()
        for job in self.jobs.values():
            for step in job.iterate_steps():
                step.forget_approval(worker.info.worker)
        kept = [
            (task, run)
            for task, run in worker.runs.values()
            if task.run == run and task.is_start_sent and not task.is_reported
        ]
        for task, _ in kept:
            # The new process has not seen the stop.
            task.stop_acked_at = 0.0
        self._drop_all_runs(worker, WorkerLoss.RESTARTED, kept)
        # The crash has been charged, to the kept runs as well.
        worker.broke_at = 0.0
        # Answers to calls sent before are those of the previous incarnation.
        worker.alive_at = self._clock()
        if kept:
            worker.extend_late_lease(worker.alive_at)
            self.on_runs_kept(worker)

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

    def _drop_runs_of_earlier_incarnations(self, worker, listing):
        """Release the runs that a previous owner placed before the worker restarted.

        The new process has them only if it reports them: it rejects further calls of
        previous owners, since this owner's call has shown it a higher fencing token.
        """
        if not listing.is_complete:
            # The end of a run may be still to come.
            return
        reported = {(run.task, run.run) for run in (*listing.active, *listing.ended)}
        runs = [
            (task, run)
            for task, run in worker.runs.values()
            if task.run == run
            and 0 < task.incarnation < listing.born_ms
            and (task.name, run) not in reported
        ]
        if runs:
            self._drop_runs(worker, runs, WorkerLoss.RESTARTED)
