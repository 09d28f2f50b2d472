import json

from cactustiller.settings import find_warnings, parse_tree, set_value


async def test_conflict_names_the_other_change(cell):
    _, read = await cell.call("GET", "/v1/settings", "operator")
    other = {"path": "", "name": "share_weight", "value": 2.0, "note": "spring"}
    await cell.call("PATCH", "/v1/settings", "operator", other)
    body = {"expected_version": read["version"], "tree": read["tree"]}
    response, answer = await cell.call("PUT", "/v1/settings", "operator", body)
    assert response.status == 409
    assert "spring" in answer["error"]["reason"]
    assert cell.key_ids["operator"] in answer["error"]["reason"]
    assert cell.gateway.replica.tree.values == {"share_weight": 2.0}


async def test_tree_is_replaced_without_its_keys(cell):
    _, read = await cell.call("GET", "/v1/settings", "operator")
    assert "keys" not in read["tree"]
    read["tree"]["values"] = {"share_weight": 3.0}
    body = {"expected_version": read["version"], "tree": read["tree"]}
    response, _ = await cell.call("PUT", "/v1/settings", "operator", body)
    assert response.status == 200
    assert (await cell.call("GET", "/v1/settings", "operator"))[0].status == 200


async def test_every_invalid_value_is_listed(cell):
    _, read = await cell.call("GET", "/v1/settings", "operator")
    read["tree"]["values"] = {"share_weight": -1.0, "limit_tasks": "x"}
    body = {"expected_version": read["version"], "tree": read["tree"]}
    response, answer = await cell.call("PUT", "/v1/settings", "operator", body)
    assert response.status == 400
    assert "share_weight" in answer["error"]["reason"]
    assert "limit_tasks" in answer["error"]["reason"]


async def test_status_lists_members_without_a_replica(cell):
    _, status = await cell.call("GET", "/v1/settings/status", "operator")
    rows = {row["member"]: row for row in status["instances"]}
    assert rows["g1"]["version"] == cell.gateway.replica.version
    assert rows["s1"]["version"] is None
    assert rows["s1"]["reason"] == "no settings replica"


async def test_change_with_lost_reply_is_resolved(cell):
    cell.table.lost_answers = 1
    result = await cell.gateway.editor.change(
        lambda tree: set_value(tree, "", "share_weight", 5.0), "test"
    )
    assert result.unwrap() == cell.gateway.replica.version
    assert cell.gateway.replica.tree.values == {"share_weight": 5.0}


async def test_tree_with_keys_is_rejected_and_one_with_warnings_is_not(cell):
    """Guards against checks of `check-config` that change what is accepted."""
    _, read = await cell.call("GET", "/v1/settings", "operator")
    tree = read["tree"]
    body = {"expected_version": read["version"], "tree": tree | {"keys": {"k": {}}}}
    response, answer = await cell.call("PUT", "/v1/settings", "operator", body)
    assert response.status == 400
    assert "body:tree.keys: keys are changed at /v1/keys" in answer["error"]["reason"]
    tree["sites"]["spare"] = {"values": {"kind": "batch"}}
    assert find_warnings(parse_tree(json.dumps(tree), "t").unwrap())
    body = {"expected_version": read["version"], "tree": tree}
    response, _ = await cell.call("PUT", "/v1/settings", "operator", body)
    assert response.status == 200
