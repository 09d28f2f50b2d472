import pytest
from result import Err

from cactustiller.model import ErrorCode, Failure, Outcome
from cactustiller.ports import Committer, Put, Write
from tests.scheduler.memory import MemoryTable

pytestmark = pytest.mark.looptime
FENCE = "member/m1"
LOST = Failure(
    code=ErrorCode.TIMEOUT, step="transact", reason="lost", outcome=Outcome.UNKNOWN
)
WRITE = Write(puts=[Put(key="job/j1", value={})])


class FencingTable(MemoryTable):
    """Rewrites the fence row before or after the first transaction takes effect."""

    def __init__(self, takes_effect, answers):
        super().__init__()
        self._takes_effect = takes_effect
        self._answers = answers
        self._is_first = True

    async def transact(self, write):
        if not self._is_first:
            return await super().transact(write)
        self._is_first = False
        if self._takes_effect:
            await super().transact(write)
        fence = Write(puts=[Put(key=FENCE, value={"token": "fenced"})])
        await super().transact(fence)
        if self._answers:
            return await super().transact(write)
        return Err(LOST)


async def commit(table):
    committer = Committer(table, FENCE, lambda token: {"token": token})
    committer.start(0)
    answer = await committer.commit(WRITE, "submit")
    await committer.stop()
    return answer.unwrap_err()


@pytest.mark.parametrize("takes_effect", [True, False])
async def test_lost_reply_before_a_takeover_has_unknown_outcome(takes_effect):
    failure = await commit(FencingTable(takes_effect, answers=False))
    assert (failure.code, failure.outcome) == (ErrorCode.FENCED, Outcome.UNKNOWN)


async def test_refused_write_of_a_fenced_member_has_not_run():
    failure = await commit(FencingTable(takes_effect=False, answers=True))
    assert (failure.code, failure.outcome) == (ErrorCode.FENCED, Outcome.NOT_RUN)
