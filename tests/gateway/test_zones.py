import asyncio

import pytest

from cactustiller.gateway.handlers import export_stats
from cactustiller.model import Urgency
from cactustiller.ownership import member_key
from cactustiller.settings import dump_tree, set_zone_evacuated
from tests.gateway.builders import SERVICE, Cell, build_record

REQUEST = f"/v1/requests/{SERVICE}"
BODY = {"note": "power work"}


@pytest.fixture
async def zoned(cell):
    """Cell whose executor x1 is in zone a and x2 in zone b."""
    backends = [
        executor.describe(name).with_changes(zone=zone)
        for (name, executor), zone in zip(cell.executors.items(), "ab", strict=True)
    ]
    cell.gateway.directory._port.backends = backends
    await cell.gateway.directory.poll()
    cell.backends = backends
    cell.scheduler.pool.set_executors(backends)
    yield cell


async def change(cell, zone, verb, body=BODY, key="operator"):
    path = f"/v1/zones/{zone}/{verb}"
    response, answer = await cell.call("POST", path, key, body)
    return response.status, answer


async def evacuate(cell, *zones):
    """Evacuate zones at the gateway and at the pool's owner."""
    for zone in zones:
        status, _ = await change(cell, zone, "evacuate")
        assert status == 200
    cell.scheduler.pool.set_executors(cell.backends, frozenset(zones))


async def send(cell, **headers):
    response, _ = await cell.call("POST", REQUEST, headers=headers)
    return response


async def wait_until(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


async def test_zone_is_evacuated_listed_and_restored(zoned):
    """Guards against an answer that the tree in force does not bear out."""
    before = zoned.gateway.replica.version
    status, answer = await change(zoned, "b", "evacuate")
    expected = {"zone": "b", "workers": 0, "executors": 1}
    assert (status, answer) == (
        200,
        expected | {"version": before + 1, "evacuated": True},
    )
    _, listed = await zoned.call("GET", "/v1/zones", "operator")
    assert listed["zones"] == [
        {"zone": "a", "evacuated": False, "members": 2, "workers": 0, "executors": 1},
        {"zone": "b", "evacuated": True, "members": 0, "workers": 0, "executors": 1},
    ]
    assert export_stats(zoned.gateway)["gauges"] == {"evacuated_zones": {"b": 1}}
    _, history = await zoned.call("GET", "/v1/settings/history", "operator")
    assert history["versions"][0]["note"] == "power work"
    status, answer = await change(zoned, "b", "restore")
    assert (status, answer) == (
        200,
        expected | {"version": before + 2, "evacuated": False},
    )
    assert zoned.gateway.evacuations.zones == frozenset()


@pytest.mark.parametrize("verb", ["evacuate", "restore"])
async def test_repetition_creates_no_version(zoned, verb):
    """Guards against retries that conflict with the changes of other operators."""
    if verb == "restore":
        await change(zoned, "b", "evacuate")
    first = await change(zoned, "b", verb)
    assert await change(zoned, "b", verb) == first
    assert zoned.gateway.replica.version == first[1]["version"]


async def test_restoration_of_a_zone_that_is_not_evacuated_changes_nothing(zoned):
    """Guards against a version without a change."""
    before = zoned.gateway.replica.version
    status, answer = await change(zoned, "a", "restore")
    assert (status, answer["evacuated"], answer["version"]) == (200, False, before)


async def test_repetition_is_not_confirmed_without_a_majority(zoned):
    """Guards against a confirmation that no owner has received.

    The first attempt commits the version but reaches no other member; a second one
    must not answer from the local copy.
    """
    zoned.table.version += 1
    record = build_record("s2", "scheduler", "127.0.0.1:9")
    zoned.table.put(member_key("s2"), record.model_dump())
    await zoned.gateway.member.refresh()
    answering = zoned.peers.handlers.copy()
    zoned.peers.handlers.clear()
    for _ in range(2):
        status, answer = await change(zoned, "b", "evacuate")
        assert status == 504
        assert answer["error"]["outcome"] == "unknown"
    zoned.peers.handlers.update(answering)
    status, answer = await change(zoned, "b", "evacuate")
    assert (status, answer["evacuated"]) == (200, True)


async def test_concurrent_evacuations_of_two_zones_both_take_effect(zoned):
    """Guards against an edit of the tree that the client saw."""
    answers = await asyncio.gather(*(change(zoned, z, "evacuate") for z in "ab"))
    assert [status for status, _ in answers] == [200, 200]
    assert zoned.gateway.evacuations.zones == {"a", "b"}


async def test_wrong_calls_change_nothing(zoned):
    """Guards against a mistyped zone that is taken for an evacuated one."""
    before = zoned.gateway.replica.version
    for verb in ("evacuate", "restore"):
        status, answer = await change(zoned, "c", verb)
        assert status == 404
        assert "known: a, b" in answer["error"]["reason"]
        assert (await change(zoned, "B%20b", verb))[0] == 400
        assert (await change(zoned, "b", verb, {"expected_version": 1}))[0] == 409
        assert (await change(zoned, "b", verb, {"zone": "b"}))[0] == 400
        assert (await change(zoned, "b", verb, key="red"))[0] == 403
        assert (await change(zoned, "b", verb, key="none"))[0] == 401
    assert (await zoned.call("GET", "/v1/zones"))[0].status == 403
    assert zoned.gateway.replica.version == before


async def test_evacuated_zone_without_members_can_be_restored(zoned):
    """Guards against an evacuation that outlives its zone."""
    await zoned._change(lambda tree: set_zone_evacuated(tree, "demo/main", "z", True))
    _, listed = await zoned.call("GET", "/v1/zones", "operator")
    assert listed["zones"][-1]["zone"] == "z"
    assert (await change(zoned, "z", "restore"))[0] == 200
    assert (await change(zoned, "z", "restore"))[0] == 404


async def test_rollback_restores_the_earlier_list(zoned):
    """Guards against a list that is kept apart from the rest of the tree."""
    before = zoned.gateway.replica.version
    await change(zoned, "b", "evacuate")
    body = {"to_version": before}
    response, _ = await zoned.call("POST", "/v1/settings/rollback", "operator", body)
    assert response.status == 200
    assert zoned.gateway.evacuations.zones == frozenset()


async def test_no_request_is_sent_to_an_evacuated_zone(zoned):
    """Guards against the use of a permit that was idle at the evacuation."""
    assert (await send(zoned)).status == 200
    store = zoned.gateway.router.get_store(SERVICE)
    await wait_until(lambda: store.held_count > 1)
    await change(zoned, "a", "evacuate")
    zoned.executors["x1"].requests.clear()
    for _ in range(10):
        assert (await send(zoned)).status == 200
    assert zoned.executors["x1"].requests == []
    assert len(zoned.executors["x2"].requests) >= 10


async def test_pool_owner_without_the_version_is_not_asked_without_pause(zoned):
    """Guards against a loop of grants that are returned and granted again."""
    assert (await send(zoned)).status == 200
    await change(zoned, "a", "evacuate")
    await change(zoned, "b", "evacuate")
    zoned.peers.messages.clear()
    assert (await send(zoned, **{"X-Deadline-Ms": "1000"})).status == 503
    assert len(zoned.peers.messages) < 40
    assert zoned.scheduler.pool.count_used().total() == 0


async def test_idle_permits_of_an_evacuated_zone_are_returned_at_once(zoned):
    """Guards against slots that stay held until the next regular renewal."""
    assert (await send(zoned)).status == 200
    store = zoned.gateway.router.get_store(SERVICE)
    await wait_until(lambda: store.list_candidates() == ["x1"])
    await evacuate(zoned, "a")
    await wait_until(lambda: zoned.scheduler.pool.count_used()["x1"] == 0, 0.5)


async def test_request_in_progress_ends_normally(zoned):
    """Guards against a revoked permit: what runs in the zone may finish."""
    executor = zoned.executors["x1"]
    executor.release.clear()
    executor.arrived.clear()
    running = asyncio.create_task(send(zoned))
    await executor.arrived.wait()
    await evacuate(zoned, "a", "b")
    await asyncio.sleep(1.2)
    executor.release.set()
    assert (await running).status == 200
    await wait_until(lambda: zoned.scheduler.pool.count_used().total() == 0)


async def test_retry_is_not_sent_to_an_evacuated_zone(zoned):
    """Guards against a retry by the list of candidates of the first attempt."""
    first, second = zoned.executors["x2"], zoned.executors["x1"]
    await evacuate(zoned, "a")
    zoned.gateway.router._random.uniform = lambda low, high: 0.0
    first.refusals = 1
    assert (await send(zoned, **{"X-Idempotent": "1"})).status == 200
    assert (len(first.requests), second.requests) == (2, [])


async def test_requests_are_refused_while_every_zone_is_evacuated(zoned):
    """Guards against requests that wait for slots which are not granted."""
    await evacuate(zoned, "a", "b")
    response = await send(zoned, **{"X-Deadline-Ms": "400"})
    assert response.status == 503
    assert int(response.headers["Retry-After"]) >= 1
    for executor in zoned.executors.values():
        assert executor.requests == []
    for zone in "ab":
        await change(zoned, zone, "restore")
    zoned.scheduler.pool.set_executors(zoned.backends)
    assert (await send(zoned)).status == 200


async def hold_all_slots(cell):
    """Return requests in progress on all slots of both executors."""
    for executor in cell.executors.values():
        executor.release.clear()
    requests = [asyncio.create_task(send(cell)) for _ in range(16)]
    await wait_until(
        lambda: [len(e.requests) for e in cell.executors.values()] == [8, 8]
    )
    return requests


async def finish(cell, requests):
    for executor in cell.executors.values():
        executor.release.set()
    assert {response.status for response in await asyncio.gather(*requests)} == {200}


async def test_evacuated_slots_do_not_shorten_the_expected_wait(zoned):
    """Guards against a Retry-After that counts slots which are not used again."""
    requests = await hold_all_slots(zoned)
    store = zoned.gateway.router.get_store(SERVICE)
    store.admission.record(0.5)
    await evacuate(zoned, "a")
    estimates = []
    estimate = store.admission.estimate_wait

    def record(ahead, slots):
        estimates.append(slots)
        return estimate(ahead, slots)

    store.admission.estimate_wait = record
    assert (await send(zoned, **{"X-Deadline-Ms": "300"})).status == 503
    assert estimates == [8]
    await finish(zoned, requests)


async def test_idle_permits_there_do_not_delay_a_request(zoned):
    """Guards against a request that waits because idle permits seem to suffice.

    It is queued in the same step of the loop in which the version comes into force.
    """
    executor = zoned.executors["x1"]
    executor.release.clear()
    requests = [asyncio.create_task(send(zoned)) for _ in range(6)]
    await wait_until(lambda: len(executor.requests) == 6)
    await finish(zoned, requests)
    replica = zoned.gateway.replica
    tree = set_zone_evacuated(replica.tree, "demo/main", "a", True).unwrap()
    assert replica.adopt(replica.version + 1, dump_tree(tree))
    store = zoned.gateway.router.get_store(SERVICE)
    slot = await store.wait_for_slot(Urgency.NORMAL, 1.0, 100)
    assert slot.executor == "x2"
    store.release(slot)


async def test_request_that_waits_at_a_stale_gateway_is_not_sent(zoned):
    """Guards against a request that was admitted just before the settings aged.

    The gateway may have missed the evacuation of any zone.
    """
    requests = await hold_all_slots(zoned)
    waiting = asyncio.create_task(send(zoned))
    store = zoned.gateway.router.get_store(SERVICE)
    await wait_until(lambda: store.queue_length == 1)
    zoned.table.is_down = True
    zoned.peers.handlers.clear()
    zoned.gateway.replica._confirmed_at = float("-inf")
    await finish(zoned, requests)
    response = await waiting
    assert response.status == 503
    assert "Retry-After" in response.headers
    assert sum(len(e.requests) for e in zoned.executors.values()) == 16


async def test_evacuation_survives_the_store_and_the_restart_of_a_gateway():
    """Guards against a zone that opens because the table service is away."""
    cell = Cell()
    await cell.start()
    try:
        await change(cell, "a", "evacuate")
        cell.table.is_down = True
        await cell.gateway.replica.poll()
        assert cell.gateway.evacuations.zones == {"a"}
        cell.table.is_down = False
        restarted = await cell._start_gateway([])
        assert restarted.evacuations.zones == {"a"}
        await restarted.router.stop()
        await restarted.directory.stop()
        await restarted.replica.stop()
        await restarted.member.stop()
    finally:
        await cell.stop()
