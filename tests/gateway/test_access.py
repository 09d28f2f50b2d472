async def test_withdrawn_key_is_refused(cell):
    assert (await cell.call("POST", "/v1/requests/prices"))[0].status == 200
    path = f"/v1/keys/{cell.key_ids['red']}"
    assert (await cell.call("DELETE", path, "red"))[0].status == 403
    assert (await cell.call("DELETE", path, "operator"))[0].status == 200
    response, body = await cell.call("POST", "/v1/requests/prices")
    assert response.status == 401
    assert body["error"]["reason"] == "withdrawn key"


async def test_key_is_shown_once(cell):
    body = {"team": "red", "name": "second"}
    response, created = await cell.call("POST", "/v1/keys", "operator", body)
    assert response.status == 201
    response, _ = await cell.call("POST", "/v1/requests/prices", created["key"])
    assert response.status == 200
    _, listed = await cell.call("GET", "/v1/keys?team=red", "operator")
    assert {key["name"] for key in listed["keys"]} == {"red", "second"}
    assert all(
        secret not in str(listed)
        for secret in ("digest", "salt", created["key"].split("_")[2])
    )


async def test_unconfirmed_settings_stop_keys(cell):
    cell.gateway.replica._confirmed_at = float("-inf")
    response, body = await cell.call("POST", "/v1/requests/prices")
    assert response.status == 503
    assert body["error"]["outcome"] == "notRun"


async def test_first_operator_key_counts_while_its_file_is_set(cell, tmp_path):
    file = tmp_path / "first"
    cell.gateway.access_control._first_key_file = str(file)
    key = "first-operators-secret"
    assert (await cell.call("GET", "/v1/settings", key))[0].status == 401
    file.write_text(f"{key}\n")
    assert (await cell.call("GET", "/v1/settings", key))[0].status == 200
    file.write_text("")
    assert (await cell.call("GET", "/v1/settings", ""))[0].status == 401
