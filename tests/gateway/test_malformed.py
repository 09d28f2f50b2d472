"""Malformed requests: refused with step and reason, never an internal error."""

import asyncio
import json

import pytest
from hypothesis import HealthCheck, given, settings
from structlog.testing import capture_logs

from tests.fleet.malformed import malform
from tests.gateway.builders import LIMITS, SERVICE, Cell, build_submission

fuzz = settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
TREE = {"values": {"share_weight": 2.0}, "children": {}, "keys": []}
BODIES = {
    ("POST", "/v1/jobs"): build_submission(
        kind="batch",
        deadline_seconds=5.0,
        max_attempts=2,
        template={"resources": LIMITS, "run_seconds": 1.0, "required": {"a": "b"}},
    ),
    ("PUT", "/v1/settings"): {"expected_version": 1, "tree": TREE, "note": "n"},
    ("PATCH", "/v1/settings"): {"path": "", "name": "share_weight", "value": 2.0},
    ("POST", "/v1/settings/rollback"): {"to_version": 1, "note": "n"},
    ("POST", "/v1/teams"): {"team": "green", "values": {"share_weight": 1.0}},
    ("POST", "/v1/queues"): {"team": "red", "queue": "slow", "values": {}},
    ("POST", "/v1/keys"): {"team": "red", "name": "n", "operator": False},
}
RAW = [
    b"",
    b"{",
    json.dumps(build_submission(template={"required": [["a"]]})).encode(),
    json.dumps(build_submission(template={"preferred": [{}]})).encode(),
    b"\xff\xfe",
    b'{"name": "\xff"}',
    b'{"name": "\\ud800"}',
    b"[" * 100_000,
    b'{"a":' * 50_000,
    b"NaN",
    b"1" * 5000,
    b'{"task_count": ' + b"9" * 5000 + b"}",
    b'{"task_count": 1e400}',
    json.dumps(
        build_submission(template={"resources": LIMITS | {"cpu_millis": 2**70}})
    ).encode(),
    json.dumps(build_submission(team="\ud800")).encode(),
    json.dumps(build_submission(deadline_seconds=1e308)).encode(),
]
PATHS = [
    ("GET", "/v1/jobs/%00"),
    ("GET", "/v1/jobs/%ff%fe"),
    ("GET", "/v1/jobs/" + "x" * 5000),
    ("GET", "/v1/jobs/../../etc"),
    ("DELETE", "/v1/jobs/-1"),
    ("GET", "/v1/jobs?team=%00"),
    ("GET", "/v1/jobs?team="),
    ("GET", "/v1/jobs/a/explain"),
    ("DELETE", "/v1/keys/%ff"),
    ("GET", "/v1/settings/diff?from=x&to=-1"),
    ("GET", "/v1/settings/diff?from=" + "9" * 5000 + "&to=1"),
    ("GET", "/v1/settings/diff?from=1e9&to=%ff"),
    ("GET", "/v1/settings/show?path=%00/%ff"),
    ("GET", "/v1/settings/show?path=" + "a/" * 2000),
    ("GET", "/v1/settings/history?limit=" + "9" * 5000),
    ("GET", "/v1/settings/history?limit=-1"),
    ("POST", "/v1/instances/%ff/drain"),
    ("POST", "/v1/requests/%00"),
    ("PATCH", "/v1/nothing"),
    ("TRACE", "/v1/jobs"),
]


def check_refusal(response, body):
    assert response.status < 500, (response.status, body)
    if response.status >= 400:
        assert body["error"]["step"]
        assert body["error"]["reason"]


def check_lines(lines):
    assert not [line for line in lines if line["log_level"] == "error"], lines


@pytest.mark.parametrize("call", BODIES, ids=" ".join)
def test_malformed_body_is_refused_or_accepted(call):
    method, path = call
    with asyncio.Runner() as runner:
        cell = Cell()
        runner.run(cell.start())

        @fuzz
        @given(content=malform(BODIES[call]))
        def check(content):
            body = json.dumps(content).encode()
            with capture_logs() as lines:
                check_refusal(
                    *runner.run(cell.call(method, path, "operator", data=body))
                )
            check_lines(lines)

        try:
            check()
        finally:
            runner.run(cell.stop())


@pytest.mark.parametrize("call", BODIES, ids=" ".join)
async def test_bytes_that_are_no_valid_body_are_refused(cell, call):
    method, path = call
    for data in RAW:
        with capture_logs() as lines:
            answer = await cell.call(method, path, "operator", data=data)
        check_refusal(*answer)
        check_lines(lines)


@pytest.mark.parametrize(("method", "path"), PATHS)
async def test_malformed_path_is_refused(cell, method, path):
    with capture_logs() as lines:
        check_refusal(*await cell.call(method, path, "operator", data=b"{}"))
    check_lines(lines)


@pytest.mark.parametrize(
    "headers",
    [
        {"Authorization": "Bearer \udcff"},
        {"Authorization": "Bearer "},
        {"Authorization": "Bearer é"},
        {"Authorization": "Bearer " + "k" * 5000},
        {"Idempotency-Key": "\udcff"},
        {"X-Timeout-Ms": "9" * 4000},
        {"X-Timeout-Ms": "-1"},
        {"X-Timeout-Ms": "²"},
        {"X-Urgency": "high"},
        {"Content-Type": "text/\udcff; charset=none"},
    ],
)
async def test_malformed_headers_are_refused_or_ignored(cell, headers):
    with capture_logs() as lines:
        answer = await cell.call(
            "POST", f"/v1/requests/{SERVICE}", headers=headers, data=b"x"
        )
    check_refusal(*answer)
    check_lines(lines)
