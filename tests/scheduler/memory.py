"""In-memory table port on the logic of the stand-in, and test records."""

import asyncio

from result import Err, Ok

from cactustiller.model import (
    ErrorCode,
    Failure,
    JobSpec,
    MemberRecord,
    Outcome,
    Resources,
    TaskTemplate,
)
from cactustiller.ports import ReadReply, TransactReply
from standins.table import ReadRequest, TableStore, TransactRequest


def fail(reason, outcome=Outcome.UNKNOWN):
    return Err(
        Failure(
            code=ErrorCode.TIMEOUT,
            step="test",
            peer="memory",
            reason=reason,
            outcome=outcome,
        )
    )


class MemoryTable:
    """Table service without sockets; several ports may share one store."""

    def __init__(self, store=None):
        self.store = store or TableStore()
        self.is_down = False
        self.lose_next = 0
        self.drop_next = 0
        self.latency_seconds = 0.0
        self.reads = 0
        self.transactions = 0

    async def transact(self, write):
        self.transactions += 1
        request = TransactRequest(**write.model_dump())
        return await self._call(self.store.transact, request, TransactReply)

    async def read(self, read):
        self.reads += 1
        return await self._call(
            self.store.read, ReadRequest(**read.model_dump()), ReadReply
        )

    async def _call(self, perform, request, reply_class):
        await asyncio.sleep(self.latency_seconds / 2)
        if self.is_down:
            return fail("down")
        if self.drop_next:
            self.drop_next -= 1
            return fail("dropped")
        reply = perform(request)
        await asyncio.sleep(self.latency_seconds / 2)
        if self.lose_next:
            self.lose_next -= 1
            return fail("answer lost")
        return Ok(reply_class.model_validate(reply.model_dump()))


SPEC = JobSpec(
    name="a",
    team="t",
    queue="q",
    kind="batch",
    task_count=1,
    template=TaskTemplate(resources=Resources(cpu_millis=1)),
)


class NoEvacuations:
    """Evacuations of a cell that has evacuated no zone."""

    zones = frozenset()
    is_stale = False

    def find_reason(self, zone):
        return ""

    find_refusal = find_reason

    async def refresh(self):
        return


async def refuse_all(message, hello):
    raise AssertionError("no peer calls here")


def build_record(name):
    return MemberRecord(
        member=name,
        role="scheduler",
        instance=name,
        zone="a",
        peer_address="127.0.0.1:1",
        incarnation="",
    )
