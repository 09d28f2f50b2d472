"""In-memory table port over the stand-in's logic."""

from result import Ok

from cactustiller.platform import ReadReply, TransactReply
from standins.table import ReadRequest, TableStore, TransactRequest


class MemoryTable:
    """Table service without sockets."""

    def __init__(self):
        self.store = TableStore()

    async def transact(self, write):
        reply = self.store.transact(TransactRequest(**write.model_dump()))
        return Ok(TransactReply.model_validate(reply.model_dump()))

    async def read(self, read):
        reply = self.store.read(ReadRequest(**read.model_dump()))
        return Ok(ReadReply.model_validate(reply.model_dump()))
