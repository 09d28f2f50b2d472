import time

PATH = "/v1/requests/prices"
KEYED = {"Idempotency-Key": "return-17"}


def list_runs(cell):
    return [name for item in cell.executors.values() for name in item.requests]


async def test_repeated_request_gets_the_earlier_answer(cell):
    first, body = await cell.call("POST", PATH, headers=KEYED, data=b"one")
    second, again = await cell.call("POST", PATH, headers=KEYED, data=b"one")
    assert first.status == second.status == 200
    assert body == again == b"one"
    assert len(list_runs(cell)) == 1


async def test_other_body_under_the_same_key_is_a_conflict(cell):
    await cell.call("POST", PATH, headers=KEYED, data=b"one")
    response, _ = await cell.call("POST", PATH, headers=KEYED, data=b"two")
    assert response.status == 409
    assert len(list_runs(cell)) == 1


async def test_teams_do_not_share_keys(cell):
    await cell.call("POST", PATH, headers=KEYED, data=b"one")
    response, _ = await cell.call("POST", PATH, "blue", headers=KEYED, data=b"one")
    assert response.status == 200
    assert len(list_runs(cell)) == 2


async def test_request_of_unknown_outcome_is_not_sent_again(cell):
    for executor in cell.executors.values():
        executor.aborts = 1
    for _ in range(2):
        response, body = await cell.call("POST", PATH, headers=KEYED)
        assert response.status == 504
        assert body["error"]["outcome"] == "unknown"
    assert len(list_runs(cell)) == 1


async def test_request_that_did_not_run_may_be_sent_again(cell):
    for executor in cell.executors.values():
        executor.refusals = 99
    headers = {**KEYED, "X-Deadline-Ms": "300"}
    response, body = await cell.call("POST", PATH, headers=headers)
    assert body["error"]["outcome"] == "notRun"
    for executor in cell.executors.values():
        executor.refusals = 0
    response, _ = await cell.call("POST", PATH, headers=KEYED)
    assert response.status == 200


async def test_claim_of_a_gateway_that_died_is_unknown(cell):
    await cell.call("POST", PATH, headers=KEYED, data=b"one")
    (key,) = [key for key in cell.table.rows if key.startswith("request/")]
    value = {**cell.table.rows[key].value, "state": "claimed"}
    cell.table.put(key, value)
    headers = {**KEYED, "X-Deadline-Ms": "300"}
    response, body = await cell.call("POST", PATH, headers=headers, data=b"one")
    assert response.status == 504
    assert body["error"]["outcome"] == "unknown"
    assert body["request"]
    assert len(list_runs(cell)) == 1


async def test_old_records_are_removed(cell):
    await cell.call("POST", PATH, headers=KEYED)
    await cell.call("POST", PATH, headers={"Idempotency-Key": "young"})
    old, young = [key for key in cell.table.rows if key.startswith("request/")]
    value = {**cell.table.rows[old].value, "at": time.time() - 3600}
    cell.table.put(old, value)
    await cell.gateway.records.sweep()
    assert old not in cell.table.rows
    assert young in cell.table.rows
