import json

import pytest
from typer.main import get_command

from cactustiller.cli.exits import REMEDIES, Exit
from cactustiller.cli.main import app
from cactustiller.model import ErrorCode
from tests.cli.fakes import Answer, refuse

JOB_FILE = """{
  // what the panel runs each night
  name: "impute", team: "red", queue: "nightly", kind: "batch",
  task_count: 2, template: {resources: {cpu_millis: 100, memory_mib: 64}},
}"""
RUNNING = {"job": "j1", "state": "running", "tasks": {"running": 2}}
ENDED = {"job": "j1", "state": "succeeded", "tasks": {"succeeded": 2}}
SHOWN = {
    "version": 4,
    "values": [{"name": "kind", "value": "batch", "origin": "demo/main"}],
}


def iterate_commands(command, path=()):
    yield path, command
    for name, child in getattr(command, "commands", {}).items():
        yield from iterate_commands(child, (*path, name))


def test_no_command_takes_a_key_as_an_argument():
    for path, command in iterate_commands(get_command(app)):
        for parameter in command.params:
            names = {*parameter.opts, parameter.name}
            assert not names & {"--key", "key", "--secret", "--token"}, path
            assert parameter.envvar != "CACTUSTILLER_KEY", path


def test_every_command_prints_json():
    for path, command in iterate_commands(get_command(app)):
        if not hasattr(command, "commands"):
            assert any("--json" in item.opts for item in command.params), path


def test_every_code_has_a_remedy():
    assert set(REMEDIES) == set(ErrorCode)


def test_key_comes_from_the_environment_or_a_file(run, gateways, tmp_path):
    gateways[0].script("GET", "/v1/keys", Answer({"keys": []}))
    file = tmp_path / "key"
    file.write_text("ct_k2_other\n")
    assert run("--key-file", str(file), "key", "list").exit_code == 0
    assert run("key", "list", env={"CACTUSTILLER_KEY": ""}).exit_code == 0
    options = {"CACTUSTILLER_KEY": "", "CACTUSTILLER_KEY_FILE": str(file)}
    assert run("key", "list", env=options).exit_code == 0
    assert [call.headers.get("Authorization") for call in gateways[0].received] == [
        "Bearer ct_k1_secret",
        None,
        "Bearer ct_k2_other",
    ]
    assert run("--key", "ct_k1_secret", "key", "list").exit_code == Exit.USAGE


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (refuse("invalid", 400), Exit.USAGE),
        (refuse("neverRunnable", 422), Exit.NOT_RUN),
        (refuse("overloaded", 429), Exit.NOT_RUN),
        (refuse("timeout", 504, "unknown"), Exit.UNKNOWN),
        (refuse("notFound", 404), Exit.NOT_FOUND),
        (refuse("unauthenticated", 401), Exit.DENIED),
        (refuse("forbidden", 403), Exit.DENIED),
        (refuse("conflict", 409), Exit.CONFLICT),
        (refuse("unavailable", 503), Exit.UNAVAILABLE),
        (refuse("upstream", 502, "failed"), Exit.OTHER),
    ],
)
def test_exit_code_follows_the_failure(run, gateways, answer, code):
    for gateway in gateways:
        gateway.script("POST", "/v1/teams", answer)
    result = run("team", "add", "red")
    assert result.exit_code == code
    assert result.stdout == ""


def test_error_names_step_peer_reason_and_remedy(run, gateways):
    gateways[0].script(
        "POST", "/v1/teams", refuse("overloaded", 429, retry_after=3, request="r9")
    )
    text = run("team", "add", "red").stderr
    for part in (
        "step: admit",
        f"peer: home-1 by way of {gateways[0].address}",
        "because overloaded; ask again with request r9",
        "remedy: try again later",
        "retry after: 3 s",
    ):
        assert part in text


def test_wrong_usage_sends_nothing(run, gateways):
    for arguments in (
        ("--gateway", "localhost:80", "stats"),
        ("key", "create", "k"),
        ("status",),
        ("team", "add", "red", "--value", "kind"),
        ("submit", "--team", "red"),
        ("settings", "set", "", "kind", "null"),
    ):
        result = run(*arguments)
        assert result.exit_code == Exit.USAGE, arguments
        assert result.stderr
    assert [call for gateway in gateways for call in gateway.received] == []


def test_submission_reads_the_file_and_waits(run, gateways, tmp_path):
    file = tmp_path / "job.json"
    file.write_text(JOB_FILE)
    accepted = Answer({"job": "j1", "state": "waiting"}, 202)
    gateways[0].script("POST", "/v1/jobs", accepted)
    gateways[0].script("GET", "/v1/jobs/j1", Answer(RUNNING), Answer(ENDED))
    arguments = ("submit", "--file", str(file), "--memory-mib", "32")
    result = run(*arguments, "--wait", "--json")
    assert result.exit_code == 0
    assert json.loads(result.stdout)["tasks"] == {"succeeded": 2}
    body = json.loads(gateways[0].received[0].body)
    assert body["template"]["resources"]["memory_mib"] == 32
    assert "max_attempts" not in body
    assert len(gateways[0].received) == 3


def test_awaited_job_that_failed_fails_the_command(run, gateways, tmp_path):
    file = tmp_path / "job.json"
    file.write_text(JOB_FILE)
    accepted = Answer({"job": "j1", "state": "waiting"}, 202)
    gateways[0].script("POST", "/v1/jobs", accepted)
    gateways[0].script("GET", "/v1/jobs/j1", Answer(ENDED | {"state": "failed"}))
    result = run("submit", "--file", str(file), "--wait")
    assert result.exit_code == Exit.OTHER


def test_job_file_problems_are_named(run, tmp_path):
    file = tmp_path / "job.json"
    file.write_text(JOB_FILE.replace("task_count: 2", "task_count: 0, colour: 1"))
    result = run("submit", "--file", str(file))
    assert result.exit_code == Exit.USAGE
    assert f"{file}: task_count: " in result.stderr
    assert f"{file}: colour: " in result.stderr


def test_settings_values_are_json_and_origin_is_shown(run, gateways):
    gateways[0].script("PATCH", "/v1/settings", Answer({"version": 5}))
    gateways[0].script("GET", "/v1/settings/show", Answer(SHOWN))
    path = "demo/main"
    assert run("settings", "set", path, "limit_tasks", "3").exit_code == 0
    assert run("settings", "unset", path, "limit_tasks").exit_code == 0
    values = [json.loads(call.body)["value"] for call in gateways[0].received]
    assert values == [3, None]
    assert "demo/main" in run("settings", "show", path, "--origin").stdout
    assert "demo/main" not in run("settings", "show", path).stdout
    assert json.loads(run("settings", "show", path, "--json").stdout) == SHOWN


def test_versions_are_compared_and_rolled_back(run, gateways):
    changes = [{"path": "demo", "name": "kind", "old": "batch", "new": None}]
    gateways[0].script("GET", "/v1/settings/diff", Answer({"changes": changes}))
    gateways[0].script("POST", "/v1/settings/rollback", Answer({"version": 9}))
    result = run("settings", "diff", "3", "4", "--json")
    assert json.loads(result.stdout) == {"changes": changes}
    assert run("settings", "rollback", "3", "--expected-version", "8").exit_code == 0
    diff, rollback = gateways[0].received
    assert diff.path == "/v1/settings/diff?from=3&to=4"
    expected = {"to_version": 3, "note": "", "expected_version": 8}
    assert json.loads(rollback.body) == expected


def test_settings_file_is_checked(run, tmp_path):
    file = tmp_path / "tree.json"
    file.write_text('{"values": {"limit_tasks": -1} /* too low */}')
    result = run("settings", "check", str(file))
    assert result.exit_code == Exit.USAGE
    assert f"{file}:values.limit_tasks" in result.stderr
    file.write_text('{"values": ')
    assert f"{file}:line 1 column " in run("settings", "check", str(file)).stderr
    file.write_text('{"instance": "i1"}')
    assert f"{file}:zone: missing" in run("settings", "check", str(file)).stderr
    file.write_text("{}")
    assert run("settings", "check", str(file)).exit_code == 0


def test_request_passes_its_bytes_through(run, gateways):
    gateways[0].script("POST", "/v1/requests/prices", Answer(b"\x00answer"))
    result = run("request", "prices", "--deadline", "2", input=b"\xffask")
    assert result.stdout_bytes == b"\x00answer"
    (call,) = gateways[0].received
    assert call.body == b"\xffask"
    assert call.headers["X-Idempotent"] == "0"
    assert call.headers["X-Deadline-Ms"] == "2000"


def test_drain_waits_until_the_instance_is_gone(run, gateways):
    member = {"member": "m1", "instance": "i1"}
    listing = [Answer({"members": [member]}), Answer({"members": []})]
    gateways[0].script("POST", "/v1/instances/i1/drain", Answer({}, 202))
    gateways[0].script("GET", "/v1/instances", *listing)
    assert run("drain", "i1", "--wait").exit_code == 0
    assert len(gateways[0].received) == 3


def test_settings_status_shows_a_member_without_an_answer(run, gateways):
    silent = {"member": "m2", "role": "scheduler", "zone": "b"}
    rows = [
        {"member": "m1", "role": "gateway", "zone": "a", "version": 3}
        | {"age_seconds": 0.1},
        silent | {"version": None, "age_seconds": None, "reason": "no reply in time"},
    ]
    for gateway in gateways:
        gateway.script("GET", "/v1/settings/status", Answer({"instances": rows}))
    result = run("settings", "status")
    assert result.exit_code == 0
    assert "no reply in time" in result.stdout
