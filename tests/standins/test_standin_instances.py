import asyncio

import pytest

from standins.instances import EntryInfo, InstanceRegister, Kind


@pytest.mark.looptime
async def test_lagging_list_shows_the_state_of_then():
    register = InstanceRegister()
    register.change(Kind.ENTRIES, "e", EntryInfo(instance="e", zone="a"))
    await asyncio.sleep(10)
    register.change(Kind.ENTRIES, "e", None)
    await asyncio.sleep(3)
    assert register.show().entries == []
    assert [entry.instance for entry in register.show(5).entries] == ["e"]
    assert register.show(20).entries == []
