import asyncio
from types import SimpleNamespace

import pytest
from result import Ok

from cactustiller.ownership import SettingsReplica
from cactustiller.settings import TimingSettings

pytestmark = pytest.mark.looptime


class SlowTable:
    """Table service without settings that answers after a second."""

    def __init__(self):
        self.reads = 0

    async def read_row(self, key, known_version=0):
        self.reads += 1
        await asyncio.sleep(1.0)
        return Ok(SimpleNamespace(version=0, unchanged=False))


async def test_concurrent_callers_share_a_poll():
    """Guards against a read for each partition that a member takes over."""
    table = SlowTable()
    replica = SettingsReplica(SimpleNamespace(table=table), TimingSettings())
    now = asyncio.get_running_loop().time()
    await asyncio.gather(*(replica.poll_since(now) for _ in range(20)))
    assert table.reads == 1
    await replica.poll_since(asyncio.get_running_loop().time())
    assert table.reads == 2


async def test_poll_in_progress_is_awaited():
    """Guards against an owner that acts on the version before its answer is there."""
    table = SlowTable()
    replica = SettingsReplica(SimpleNamespace(table=table), TimingSettings())
    loop = asyncio.get_running_loop()
    moment = loop.time()
    regular = asyncio.create_task(replica.poll())
    await asyncio.sleep(0.5)
    await replica.poll_since(moment)
    assert loop.time() - moment >= 1.0
    await regular
