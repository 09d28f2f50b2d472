"""The owner of a cell: schedules its jobs, calls its workers and stores progress.

The owner is the leader among the members of a cell, elected through a lease on one
row of the store. Its time as leader is a term; the epoch, a number that rises with
each term, is the fencing token of its calls to workers.
"""

import asyncio

from result import Ok

from cactustiller.model import ErrorCode

from ..decisions.admission_control import AdmissionControl
from ..reporting.events import Event, log_event
from ..reporting.loop_work import LoopWork, track_loop_work
from ..supervision import keep_running
from .announcements import Announcer
from .approvals import ApprovalDispatcher
from .commits import BatchWriter, OwnershipLostError
from .dispatch import Dispatcher
from .engine import Engine
from .housekeeping import run_housekeeping
from .loading import JobLoader
from .row_groups import MAX_ENTRIES, make_row_groups
from .submission_checks import SubmissionChecks
from .submissions import PendingSubmissions
from .terms import TermLog

# Minimum time between two scheduling rounds, so that run ends and new jobs share a
# transaction.
MIN_ROUND_INTERVAL_SECONDS = 0.015
# Maximum time between two rounds, for changes that depend on time only, such as
# expired leases.
MAX_ROUND_INTERVAL_SECONDS = 0.15
RENEWAL_CHECK_SECONDS = 0.05
# Callers time out after 3 s; a job whose row would wait longer than this is refused
# immediately.
MAX_STORE_WAIT_SECONDS = 1.2
# A transaction takes the store about as long as two reads.
READS_PER_TRANSACTION = 2.0


class Owner:
    """One term of ownership, from a successful claim to its loss or release.

    Parameters
    ----------
    ports : Member
        Provides the store, worker calls, approval service, metrics and registries.
    claim : tuple of (OwnerRecord, int, int)
        Result of `Election.wait_for_claim`.
    status_retention_ms : int
        How long the state of a finished job stays readable.
    read_seconds : float
        Duration of the latest read of the store.
    """

    def __init__(self, ports, claim, status_retention_ms, read_seconds=0.0):
        loop = asyncio.get_running_loop()
        self.engine = Engine(
            loop.time,
            ports.wall_clock_ms,
            ports.settings.max_job_bytes,
            ports.settings.max_row_bytes,
        )
        self.is_loaded = False
        self.epoch = claim[0].epoch
        self._log = TermLog(claim[0])
        self._ports = ports
        self._status_retention_ms = status_retention_ms
        self._submissions = PendingSubmissions(self.engine, claim[0].member)
        self._writer = BatchWriter(
            ports.store,
            claim,
            self._submissions.on_store_unavailable,
            self._submissions.reject,
            self._request_handover,
            READS_PER_TRANSACTION * read_seconds,
        )
        self._wake = asyncio.Event()
        self._rounds_task = None
        self._deposed_reason = ""
        self._tasks = set()
        self._worker_registry = ports.make_worker_registry(self._wake.set)
        self._member_registry = ports.make_member_registry()
        self._announcer = Announcer(ports.peers, self._member_registry, claim[0])
        self._admission = AdmissionControl(self.engine, loop.time, ports.wall_clock_ms)
        self._checks = SubmissionChecks(
            ports.store, self._admission, self.engine, self._submissions, self._is_known
        )
        self._loader = JobLoader(self.engine, ports.store, ports.metrics)
        self._dispatcher = Dispatcher(
            self.engine,
            ports.worker_calls,
            claim[0].epoch,
            self._wake.set,
            lambda: self.depose("a worker has seen a higher fencing token"),
            ports.metrics,
        )
        self._approval_dispatcher = ApprovalDispatcher(
            self.engine,
            ports.approvals,
            ports.peers,
            self._member_registry.find_addresses,
            self._on_approval,
        )

    async def run(self, stop):
        """Own the cell until ownership is lost, or release it once `stop` is set."""
        self._log.log_takeover()
        try:
            await self._load()
            self._start_supervised(
                "follow jobs", lambda: self._loader.follow(self._wake.set)
            )
            self._start_supervised(
                "announce owner",
                lambda: self._announcer.announce(lambda: self.engine.desired.version),
            )
            self._start_supervised("report waits", self.engine.block_reporter.run)
            self._start_supervised(
                "remove expired rows",
                lambda: run_housekeeping(
                    self.engine,
                    self._ports.store,
                    self._member_registry,
                    self._announcer,
                    self._status_retention_ms,
                ),
            )
            self._rounds_task = asyncio.create_task(self._run_rounds(stop))
            await self._rounds_task
            await self._writer.release()
            log_event(Event.OWNERSHIP_RELEASED, epoch=self.epoch)
            await self._announcer.notify_successor()
        except OwnershipLostError as error:
            self._log.log_loss(str(error), self._writer.succeeded_at)
        except asyncio.CancelledError:
            if not self._deposed_reason:
                raise
            self._log.log_loss(self._deposed_reason, self._writer.succeeded_at)
        finally:
            self.is_loaded = False
            if self._rounds_task is not None:
                self._rounds_task.cancel()
            self._submissions.end_term()
            # First, since the next owner uses the same approval services.
            await self._approval_dispatcher.close()
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self._dispatcher.close()
            await self._worker_registry.stop()
            await self._member_registry.stop()

    @property
    def pending_submissions(self):
        """Number of submitted jobs whose rows are not stored yet."""
        return len(self._submissions.jobs)

    # Calls from the intake of this member

    async def submit(self, job, row):
        """Store a job with one of the next transactions.

        Returns ``Ok(None)`` once the job is stored, or else a failure.

        A failure with the outcome `NOT_RUN` guarantees that the job is not stored.
        """
        if not self._is_known(job):
            answer = await self._checks.find_answer(
                job, row, self._writer.is_store_unavailable
            )
            if answer is not None:
                return answer
            # The term may have ended during the look at the store.
            if not self.is_loaded:
                return self._submissions.make_failure(
                    "the term ended", ErrorCode.NOT_OWNER
                )
        if job in self.engine.published_states:
            return Ok(None)
        if job not in self._submissions.jobs:
            if self._writer.is_store_unavailable:
                return self._submissions.make_failure("the store is unavailable")
            excess = self._estimate_wait() - MAX_STORE_WAIT_SECONDS
            if excess > 0.0:
                reason = "too many rows are waiting to be stored"
                return self._submissions.make_failure(
                    reason, ErrorCode.OVERLOADED, retry_after_ms=int(excess * 1000)
                )
            with self._track(LoopWork.DECODE_JOB, job=job):
                self._loader.add_job(job, row, is_stored=False)
            # Requests the approval while the previous transaction is running, so that
            # the job's row and its placements can share the next one.
            self._request_approvals()
            self._wake.set()
        return await self._submissions.wait_for_job(job, row)

    def _is_known(self, job):
        return job in self.engine.jobs or job in self._submissions.jobs

    async def withdraw(self, job):
        """Cancel a job; return ``Ok(None)`` once the cancellation is stored."""
        run = self.engine.jobs.get(job)
        if run is None:
            return self._submissions.make_failure("unknown job", ErrorCode.NOT_FOUND)
        if run.state.is_final and self.engine.published_states.get(job) is run.state:
            return Ok(None)
        self.engine.cancel_job(job)
        self._wake.set()
        return await self._submissions.wait_for_cancel(job)

    def _estimate_wait(self):
        """Return the expected seconds until the row of a new job would be stored."""
        rows = self.engine.unstored_job_count + len(self._submissions.jobs)
        return rows / MAX_ENTRIES * self._writer.transaction_seconds

    def depose(self, reason):
        """End the term immediately because another member owns the cell."""
        self._deposed_reason = reason
        if self._rounds_task is not None:
            self._rounds_task.cancel()

    def wake(self):
        """Start the next round early."""
        self._wake.set()

    async def _load(self):
        self.engine.apply_desired(self._ports.desired())
        self._worker_registry.start()
        self._member_registry.start()
        await self._renew_during(self._loader.load())
        await self._worker_registry.wait_until_read()
        # Evacuations are not announced; they have to be known before the first start.
        await self._renew_during(self._ports.desired_replica.wait_until_read())
        self.engine.evacuate_zones(self._ports.evacuated_zones())
        self.engine.update_workers(self._worker_registry.workers)
        self.engine.add_unlisted_workers()
        self._dispatcher.follow_workers()
        self.is_loaded = self._writer.is_serving = True
        self._log.log_loaded(self.engine)

    async def _renew_during(self, coroutine):
        """Keep renewing the owner's lease while a coroutine runs."""
        task = asyncio.create_task(coroutine)
        try:
            while not task.done():
                if self._writer.needs_renewal:
                    await self._writer.write([])
                await asyncio.wait([task], timeout=RENEWAL_CHECK_SECONDS)
            await task
        finally:
            task.cancel()

    def _on_approval(self):
        self._request_approvals()
        self._wake.set()

    def _request_approvals(self):
        free = self._approval_dispatcher.count_free_members()
        self._approval_dispatcher.start_calls(
            self.engine.find_steps_without_approval(free)
        )

    async def _run_rounds(self, stop):
        last_round = 0.0
        loop = asyncio.get_running_loop()
        while not stop.is_set():
            try:
                async with asyncio.timeout(MAX_ROUND_INTERVAL_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            pause = last_round + MIN_ROUND_INTERVAL_SECONDS - loop.time()
            if pause > 0:
                await asyncio.sleep(pause)
            self._wake.clear()
            last_round = loop.time()
            await self._run_round()

    async def _run_round(self):
        """Place tasks, store the changed progress, then send starts and stops.

        Starts are sent, and ends of runs acknowledged to the workers, only after the
        store has confirmed them.
        """
        engine = self.engine
        engine.apply_desired(self._ports.desired())
        engine.evacuate_zones(self._ports.evacuated_zones())
        engine.update_workers(self._worker_registry.workers)
        self._dispatcher.follow_workers()
        engine.expire_leases()
        engine.stop_stalled_runs()
        engine.stop_runs_on_leaving_workers()
        with self._track(LoopWork.PLAN, steps=engine.eligible_count):
            needs_approval = engine.plan()
        self._approval_dispatcher.start_calls(needs_approval)
        with self._track(LoopWork.ENCODE_PROGRESS, jobs=engine.unstored_job_count):
            batch = engine.collect(MAX_ENTRIES, self._submissions.jobs)
        jobs = self._submissions.start_commit(batch.new_jobs)
        if jobs or batch.rows or self._writer.needs_renewal:
            refused = await self._writer.write(make_row_groups(batch.rows, jobs))
            if refused:
                engine.withdraw_refused(batch, refused)
            self._submissions.finish_commit()
            with self._track(LoopWork.CONFIRM, starts=len(batch.placements)):
                self._dispatcher.send_starts(engine.confirm_batch(batch))
                engine.acknowledge_ends()
            self._dispatcher.on_committed()
        if engine.unstored_job_count or engine.is_plan_partial:
            self._wake.set()
        with self._track(LoopWork.STOPS, workers=len(engine.workers)):
            self._dispatcher.send_stops(engine.find_due_stops())
        self._dispatcher.send_paces(engine.find_due_paces())

    def _track(self, work, **fields):
        return track_loop_work(self._ports.metrics, work, **fields)

    def _request_handover(self):
        self._start_task(self._announcer.request_handover())

    def _start_supervised(self, name, run):
        self._start_task(keep_running(name, run))

    def _start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(Event.TERM_FAILED, reason=repr(task.exception()))
