import asyncio

PATH = "/v1/requests/prices"
IDEMPOTENT = {"X-Idempotent": "1"}


def list_runs(cell):
    return [name for item in cell.executors.values() for name in item.requests]


async def test_response_is_complete_and_reaches_its_caller(cell):
    bodies = [str(number).encode() * 50_000 for number in range(20)]
    answers = await asyncio.gather(
        *(cell.call("POST", PATH, data=body) for body in bodies)
    )
    assert [body for _, body in answers] == bodies


async def test_lost_response_of_non_idempotent_request_is_unknown(cell):
    for executor in cell.executors.values():
        executor.aborts = 1
    response, body = await cell.call("POST", PATH, headers={"X-Request-Id": "r1"})
    assert response.status == 504
    assert body["error"]["outcome"] == "unknown"
    assert body["request"] == "r1"
    assert list_runs(cell) == ["r1"]


async def test_lost_response_of_idempotent_request_is_retried_elsewhere(cell):
    cell.executors["x1"].aborts = cell.executors["x2"].aborts = 1
    response, _ = await cell.call("POST", PATH, headers=IDEMPOTENT)
    assert response.status == 200
    assert list_runs(cell) == [response.headers["X-Request-Id"]] * 3
    assert cell.executors["x1"].requests and cell.executors["x2"].requests


async def test_request_that_crashes_executors_is_not_sent_to_all_of_them(cell):
    for executor in cell.executors.values():
        executor.aborts = 99
    response, body = await cell.call("POST", PATH, headers=IDEMPOTENT)
    assert response.status == 504
    assert body["error"]["outcome"] == "unknown"
    assert len(list_runs(cell)) == 3


async def test_request_that_did_not_run_is_retried_elsewhere(cell):
    for executor in cell.executors.values():
        executor.refusals = 1
    response, _ = await cell.call("POST", PATH)
    assert response.status == 200
    assert len(list_runs(cell)) == 3


async def test_request_refused_by_every_executor_is_not_run(cell):
    for executor in cell.executors.values():
        executor.refusals = 99
    response, body = await cell.call("POST", PATH, headers={"X-Deadline-Ms": "300"})
    assert response.status == 503
    assert body["error"]["outcome"] == "notRun"
    assert "Retry-After" in response.headers


async def test_slot_of_request_with_lost_response_stays_in_use(cell):
    cell.executors["x1"].aborts = cell.executors["x2"].aborts = 1
    await cell.call("POST", PATH)
    await cell.gateway.router.stop()
    assert sum(cell.scheduler.pool.count_used().values()) == 1


async def test_leaving_executor_receives_no_new_requests(cell):
    cell.executors["x1"].leaving = True
    for _ in range(6):
        await cell.call("POST", PATH)
    assert len(cell.executors["x1"].requests) <= 1
    assert len(cell.executors["x2"].requests) >= 5


async def test_invalid_header_is_named_in_the_error(cell):
    for name in ("X-Deadline-Ms", "X-Idempotent", "X-Request-Id"):
        response, body = await cell.call("POST", PATH, headers={name: "?"})
        assert response.status == 400
        assert name in body["error"]["reason"]
    assert list_runs(cell) == []


async def test_oversized_body_is_refused(cell):
    change = {"path": "demo/main/red", "name": "max_request_bytes", "value": 10}
    await cell.call("PATCH", "/v1/settings", "operator", change)
    response, body = await cell.call("POST", PATH, data=b"x" * 11)
    assert response.status == 400
    assert "max_request_bytes" in body["error"]["reason"]


async def test_unknown_service_is_not_found(cell):
    response, _ = await cell.call("POST", "/v1/requests/nothing")
    assert response.status == 404


async def test_slot_is_withheld_after_the_caller_disconnects(cell):
    for executor in cell.executors.values():
        executor.release.clear()
    task = asyncio.create_task(cell.call("POST", PATH, headers={"X-Request-Id": "r"}))
    while not list_runs(cell):
        await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    counters = cell.gateway.metrics.counters
    while not counters["requests_cancelled"]:
        await asyncio.sleep(0.01)
    store = cell.gateway.router.get_store("prices")
    assert len(store._withheld) == 1
    assert list_runs(cell) == ["r"]


async def test_each_connection_belongs_to_a_permit(cell):
    await asyncio.gather(*(cell.call("POST", PATH, data=b"x") for _ in range(60)))
    store = cell.gateway.router.get_store("prices")
    used = cell.scheduler.pool.count_used()
    for name, executor in cell.executors.items():
        connections = len(executor.server.handler.connections)
        assert connections <= used[name] <= 8
    assert store.held_count == used.total()


async def test_long_deadline_is_registered_with_the_owner_first(cell):
    store = cell.gateway.router.get_store("prices")
    change = {"path": "demo/main/red", "name": "request_timeout_ms", "value": 60_000}
    await cell.call("PATCH", "/v1/settings", "operator", change)
    response, _ = await cell.call("POST", PATH, headers={"X-Deadline-Ms": "50000"})
    assert response.status == 200
    assert store.acknowledged_timeout_seconds >= 50
    assert cell.scheduler.pool._longest_ms >= 50_000
