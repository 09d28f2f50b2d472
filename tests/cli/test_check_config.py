import json

import pytest

from cactustiller.cli.exits import Exit
from tests.cli.fakes import Answer, refuse
from tests.settings.builders import build_data, write_tree

OLD = build_data(red=({"limit_tasks": 3}, {"a": {}}))
NEW = build_data(system={"kind": "service"}, red=({"limit_tasks": 5}, {}))
DIFF = """\
@@ system @@
+kind: service
@@ demo/main/red @@
-limit_tasks: 3
+limit_tasks: 5
@@ demo/main/red/a @@
-queue: present
"""


@pytest.fixture
def file(tmp_path):
    return write_tree(tmp_path / "tree.json", NEW)


@pytest.fixture
def old_file(tmp_path):
    return write_tree(tmp_path / "old.json", OLD)


def test_differences_are_shown_and_are_no_findings(run, gateways, file, old_file):
    """Guards against a diff that hides a change or fails a sound submission."""
    result = run("check-config", str(file), "--against", str(old_file))
    assert result.exit_code == 0
    header = f"{file}: nothing found\n--- {old_file}\n+++ {file}\n"
    assert result.stdout == header + DIFF
    assert gateways[0].received == []


def test_version_in_force_is_read_from_the_gateway(run, gateways, file):
    """Guards against a comparison with nothing, and against a submission."""
    document = {"version": 7, "tree": OLD}
    gateways[0].script("GET", "/v1/settings", Answer(document))
    result = run("check-config", str(file))
    assert result.exit_code == 0
    assert f"--- version 7\n+++ {file}\n{DIFF}" in result.stdout
    report = json.loads(run("check-config", str(file), "--json").stdout)
    assert report["against"] == "version 7"
    assert {"path": "", "name": "kind", "old": None, "new": "service"} in (
        report["changes"]
    )
    assert {call.method for call in gateways[0].received} == {"GET"}


def test_equal_trees_have_no_differences(run, file):
    """Guards against keys of an exported tree that count as differences."""
    key = {"name": "k", "operator": True, "salt": "0" * 32, "digest": "0" * 128}
    keys = {"k1": key | {"created_at": 1.0}}
    old = write_tree(file.with_name("old.json"), NEW | {"keys": keys})
    result = run("check-config", str(file), "--against", str(old))
    assert result.exit_code == 0
    assert f"no differences from {old}" in result.stdout


def test_findings_have_file_line_and_path(run, gateways, file):
    """Guards against findings that pass as success or cannot be located."""
    write_tree(file, build_data(system={"limit_tasks": -1}))
    result = run("check-config", str(file))
    assert result.exit_code == 1
    assert result.stdout.startswith(f"{file}:3: error: values.limit_tasks: ")
    assert "not compared: the file has errors" in result.stderr
    write_tree(file, build_data(site={"kind": "batch"}))
    result = run("check-config", str(file), "--against", str(file), "--json")
    report = json.loads(result.stdout)
    (finding,) = report["findings"]
    assert result.exit_code == 1
    assert (finding["severity"], finding["line"]) == ("warning", 6)
    assert (finding["file"], finding["path"]) == (str(file), "sites.demo.values.kind")
    assert report["changes"] == []
    assert gateways[0].received == []


def test_unreadable_file_exits_with_2(run, file, old_file):
    """Guards against an unreadable file that counts as checked or compared."""
    old_file.write_text("{")
    result = run("check-config", str(file), "--against", str(old_file))
    assert result.exit_code == Exit.USAGE
    assert f"error: {old_file}:line 1 column " in result.stderr
    for path in (old_file, file.with_name("absent.json")):
        result = run("check-config", str(path))
        assert result.exit_code == Exit.USAGE
        assert f"error: {path}:" in result.stderr


def test_unreadable_version_in_force_exits_with_2(run, gateways, file):
    """Guards against a failed comparison that passes, or hides the findings."""
    for gateway in gateways:
        gateway.script("GET", "/v1/settings", refuse("forbidden", 403))
    result = run("check-config", str(file))
    assert result.exit_code == Exit.USAGE
    assert f"{file}: nothing found" in result.stdout
    assert "remedy: use a key that has the right" in result.stderr
    gateways[0].script("GET", "/v1/settings", Answer({"version": 7, "tree": {"x": 1}}))
    result = run("check-config", str(file))
    assert result.exit_code == Exit.USAGE
    assert "error: version 7:x: unknown name" in result.stderr


def test_file_is_checked_without_a_gateway(run, file):
    """Guards against a check that needs a cell where none is at hand."""
    result = run("check-config", str(file), env={"CACTUSTILLER_GATEWAYS": ""})
    assert result.exit_code == 0
    assert "not compared: neither --against nor a gateway" in result.stderr
