"""One member of a cell: serves callers and may be elected owner of the cell."""

import asyncio
import random
import time
import traceback
import uuid

from cactustiller.model import ErrorCode, Failure
from cactustiller.model.messages import (
    AnnounceOwner,
    AnnounceOwnership,
    ApprovalGiven,
    AskApproval,
    CountPending,
    DesiredText,
    Done,
    FindJobState,
    GetDesired,
    HandInJob,
    HandOver,
    Hello,
    WithdrawJob,
)
from cactustiller.peers import PeerClient, PeerServer, Traffic

from ..owner.election import Election
from ..owner.owner import Owner
from ..ports import MEMBER_TABLE, RowKey, Transaction
from ..reporting.events import Event, log_event
from ..reporting.gauges import read_cell_gauges
from ..reporting.loop_monitor import monitor_loop
from ..reporting.metering import MeteredApprovals, MeteredStore, MeteredWorkerCalls
from ..reporting.metrics import Count, Gauge, Latency, Metrics
from ..supervision import keep_running
from .desired_replica import DesiredReplica
from .followers import MemberRegistry, WorkerRegistry, encode_member_row
from .intake import Intake
from .owner_calls import serve_owner_call

ROLE = "cell"
MEMBER_ROW_RETRY_SECONDS = 0.5
MEMBER_ROW_TIMEOUT_SECONDS = 1.5
FAILED_TERM_PAUSE_SECONDS = 0.5
DESIRED_CALL_TIMEOUT_SECONDS = 0.5


class Member:
    """Serves callers and owns the cell while elected.

    Parameters
    ----------
    settings : MemberSettings
    dependencies : Dependencies
        Store, worker calls and the platform's tables and decoders.

    Attributes
    ----------
    listeners : list
        Listening addresses for HTTP, whose use of resources the metrics show.
    """

    def __init__(self, settings, dependencies):
        self.settings = settings
        self.metrics = Metrics(self._read_gauges)
        self.store = MeteredStore(dependencies.store, self.metrics)
        self.worker_calls = MeteredWorkerCalls(dependencies.worker_calls, self.metrics)
        self.approvals = MeteredApprovals(dependencies.approvals, self.metrics)
        self.wall_clock_ms = dependencies.wall_clock_ms
        self.desired_replica = DesiredReplica(
            self.store, dependencies, self._on_desired_change
        )
        self._dependencies = dependencies
        self.listeners = []
        self._owner = None
        self._stop = asyncio.Event()
        self._tasks = []
        self._loop_monitor = None
        identity = Hello(
            member=settings.member,
            role=ROLE,
            zone=settings.zone,
            incarnation=uuid.uuid4().hex,
        )
        make_peers = dependencies.make_peers or self._make_tcp_peers
        self.peers, self._server = make_peers(identity, self._handle_message)
        self._election = Election(
            self.store, settings.member, settings.peer_address, settings.strength
        )
        self.intake = Intake(
            self.store,
            self.peers,
            self._find_owner,
            self._election,
            random.Random(settings.member),
            self.metrics,
            settings.max_row_bytes,
        )

    async def start(self):
        """Start the peer server and take part in the election."""
        await self._server.start(self.settings.host, self.settings.peer_port)
        self.desired_replica.start()
        self._tasks = [
            asyncio.create_task(keep_running("publish member", self._publish_row)),
            asyncio.create_task(keep_running("elect owner", self._run_terms)),
        ]
        self._loop_monitor = asyncio.create_task(
            keep_running(
                "monitor loop", lambda: monitor_loop(self.metrics, self.wall_clock_ms)
            )
        )
        log_event(Event.STARTED, what="member", address=self.settings.peer_address)

    async def release(self):
        """Release ownership and leave the election; calls are still served."""
        self._stop.set()
        log_event(Event.STOPPING, owns_cell=self._owner is not None)
        publish, terms = self._tasks
        publish.cancel()
        if self._owner is None:
            terms.cancel()
        await asyncio.gather(publish, terms, return_exceptions=True)
        await self._remove_row()

    @property
    def is_owner(self):
        """Whether this member owns the cell and has loaded its jobs."""
        return self._owner is not None and self._owner.is_loaded

    async def abort(self):
        """Stop without cleaning up, like a killed process."""
        tasks = [*self._tasks, self._loop_monitor]
        for task in tasks:
            task.cancel()
        self._election.close()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.desired_replica.stop()
        await self._server.stop()

    async def stop(self):
        """Stop serving and close every connection."""
        self._loop_monitor.cancel()
        self._election.close()
        await self.desired_replica.stop()
        await self._server.stop()
        await self.peers.close()
        log_event(Event.STOPPED)

    def is_ready(self):
        """Return whether this member should receive new connections."""
        return not self._stop.is_set() and self.desired_replica.is_confirmed()

    @property
    def desired_state(self):
        """Desired state in force."""
        return self.desired_replica.state

    def record_answer(self, call, status, seconds):
        """Count an answer to a caller and its latency in seconds."""
        self.metrics.count(Count.ANSWERS, call, str(status))
        self.metrics.record(Latency.ANSWER, seconds, call)

    def report_refused_client(self, refused):
        """Log and count a `RefusedClient`."""
        reason = refused.reason.value
        self.metrics.count(Count.CLIENTS_REFUSED, refused.listener, reason)
        log_event(
            Event.CLIENT_REFUSED,
            listener=refused.listener,
            reason=reason,
            peer=refused.peer,
            held_bytes=refused.held_bytes,
            has_run=refused.has_run,
        )

    # Interface that `Owner` uses as its ports

    def desired(self):
        """Return the desired state in force."""
        return self.desired_state

    def evacuated_zones(self):
        """Return the availability zones that the operator has evacuated."""
        return self.desired_replica.evacuated_zones

    def make_worker_registry(self, on_change):
        """Return a registry that follows the platform's list of workers."""
        dependencies = self._dependencies
        return WorkerRegistry(
            self.store,
            dependencies.worker_table,
            dependencies.worker_part,
            dependencies.decode_worker,
            on_change,
        )

    def make_member_registry(self):
        """Return a registry that follows the list of members."""
        return MemberRegistry(self.store, self.settings.peer_address)

    def _on_desired_change(self):
        if self._owner is not None:
            self._owner.wake()

    async def _on_announcement(self, message):
        is_outdated = self.desired_replica.mark_announced(message.desired_version)
        if self._owner is not None and message.epoch > self._owner.epoch:
            self._owner.depose(f"{message.member} owns the cell")
        self.intake.mark_announced(message.address)
        self._election.record_announcement(
            message.epoch, message.member, message.address, message.is_standby
        )
        if is_outdated:
            answer = await self.peers.call(
                message.address, GetDesired(), DESIRED_CALL_TIMEOUT_SECONDS
            )
            if answer.is_ok() and answer.unwrap().text:
                self.desired_replica.apply_value(answer.unwrap().text.encode())
        return Done()

    async def _run_terms(self):
        """Own the cell after each election that this member wins, until released."""
        while not self._stop.is_set():
            claim = await self._election.wait_for_claim()
            self._owner = Owner(
                self,
                claim,
                self.settings.status_retention_ms,
                self._election.read_seconds,
            )
            try:
                await self._owner.run(self._stop)
            except Exception as error:
                # A bug must not end the process: it ends only the term, and this or
                # another member takes over.
                log_event(
                    Event.TERM_FAILED,
                    epoch=claim[0].epoch,
                    reason=repr(error),
                    trace=traceback.format_exc(),
                )
                await asyncio.sleep(FAILED_TERM_PAUSE_SECONDS)
            finally:
                self._owner = None

    def _find_owner(self):
        """Return this member's `Owner` or None, the owner's address and the epoch.

        The address is empty if this member is the owner, or if no owner is known to
        answer calls: one that still loads the jobs would only be delayed by them.
        """
        owner = self._owner
        record = self._election.record
        if owner is not None and owner.is_loaded:
            return owner, "", record.epoch
        is_serving = record.is_serving and not record.is_released
        if not is_serving or record.address == self.settings.peer_address:
            return None, "", record.epoch
        return None, record.address, record.epoch

    def _read_gauges(self):
        """Yield the gauges of this member and, if it is the owner, of the cell."""
        now = asyncio.get_running_loop().time()
        yield Gauge.IS_OWNER, (), int(self.is_owner)
        yield Gauge.EPOCH, (), self._election.record.epoch
        yield Gauge.DESIRED_VERSION, (), self.desired_state.version
        yield Gauge.DESIRED_AGE, (), self.desired_replica.age_seconds
        yield Gauge.WAITING_CALLERS, (), self.intake.waiting_count
        for listener in self.listeners:
            connections, memory = listener.connections, listener.memory
            yield Gauge.CLIENT_CONNECTIONS, (listener.name,), len(connections)
            yield Gauge.REQUEST_MEMORY, (listener.name,), memory.used_bytes
        for number, workers in self.worker_calls.count_connections().items():
            yield Gauge.WORKER_CONNECTIONS, (str(number),), workers
        if self.is_owner:
            yield from read_cell_gauges(self._owner.engine, now)
            yield Gauge.PENDING_SUBMISSIONS, (), self._owner.pending_submissions

    async def _publish_row(self):
        """Write this member's row, by which owners find its address."""
        key = RowKey(MEMBER_TABLE, MEMBER_TABLE, self.settings.member)
        started_ms = int(time.time() * 1000)
        row = {
            key: encode_member_row(
                self.settings.peer_address, started_ms, self.settings.strength
            )
        }
        while True:
            answer = await self.store.transact(
                Transaction({}, row), MEMBER_ROW_TIMEOUT_SECONDS
            )
            if answer.is_ok():
                return
            await asyncio.sleep(MEMBER_ROW_RETRY_SECONDS)

    async def _remove_row(self):
        key = RowKey(MEMBER_TABLE, MEMBER_TABLE, self.settings.member)
        await self.store.transact(Transaction({}, {}, (key,)), MEMBER_ROW_RETRY_SECONDS)

    async def _handle_message(self, message, hello):
        match message:
            case FindJobState():
                return self.intake.answer_state(message)
            case HandInJob() | WithdrawJob():
                owner, _, _ = self._find_owner()
                if owner is not None:
                    answer = await serve_owner_call(owner, message)
                    return Done() if answer.is_ok() else answer.unwrap_err()
            case AnnounceOwner():
                return await self._on_announcement(message)
            case HandOver():
                if await self._election.accept_handover(message.epoch):
                    return Done()
            case GetDesired():
                return DesiredText(text=self.desired_replica.value.decode())
            case AnnounceOwnership():
                self._election.read_soon()
                return Done()
            case CountPending():
                reply = self.intake.answer_pending(message)
                if reply is not None:
                    return reply
            case AskApproval():
                return await self._request_approval(message)
        return Failure(
            code=ErrorCode.NOT_OWNER,
            step=f"answer {type(message).__name__}",
            peer=hello.member,
            reason="this member does not own the cell",
        )

    def _make_tcp_peers(self, identity, handle):
        traffic = Traffic()
        limits, report = self.settings.peer_limits, self.report_refused_client
        server = PeerServer(identity, handle, traffic, limits, report)
        return PeerClient(identity, traffic), server

    async def _request_approval(self, message):
        answer = await self.approvals.ask(message.step, message.workers)
        if answer.is_err():
            return answer.unwrap_err()
        approval = answer.unwrap()
        return ApprovalGiven(
            tickets=approval.tickets, valid_ms=int(approval.valid_seconds * 1000)
        )
