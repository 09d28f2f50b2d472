import asyncio

import pytest

from cactustiller.model import RunState
from standins.runs import EpochRefused, Renewal, Stop
from tests.standins.standin_builders import (
    build_apply,
    build_start,
    build_watch,
    build_worker,
)

pytestmark = pytest.mark.looptime


def read_clock():
    return asyncio.get_running_loop().time()


def list_events(worker):
    return [(event.at, event.event, event.state) for event in worker.history.show()]


async def read_states(worker):
    reply = await worker.watch(build_watch())
    return {task.index: task.state for task in reply.tasks}


async def test_starts_an_attempt_once_even_after_it_ended():
    worker, start = build_worker(), build_start(0.0, start_before=1000.0)
    worker.apply(build_apply(starts=[start, start]))
    await asyncio.sleep(11)
    reply = worker.apply(build_apply(starts=[start]))
    assert reply.refused == []
    assert list_events(worker) == [(0, "start", "running"), (10, "end", "succeeded")]


async def test_refuses_a_start_that_comes_late():
    worker = build_worker()
    await asyncio.sleep(6)
    reply = worker.apply(build_apply(starts=[build_start(0.0)]))
    assert [refused.index for refused in reply.refused] == [0]
    assert list_events(worker) == []


async def test_lease_ends_a_task_and_renewal_keeps_it():
    worker = build_worker()
    starts = [build_start(0, index, lease_until=4) for index in (0, 1)]
    worker.apply(build_apply(starts=starts))
    renewal = Renewal(job="j-1", index=1, attempt=1, lease_until=20)
    worker.apply(build_apply(renew=[renewal]))
    await asyncio.sleep(12)
    states = await read_states(worker)
    assert states == {0: RunState.LAPSED, 1: RunState.SUCCEEDED}
    assert [event[0] for event in list_events(worker)] == [0, 0, 4, 10]


async def test_renewal_after_the_lease_does_not_revive():
    worker = build_worker()
    worker.apply(build_apply(starts=[build_start(0, lease_until=0)]))
    renewal = Renewal(job="j-1", index=0, attempt=1, lease_until=20)
    worker.apply(build_apply(renew=[renewal]))
    assert await read_states(worker) == {0: RunState.LAPSED}
    assert [event[1] for event in list_events(worker)] == ["start", "end"]


async def test_refuses_a_former_epoch_unless_told_to_ignore_it():
    worker = build_worker()
    worker.apply(build_apply(epoch=2))
    former = build_apply(epoch=1, starts=[build_start(0)])
    assert worker.apply(former) == EpochRefused(epoch=2)
    assert await worker.watch(build_watch(epoch=1)) == EpochRefused(epoch=2)
    assert list_events(worker) == []
    worker.set_faults({"ignore_epochs": True})
    worker.apply(former)
    assert len(list_events(worker)) == 1


async def test_restart_changes_boot_ends_tasks_and_wakes_the_watch():
    worker = build_worker()
    worker.apply(build_apply(starts=[build_start(0)]))
    before = await worker.watch(build_watch())
    request = build_watch(after=before.sequence, wait_ms=60_000)
    waiting = asyncio.create_task(worker.watch(request))
    await asyncio.sleep(1)
    worker.set_faults({"restart": True})
    after = await waiting
    assert read_clock() == 1
    assert after.boot != before.boot and after.tasks == []
    assert list_events(worker)[-1] == (1, "end", "failed")


async def test_watch_waits_for_the_next_change_only():
    worker = build_worker()
    first = await worker.watch(build_watch(wait_ms=60_000))
    assert read_clock() == 0
    await worker.watch(build_watch(after=first.sequence, wait_ms=2000))
    assert read_clock() == 2
    worker.apply(build_apply(starts=[build_start(2)]))
    started = await worker.watch(build_watch(after=first.sequence, wait_ms=60_000))
    ended = await worker.watch(build_watch(after=started.sequence, wait_ms=60_000))
    assert read_clock() == 12
    assert [task.run_seconds for task in ended.tasks] == [10]


async def test_late_reports_delay_the_watch_not_the_history():
    worker = build_worker()
    worker.set_faults({"late_reports_ms": 3000})
    worker.apply(build_apply(starts=[build_start(0)]))
    reply = await worker.watch(build_watch(after=1, wait_ms=60_000))
    assert read_clock() == 3
    assert len(reply.tasks) == 1
    assert list_events(worker) == [(0, "start", "running")]


async def test_faults_fail_every_task_and_refuse_to_stop():
    worker = build_worker()
    worker.apply(build_apply(starts=[build_start(0)]))
    worker.set_faults({"refuse_stop": True})
    worker.apply(build_apply(stops=[Stop(job="j-1", index=0, attempt=1)]))
    assert await read_states(worker) == {0: RunState.RUNNING}
    worker.set_faults({"fail_all": True})
    await asyncio.sleep(1)
    assert list_events(worker)[-1] == (0.2, "end", "failed")


async def test_payload_changes_length_result_and_usage():
    payload = '{"actual_seconds": 2, "exit": "failed", "actual_resources": {}}'
    worker = build_worker()
    worker.apply(build_apply(starts=[build_start(0, payload=payload)]))
    await asyncio.sleep(3)
    [task] = (await worker.watch(build_watch())).tasks
    assert (task.state, task.run_seconds) == (RunState.FAILED, 2)
    assert task.usage.cpu_millis == 0


async def test_remembers_an_ended_task_for_ten_minutes():
    worker = build_worker()
    worker.apply(build_apply(starts=[build_start(0)]))
    await asyncio.sleep(601)
    assert len(await read_states(worker)) == 1
    await asyncio.sleep(10)
    assert len(await read_states(worker)) == 0
