"""Cell of the size of the large site, and a record of what its callers see."""

import asyncio
import random
from contextvars import ContextVar

import structlog

from cactustiller.cell import Acceptance
from cactustiller.cell.reporting.events import Event
from cactustiller.model import JobState
from cactustiller.model.messages import AskApproval
from standins.fleet import FleetCell, make_job, make_queue
from standins.fleet.approvals import FleetApprovals
from standins.fleet.peers import PeerNetwork
from standins.fleet.workers import WorkerClient

STRONG = {"cores": 2.15, "link_mbps": 100.0}
WEAK = {"cores": 0.516, "link_mbps": 20.0}
STRONG_MEMBERS, WEAK_MEMBERS = 15, 82
# Seconds of a read of all jobs, and delay of other answers during it.
STRONG_READ, STRONG_DELAY = 0.3, 0.05
WEAK_READ, WEAK_DELAY = 3.6, 1.2
APPROVAL_MS, APPROVAL_WORKER_MS = 480.0, 7.0
QUEUE = make_queue(
    needs_approval=True, approval_ms=APPROVAL_MS, approval_worker_ms=APPROVAL_WORKER_MS
)
# Tasks, millicores, seconds and share of the work of each kind of job.
KINDS = {"rebase": (16, 9000, 6.2, 0.5), "impute": (15, 5500, 3.4, 0.35)}
KINDS["outlet"] = (3, 7900, 0.64, 0.15)
WORKER_CPU = 32_000
# The interval of `LeaseMs`, in which former and present holders may not take turns.
HOLDER_SECONDS = 3.0

_asked_for = ContextVar("asked_for", default=None)


class _Approvals(FleetApprovals):
    """Approvals that take the time that their queue states."""

    def __init__(self, note):
        super().__init__(lambda step, worker: True)
        self._note = note

    async def ask(self, step, workers):
        self._seconds = (APPROVAL_MS + APPROVAL_WORKER_MS * len(workers)) / 1000
        if _asked_for.get() is None:
            self._note()
        return await super().ask(step, workers)


class _Network(PeerNetwork):
    """Network that notes on whose behalf members ask for approvals."""

    def __init__(self, note):
        super().__init__()
        self._note = note

    async def carry(self, sender, address, message, seconds):
        if isinstance(message, AskApproval):
            self._note(sender.member)
        return await super().carry(sender, address, message, seconds)

    def make_peers(self, identity, handle):
        async def serve(message, hello):
            if isinstance(message, AskApproval):
                _asked_for.set(hello.member)
            return await handle(message, hello)

        return super().make_peers(identity, serve)


class _Workers(WorkerClient):
    """Way to the workers that notes starts."""

    def __init__(self, workers, note):
        super().__init__(workers)
        self._note = note

    async def start(self, worker, order):
        self._note(order.fencing_token)
        return await super().start(worker, order)


class LargeCell(FleetCell):
    """Cell that records terms, approval calls, starts and accepted jobs.

    Attributes
    ----------
    terms : dict of int to list of (float, Event, dict)
        Log lines of the terms of ownership, by epoch.
    asked : list of (float, str)
        Times and members of the approval calls that owners made.
    ordered : list of (float, int)
        Times and epochs of the starts that were sent.
    ended : dict of str to float
        Times at which members were deposed or killed by the test.
    accepted : list of JobSpec
    """

    def __init__(self, workers, strong=STRONG_MEMBERS, weak=WEAK_MEMBERS, seed=1):
        super().__init__(strong, workers, queues=[QUEUE], settings=STRONG)
        self.random = random.Random(seed)
        self.kinds = {}
        self.terms, self.asked, self.ordered, self.accepted = {}, [], [], []
        self.stops = []
        self.network = _Network(self._note_asked)
        self._weak = weak
        self._next_job = 0
        structlog.configure(processors=[self._note_line])

    async def start(self):
        await super().start()
        for _ in range(self._weak):
            await self.add_member(**WEAK)

    async def add_member(self, name=None, **settings):
        name = await super().add_member(name, **settings)
        self.kinds[name] = settings
        member, is_weak = self.members[name], settings == WEAK
        member.approvals = _Approvals(lambda: self._note_asked(name))
        calls = _Workers(self.workers, self._note_ordered)
        self.worker_clients[name] = member.worker_calls = calls
        store = self.stores[name]
        store.read_seconds = WEAK_READ if is_weak else STRONG_READ
        store.answer_seconds = WEAK_DELAY if is_weak else STRONG_DELAY
        return name

    async def kill(self, name):
        self.stops.append((self.now, name))
        await super().kill(name)

    def depose(self, name):
        """End a member's term while its process lives."""
        self.stops.append((self.now, name))
        self.members[name]._owner.depose("deposed by the test")

    @property
    def now(self):
        """Time of the loop in seconds."""
        return asyncio.get_running_loop().time()

    async def hand_in(self, seconds):
        """Hand in jobs at once that fill all workers for some seconds."""
        room = len(self.workers) * WORKER_CPU * seconds
        jobs = [
            self._make_job(kind)
            for kind, (count, cpu, work, share) in KINDS.items()
            for _ in range(max(1, round(share * room / (count * cpu * work))))
        ]
        self.random.shuffle(jobs)
        names = [name for name in self.members if name != self.find_owner()]
        callers = [self.random.choice(names) for _ in jobs]
        outcomes = await asyncio.gather(
            *(
                self.submit(spec, seconds=work, member=name)
                for (spec, work), name in zip(jobs, callers, strict=True)
            )
        )
        pairs = zip(jobs, outcomes, strict=True)
        taken = [spec for (spec, _), answer in pairs if answer is Acceptance.ACCEPTED]
        self.accepted += taken
        return len(taken) / len(jobs)

    async def list_open(self, until):
        """Return the accepted jobs that callers don't see as done by a time."""
        open_jobs = self.accepted
        while open_jobs and self.now < until:
            await asyncio.sleep(0.5)
            name = self.random.choice(list(self.members))
            intake = self.members[name].intake
            found = [await intake.find_state(s.queue, s.job) for s in open_jobs]
            open_jobs = [
                spec
                for spec, state in zip(open_jobs, found, strict=True)
                if not (state.is_known and state.value is JobState.SUCCEEDED)
            ]
        return [(spec.job, spec.steps[0].count) for spec in open_jobs]

    def list_late_calls(self):
        """Return approval calls and starts of former owners after their terms."""
        spans = [(epoch, *self._find_span(epoch)) for epoch in self.terms]
        late = [
            f"{member} asks for an approval at {at:.3f}, terms {spans}"
            for at, member in self.asked
            if not any(m == member and begin <= at <= end for _, m, begin, end in spans)
        ]
        ends = {epoch: end for epoch, _, _, end in spans}
        return late + [
            f"start of epoch {epoch} at {at:.3f}, terms {spans}"
            for at, epoch in self.ordered
            if at > ends[epoch]
        ]

    def count_unserved_terms(self):
        """Return the number of terms that ended before their owner served."""
        return sum(
            all(event != Event.STARTED for _, event, _ in lines)
            for lines in self.terms.values()
        )

    def _find_span(self, epoch):
        """Return the member of a term, its begin, and its end as callers see it."""
        lines = self.terms[epoch]
        member = next(f["member"] for _, e, f in lines if e == Event.TAKEOVER)
        begin = lines[0][0]
        ends = [at for at, event, _ in lines if event in OVER]
        ends += [at for at, name in self.stops if name == member and at >= begin][:1]
        ends += [
            at + HOLDER_SECONDS
            for later, others in self.terms.items()
            for at, event, _ in others
            if later > epoch and event == Event.STARTED
        ]
        return member, begin, min(ends, default=float("inf"))

    def _make_job(self, kind):
        count, cpu, seconds, _ = KINDS[kind]
        self._next_job += 1
        estimate_ms = int(seconds * 1000)
        spec = make_job(self._next_job, QUEUE, count, cpu, estimate_ms)
        return spec, seconds

    def _note_line(self, logger, method, line):
        event = line["event"]
        is_cell = event != Event.STARTED or line.get("what") == "cell"
        is_term = event in (Event.TAKEOVER, Event.STARTED, *OVER)
        if is_term and is_cell and "epoch" in line:
            lines = self.terms.setdefault(line["epoch"], [])
            lines.append((self.now, event, line))
        raise structlog.DropEvent

    def _note_asked(self, member):
        self.asked.append((self.now, member))

    def _note_ordered(self, epoch):
        self.ordered.append((self.now, epoch))


OVER = (Event.OWNERSHIP_LOST, Event.OWNERSHIP_RELEASED, Event.TERM_FAILED)
