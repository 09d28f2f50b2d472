"""The owner of a cell: loads it, talks to its workers and stores what changes."""

import asyncio

from result import Err, Ok

from cactustiller.model import ErrorCode, Failure, JobId, Outcome
from cactustiller.model.messages import AnnounceOwner, HandOver

from .approvals import ApprovalDesk
from .commits import BatchWriter, OwnershipLostError
from .engine import LEASE_SECONDS, Engine
from .events import Event, log_event
from .ports import (
    CANCEL_SUFFIX,
    CELL_PART,
    JOB_TABLE,
    PROGRESS_TABLE,
    StartAnswer,
    StartOrder,
    split_job_key,
)
from .specs import decode_job

# Least time between two rounds: lets ends and arrivals share a transaction.
ROUND_SECONDS = 0.015
# Longest time between two rounds, for what only time changes.
IDLE_ROUND_SECONDS = 0.15
# Renews each lease several times over.
HOLD_WAIT_MS = 1000
HOLD_RETRY_SECONDS = 0.25
# How long a worker may take to be fenced before the owner places without it.
FENCE_SECONDS = 0.5
# Jobs reach the owner by offers at once; the feed brings those whose offer was lost.
FEED_PAUSE_SECONDS = 0.4
# Members that hear of an owner and of a desired state only from peers get it in time
# for the bound of 2 s on configuration changes.
ANNOUNCE_SECONDS = 0.7
INVITE_SECONDS = 0.25
READ_SECONDS = 1.5
READ_RETRY_SECONDS = 0.1
# Pause before a refused start is tried again, so that it does not spin.
REFUSED_PAUSE_SECONDS = 0.1
UNHEALTHY_PAUSE_SECONDS = 1.5
REFUSALS_WITHOUT_PAUSE = (StartAnswer.NO_TICKET, StartAnswer.OLD_RUN)
PAST_ALL_KEYS = "\x7f"


class Owner:
    """One term of ownership.

    Parameters
    ----------
    ports : Ports
        Store, worker calls, approval service and the makers of followers.
    claim : tuple
        What the election returned.
    status_ms : int
        How long finished jobs stay readable.
    """

    def __init__(self, ports, claim, status_ms):
        loop = asyncio.get_running_loop()
        self.engine = Engine(loop.time)
        self.is_loaded = False
        self._ports = ports
        self._status_ms = status_ms
        self._writer = BatchWriter(
            ports.store,
            claim,
            self._refuse_unwritten,
            self._refuse_jobs,
            lambda: self._run_aside(self._invite_successor()),
        )
        self._in_flight = frozenset()
        self._fence = claim[0].epoch
        self._wake = asyncio.Event()
        self._committed = asyncio.Event()
        self._cancelled = set()
        self._handed_in = {}
        self._withdrawn = {}
        self._loops = {}
        self._tasks = set()
        self._feed_version = 0
        self._registry = ports.make_registry(self._wake.set)
        self._roster = ports.make_roster()
        self._desk = ApprovalDesk(
            self.engine,
            ports.approvals,
            ports.peers,
            self._roster.find_addresses,
            self._take_approval,
        )

    async def run(self, stop):
        """Own the cell until it is lost or `stop` is set, then release it."""
        record = self._writer.record
        log_event(Event.TAKEOVER, epoch=record.epoch, member=record.member)
        feed = None
        try:
            await self._load()
            feed = asyncio.create_task(self._follow_jobs())
            self._run_aside(self._announce())
            await self._serve(stop)
            await self._writer.release()
            log_event(Event.OWNERSHIP_RELEASED, epoch=record.epoch)
            await self._roster.notify_successor(self._ports.peers, record.epoch)
        except OwnershipLostError as error:
            log_event(Event.OWNERSHIP_LOST, epoch=record.epoch, reason=str(error))
        finally:
            self.is_loaded = False
            self._fail_callers()
            tasks = [*self._loops.values(), *self._tasks]
            tasks += [feed] if feed else []
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._desk.close()
            await self._registry.stop()
            await self._roster.stop()

    # Entry points of this member

    async def hand_in(self, job, row):
        """Store a job with the next batch; return ``Ok(None)`` once it is stored."""
        if job in self.engine.shown:
            return Ok(None)
        if self._writer.is_store_lost and job not in self._handed_in:
            return self._fail(ErrorCode.UNAVAILABLE, "the store is away")
        if job not in self._handed_in:
            self._handed_in[job] = (row, asyncio.get_running_loop().create_future())
            self._add_job(job, row, is_stored=False)
            # Approval comes while the store is busy, so that the job's row and its
            # placement share a transaction.
            self._desk.ask(self.engine.find_unapproved())
            self._wake.set()
        _, future = self._handed_in[job]
        return await asyncio.shield(future)

    async def withdraw(self, job):
        """Cancel a job; return ``Ok(None)`` once that is stored."""
        run = self.engine.jobs.get(job)
        if run is None:
            return self._fail(ErrorCode.NOT_FOUND, "this owner knows no such job")
        if run.state.is_final and self.engine.shown.get(job) is run.state:
            return Ok(None)
        self.engine.cancel_job(job)
        future = self._withdrawn.setdefault(
            job, asyncio.get_running_loop().create_future()
        )
        self._wake.set()
        return await asyncio.shield(future)

    def wake(self):
        """Ask for a round soon."""
        self._wake.set()

    # Loading

    async def _load(self):
        self.engine.apply_desired(self._ports.desired())
        self._registry.start()
        self._roster.start()
        progress, _ = await self._read_table(PROGRESS_TABLE, CELL_PART)
        jobs, self._feed_version = await self._read_table(JOB_TABLE, CELL_PART)
        rows = {row.key.key: row.value for row in progress}
        self._take_job_rows(jobs, rows)
        await self._registry.wait_until_read()
        self.engine.update_workers(self._registry.workers)
        self.engine.adopt_missing_workers()
        self._start_loops()
        self.is_loaded = True
        log_event(
            Event.STARTED,
            what="cell",
            epoch=self._fence,
            jobs=len(self.engine.jobs),
            workers=len(self.engine.workers),
        )

    async def _read_table(self, table, part, renews=True):
        """Return all rows and the version that the first page shows.

        The owner's row is renewed in between where nothing else does so.
        """
        rows = []
        version = None
        first = ""
        while True:
            answer = await self._ports.store.read(
                table, part, first, PAST_ALL_KEYS, READ_SECONDS
            )
            if answer.is_err():
                await asyncio.sleep(READ_RETRY_SECONDS)
                if renews:
                    await self._writer.write([])
                continue
            page = answer.unwrap()
            rows += page.rows
            version = page.version if version is None else version
            if not page.has_more:
                return rows, version
            first = page.rows[-1].key.key + "\0"
            if renews and self._writer.needs_renewal:
                await self._writer.write([])

    def _take_job_rows(self, rows, progress):
        for row in rows:
            job, is_cancel = split_job_key(row.key.key)
            if is_cancel and row.value is not None:
                self._cancelled.add(job)
        for row in rows:
            job, is_cancel = split_job_key(row.key.key)
            if not is_cancel and row.value is not None:
                self._add_job(job, row.value, progress.get(job))
        for job in self._cancelled:
            self.engine.cancel_job(job)

    def _add_job(self, job, row, progress=None, is_stored=True):
        try:
            spec = decode_job(JobId(job), row)
            self.engine.add_job(spec, progress, is_stored)
        except ValueError as error:
            log_event(Event.ENTRY_UNREADABLE, what="job", job=job, reason=str(error))
            return
        if job in self._cancelled:
            self.engine.cancel_job(job)

    def _take_approval(self):
        self._desk.ask(self.engine.find_unapproved())
        self._wake.set()

    # Rounds

    async def _serve(self, stop):
        last_round = 0.0
        loop = asyncio.get_running_loop()
        while not stop.is_set():
            try:
                async with asyncio.timeout(IDLE_ROUND_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            pause = last_round + ROUND_SECONDS - loop.time()
            if pause > 0:
                await asyncio.sleep(pause)
            self._wake.clear()
            last_round = loop.time()
            await self._play_round()

    async def _play_round(self):
        engine = self.engine
        engine.apply_desired(self._ports.desired())
        engine.update_workers(self._registry.workers)
        self._start_loops()
        engine.expire_leases()
        engine.find_stalled()
        self._desk.ask(engine.plan())
        if self._writer.is_fenced:
            await self._writer.write([])
        batch = engine.collect()
        handed_in, withdrawn = dict(self._handed_in), dict(self._withdrawn)
        self._in_flight = frozenset(handed_in)
        if handed_in or (batch is not None and batch.rows):
            rows = list(batch.rows.items()) if batch else []
            await self._writer.write(
                rows, [(job, row) for job, (row, _) in handed_in.items()]
            )
        elif self._writer.needs_renewal:
            await self._writer.write([])
        self._in_flight = frozenset()
        handed_in = {
            job: self._handed_in[job] for job in handed_in if job in self._handed_in
        }
        engine.confirm_jobs(handed_in)
        if batch is not None:
            for placement in engine.confirm(batch):
                self._run_aside(self._send_start(placement))
            self._committed.set()
            self._committed = asyncio.Event()
        self._answer_callers(handed_in, withdrawn)
        for stop in engine.find_stops():
            self._run_aside(self._send_stop(stop))

    def _refuse_unwritten(self):
        """Refuse the jobs that no transaction on its way holds."""
        self._refuse_jobs(
            [job for job in self._handed_in if job not in self._in_flight]
        )

    def _refuse_jobs(self, jobs):
        """Refuse jobs that surely are not stored, and forget them."""
        for job in jobs:
            _, future = self._handed_in.pop(job)
            self.engine.drop_job(job)
            future.set_result(self._fail(ErrorCode.UNAVAILABLE, "the store is away"))

    def _answer_callers(self, handed_in, withdrawn):
        for job, (_, future) in handed_in.items():
            del self._handed_in[job]
            future.set_result(Ok(None))
        for job, future in withdrawn.items():
            del self._withdrawn[job]
            future.set_result(Ok(None))

    def _fail_callers(self):
        """Answer those who wait when the term ends; their rows may still be stored."""
        futures = [future for _, future in self._handed_in.values()]
        for future in [*futures, *self._withdrawn.values()]:
            if not future.done():
                future.set_result(
                    self._fail(ErrorCode.NOT_OWNER, "the term ended", Outcome.UNKNOWN)
                )

    def _fail(self, code, reason, outcome=Outcome.NOT_RUN):
        return Err(
            Failure(
                code=code,
                step="store job",
                peer=self._writer.record.member,
                reason=reason,
                outcome=outcome,
            )
        )

    def _run_aside(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_done)

    def _note_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(Event.TERM_FAILED, reason=repr(task.exception()))

    async def _send_start(self, placement):
        task, worker, ticket = placement
        loop = asyncio.get_running_loop()
        run, step = task.run, task.step
        sent_at = loop.time()
        deadline_ms = worker.make_deadline_ms(sent_at, LEASE_SECONDS)
        if deadline_ms is None:
            # The worker was lost after it was chosen.
            self.engine.reject_start(worker, task, run, sent_at)
            return
        order = StartOrder(
            task=task.name,
            run=run,
            payload=step.job.spec.payload,
            deadline_ms=deadline_ms,
            fence=self._fence,
            checkpoint=task.checkpoint,
            ticket=ticket,
        )
        answer = await self._ports.worker_calls.start(worker.info, order)
        now = loop.time()
        fields = {
            "job": step.job.spec.job,
            "task": task.name,
            "run": run,
            "worker": worker.info.worker,
        }
        if answer is StartAnswer.STARTED:
            log_event(
                Event.RUN_STARTED,
                **fields,
                waited=round(sent_at - step.eligible_at, 3),
                ticket_age=round(step.approved_until - sent_at, 3),
            )
            self.engine.confirm_start(task, run, now)
            self.engine.counters["starts"] += 1
            return
        if answer is StartAnswer.FENCED:
            self._writer.is_fenced = True
        self.engine.counters[f"starts_{answer.value}"] += 1
        if answer is StartAnswer.UNANSWERED:
            log_event(Event.RUN_UNANSWERED, **fields, seconds=round(now - sent_at, 3))
            task.is_unanswered = task.run == run
        else:
            log_event(Event.RUN_REFUSED, **fields, answer=answer.value)
            self._take_refusal(placement, run, answer, now)
        self._wake.set()

    def _take_refusal(self, placement, run, answer, now):
        task, worker, _ = placement
        if answer is StartAnswer.NO_TICKET:
            task.step.approved_until = 0.0
        if answer is StartAnswer.UNHEALTHY:
            worker.avoided_until = now + UNHEALTHY_PAUSE_SECONDS
        pause = 0.0 if answer in REFUSALS_WITHOUT_PAUSE else REFUSED_PAUSE_SECONDS
        self.engine.reject_start(worker, task, run, now + pause)

    async def _send_stop(self, stop):
        answer = await self._ports.worker_calls.stop(
            stop.worker.info, stop.task, stop.run, self._fence
        )
        if answer.is_ok():
            now = asyncio.get_running_loop().time()
            self.engine.confirm_stop(stop, now)
            log_event(
                Event.RUN_STOPPED,
                task=stop.task,
                run=stop.run,
                worker=stop.worker.info.worker,
            )
            await self._look(stop.worker)

    async def _look(self, worker):
        """Take a worker's list at once, beside the call that waits for ends."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        answer = await self._ports.worker_calls.hold(
            worker.info, self._fence, worker.acked_through, None, 0
        )
        if answer.is_ok():
            self.engine.apply_listing(worker, answer.unwrap(), sent_at, loop.time())
            self._wake.set()

    # Loops

    def _start_loops(self):
        for worker_id, worker in self.engine.workers.items():
            if worker_id not in self._loops and worker.info.address:
                task = asyncio.create_task(self._hold_worker(worker))
                self._loops[worker_id] = task
                task.add_done_callback(self._note_done)
                task.add_done_callback(
                    lambda _, worker_id=worker_id: self._loops.pop(worker_id, None)
                )

    async def _hold_worker(self, worker):
        """Renew a worker's lease and take what it lists, until it is removed."""
        loop = asyncio.get_running_loop()
        key = worker.info.worker
        while self.engine.workers.get(key) is worker:
            is_caught_up = worker.acked_through == worker.seen_through
            waits = worker.is_synchronized and worker.is_reachable and is_caught_up
            sent_at = loop.time()
            answer = await self._ports.worker_calls.hold(
                worker.info,
                self._fence,
                worker.acked_through,
                worker.make_deadline_ms(sent_at, LEASE_SECONDS),
                HOLD_WAIT_MS if waits else 0,
            )
            if answer.is_err():
                self._note_unreachable(worker, answer.unwrap_err())
                await asyncio.sleep(HOLD_RETRY_SECONDS)
                continue
            self._note_reachable(worker)
            self.engine.apply_listing(worker, answer.unwrap(), sent_at, loop.time())
            self._wake.set()
            if worker.seen_through != worker.acked_through:
                await self._wait_for_commit()

    async def _wait_for_commit(self):
        try:
            async with asyncio.timeout(HOLD_WAIT_MS / 1000):
                await self._committed.wait()
        except TimeoutError:
            return

    def _note_unreachable(self, worker, failure):
        if worker.is_reachable:
            worker.is_reachable = False
            log_event(
                Event.WORKER_LOST,
                worker=worker.info.worker,
                peer=failure.peer,
                reason=failure.reason,
                runs=len(worker.runs),
            )
        if failure.code is ErrorCode.FENCED:
            self._writer.is_fenced = True
        self._wake.set()

    def _note_reachable(self, worker):
        if not worker.is_reachable:
            worker.is_reachable = True
            log_event(
                Event.WORKER_BACK, worker=worker.info.worker, runs=len(worker.runs)
            )

    async def _invite_successor(self):
        """Ask members, the youngest first, to take over if the store serves them."""
        epoch = self._writer.record.epoch
        for address in self._roster.find_addresses():
            message = HandOver(epoch=epoch)
            answer = await self._ports.peers.call(address, message, INVITE_SECONDS)
            if answer.is_ok():
                log_event(Event.HANDOVER_ASKED, epoch=epoch, successor=address)
                return

    async def _announce(self):
        """Tell the members who owns the cell; some may not reach the store."""
        record = self._writer.record
        while True:
            message = AnnounceOwner(
                epoch=record.epoch,
                member=record.member,
                address=record.address,
                desired_version=self.engine.desired.version,
            )
            addresses = self._roster.find_addresses()
            await asyncio.gather(
                *(
                    self._ports.peers.call(address, message, ANNOUNCE_SECONDS)
                    for address in addresses
                )
            )
            await asyncio.sleep(ANNOUNCE_SECONDS if addresses else READ_RETRY_SECONDS)

    async def _follow_jobs(self):
        """Take the jobs whose offer was lost."""
        while True:
            await asyncio.sleep(FEED_PAUSE_SECONDS)
            answer = await self._ports.store.follow(JOB_TABLE, self._feed_version, 0.0)
            if answer.is_ok():
                page = answer.unwrap()
                self._feed_version = max(self._feed_version, page.version)
                rows = page.rows
            elif answer.unwrap_err().code is ErrorCode.HISTORY_LOST:
                rows, self._feed_version = await self._read_table(
                    JOB_TABLE, CELL_PART, renews=False
                )
            else:
                continue
            fresh = [
                row
                for row in rows
                if row.key.key.endswith(CANCEL_SUFFIX)
                or row.key.key not in self.engine.jobs
            ]
            if fresh:
                self._take_job_rows(fresh, {})
                self._wake.set()
