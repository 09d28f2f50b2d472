import pytest

from cactustiller.model import TABLE_PEER, ErrorCode, Failure, Outcome
from tests.gateway.builders import build_submission

LOST = Failure(
    code=ErrorCode.TIMEOUT, step="test", reason="lost", outcome=Outcome.UNKNOWN
)
OUTAGE = Failure(
    code=ErrorCode.UNAVAILABLE, step="commit", peer=TABLE_PEER, reason="down"
)
MOVED = Failure(code=ErrorCode.NOT_OWNER, step="test", reason="moved")


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"task_count": 0}, "task_count"),
        ({"task_count": "many"}, "task_count"),
        ({"colour": "green"}, "colour"),
        ({"team": "../x"}, "team"),
        ({"template": {"resources": {"cpu_millis": -1}}}, "template.resources.cpu"),
        ({"max_attempts": 50}, "max_attempts"),
    ],
)
async def test_bad_field_is_named(cell, changes, field):
    response, body = await cell.call(
        "POST", "/v1/jobs", json=build_submission(**changes)
    )
    assert response.status == 400
    assert field in body["error"]["reason"]
    assert body["error"]["outcome"] == "notRun"
    assert cell.scheduler.submissions == 0


async def test_body_that_is_no_json_is_refused(cell):
    response, body = await cell.call("POST", "/v1/jobs", data=b"{]")
    assert response.status == 400
    assert "no JSON" in body["error"]["reason"]


async def test_key_of_another_team_is_refused(cell):
    response, _ = await cell.call("POST", "/v1/jobs", "blue", build_submission())
    assert response.status == 403
    response, body = await cell.call("POST", "/v1/jobs", json=build_submission())
    assert response.status == 202
    for method in ("GET", "DELETE"):
        response, _ = await cell.call(method, f"/v1/jobs/{body['job']}", "blue")
        assert response.status == 403


async def test_open_queue_takes_other_teams(cell):
    values = {"team": "red", "queue": "open", "values": {"open_to_all": True}}
    await cell.call("POST", "/v1/queues", "operator", values)
    response, body = await cell.call(
        "POST", "/v1/jobs", "blue", build_submission(queue="open")
    )
    assert response.status == 202
    response, _ = await cell.call("GET", f"/v1/jobs/{body['job']}", "blue")
    assert response.status == 200


async def test_repeated_submission_is_one_job(cell):
    headers = {"Idempotency-Key": "march"}
    answers = [
        await cell.call("POST", "/v1/jobs", json=build_submission(), headers=headers)
        for _ in range(2)
    ]
    assert answers[0][1] == answers[1][1]
    assert len(cell.scheduler.jobs) == 1
    response, _ = await cell.call(
        "POST", "/v1/jobs", json=build_submission(task_count=3), headers=headers
    )
    assert response.status == 409


async def test_lost_answer_is_asked_for_again(cell):
    cell.scheduler.failures = [(LOST, True), (MOVED, False)]
    response, body = await cell.call("POST", "/v1/jobs", json=build_submission())
    assert response.status == 202
    assert list(cell.scheduler.jobs) == [body["job"]]


async def test_unknown_submission_names_its_job(cell, monkeypatch):
    monkeypatch.setattr("cactustiller.gateway.routes.jobs.SUBMIT_TIMEOUT_SECONDS", 0.3)
    cell.scheduler.failures = [(LOST, False)] + [(MOVED, False)] * 99
    response, body = await cell.call("POST", "/v1/jobs", json=build_submission())
    assert response.status == 504
    assert body["error"]["outcome"] == "unknown"
    assert body["job"]


async def test_submission_without_owner_is_not_run(cell, monkeypatch):
    monkeypatch.setattr("cactustiller.gateway.routes.jobs.SUBMIT_TIMEOUT_SECONDS", 0.3)
    cell.scheduler.failures = [(MOVED, False)] * 99
    response, body = await cell.call("POST", "/v1/jobs", json=build_submission())
    assert response.status == 503
    assert body["error"]["outcome"] == "notRun"
    assert int(response.headers["Retry-After"]) >= 1


async def test_refusal_of_an_owner_without_the_table_is_answered_at_once(cell):
    cell.scheduler.failures = [(OUTAGE, False)]
    response, body = await cell.call("POST", "/v1/jobs", json=build_submission())
    assert (response.status, body["error"]["outcome"]) == (503, "notRun")
    assert int(response.headers["Retry-After"]) >= 1
    assert cell.scheduler.submissions == 1
