import pytest

from cactustiller.settings import Severity, check_file, validate_submission
from tests.settings.builders import build_data, write_tree

RED = "sites.demo.cells.main.teams.red"
CELL = "sites.demo.cells.main"


def find(tmp_path, **levels):
    """Return ``{path: reason}`` of the warnings about a tree without errors."""
    path = write_tree(tmp_path / "tree.json", build_data(**levels))
    checked = check_file(path).unwrap()
    assert checked.tree is not None
    assert {item.severity for item in checked.findings} <= {Severity.WARNING}
    assert len({str(item) for item in checked.findings}) == len(checked.findings)
    return {item.path: item.reason for item in checked.findings}


def test_errors_are_those_of_a_submission(tmp_path):
    """Guards against a check that disagrees with what a gateway rejects."""
    data = build_data(
        system={"share_weight": 0, "limit_tasks": 4},
        red=({"limit_cpu_millis": 1}, {"a": {"max_task_cpu_millis": 2, "knd": 1}}),
    )
    checked = check_file(write_tree(tmp_path / "tree.json", data)).unwrap()
    errors = validate_submission(data, {}, "body").unwrap_err()
    assert checked.tree is None
    assert {(item.path, item.reason) for item in checked.findings} == {
        (error.path, error.reason) for error in errors
    }
    lines = {item.path: item.line for item in checked.findings}
    assert lines["values.share_weight"] == 3
    assert {item.severity for item in checked.findings} == {Severity.ERROR}


@pytest.mark.parametrize(
    ("data", "path"),
    [([], ""), ({"keys": {"k1": {}}}, "keys"), ({"sites": {"A b": {}}}, "sites.A b")],
)
def test_what_is_no_submittable_tree_is_an_error(tmp_path, data, path):
    """Guards against a crash on other JSON, and keys that a gateway rejects."""
    checked = check_file(write_tree(tmp_path / "tree.json", data)).unwrap()
    assert [item.path for item in checked.findings] == [path]
    assert checked.findings[0].severity is Severity.ERROR


def test_submission_keeps_the_keys_in_force():
    """Guards against keys that are lost when the tree is replaced."""
    key = {"name": "k", "operator": True, "salt": "0" * 32, "digest": "0" * 128}
    keys = {"k1": key | {"created_at": 1.0}}
    tree = validate_submission(build_data(), keys, "body").unwrap()
    assert list(tree.keys) == ["k1"]
    assert (
        tree.with_changes(keys={})
        == validate_submission(build_data(), {}, "body").unwrap()
    )


@pytest.mark.parametrize("content", [None, b"\xff", b'{"values": ', b""])
def test_unreadable_file_has_no_findings(tmp_path, content):
    """Guards against a file that cannot be parsed and counts as checked."""
    path = tmp_path / "tree.json"
    if content is not None:
        path.write_bytes(content)
    (error,) = check_file(path).unwrap_err()
    assert str(error).startswith(str(path))


def test_usual_tree_has_no_findings(tmp_path):
    """Guards against warnings about defaults with exceptions."""
    warnings = find(
        tmp_path,
        system={"max_preemptions": 5, "spread": "zone", "limit_tasks": 9},
        cell={"share_window_seconds": 60.0, "max_attempts": 2, "kind": "batch"},
        red=(
            {"limit_tasks": 9, "share_weight": 2.0, "request_timeout_ms": 5},
            {
                "a": {"preemptible": False, "colocate": "rack"},
                "b": {"spread": "rack", "colocate": "zone"},
            },
        ),
        blue=({"limit_tasks": 9, "max_attempts": 4}, {"c": {"max_attempts": 1}}),
        green=({"limit_tasks": 0, "share_weight": 4.0}, {}),
    )
    assert warnings == {}


def test_entries_without_effect_are_found(tmp_path):
    """Guards against entries that nothing uses and no one is told about."""
    queue = {"spread": "zone", "colocate": "rack", "max_request_bytes": 9}
    warnings = find(
        tmp_path,
        site={"kind": "batch"},
        cell={"kind": "service", "limit_tasks": 5, "preemptible": False},
        red=({"limit_tasks": 5, "max_preemptions": 2}, {"a": queue}),
    )
    assert set(warnings) == {
        "sites.demo.values.kind",
        f"{CELL}.values.limit_tasks",
        f"{RED}.values.max_preemptions",
        f"{RED}.queues.a.values.max_request_bytes",
        f"{RED}.queues.a.values.spread",
    }
    assert "overridden" in warnings["sites.demo.values.kind"]
    assert (
        "no team below"
        in find(tmp_path, site={"kind": "batch"})["sites.demo.values.kind"]
    )


def test_repeated_name_is_found_beside_errors(tmp_path):
    """Guards against values that pyjson5 drops without a word."""
    path = tmp_path / "tree.json"
    path.write_text('{"values": {\n"kind": "batch",\n// again\n"kind": "x"}}')
    first, second = check_file(path).unwrap().findings
    assert str(first) == (
        f"{path}:2: warning: values.kind: has no effect: "
        "the name follows again in line 4"
    )
    assert (second.line, second.severity) == (4, Severity.ERROR)


def test_team_limit_below_an_inherited_task_limit_is_found(tmp_path):
    """Guards against a queue that accepts tasks which its team can never run."""
    levels = {"red": ({"limit_cpu_millis": 1000}, {"a": {}, "b": {}}), "blue": ({}, {})}
    warnings = find(tmp_path, system={"max_task_cpu_millis": 2000}, **levels)
    assert list(warnings) == [f"{RED}.values.limit_cpu_millis"]
    assert find(tmp_path, system={"max_task_cpu_millis": 1000}, **levels) == {}


def test_limit_that_reverses_the_weights_is_found(tmp_path):
    """Guards against a share that the team's own limit denies."""
    light, middle = {"limit_tasks": 9}, {"share_weight": 2.0, "limit_tasks": 8}
    heavy = {"share_weight": 3.0, "limit_tasks": 7}
    warnings = find(tmp_path, red=(heavy, {}), blue=(light, {}), green=(middle, {}))
    green = f"{CELL}.teams.green.values.limit_tasks"
    assert set(warnings) == {f"{RED}.values.limit_tasks", green}
    assert "7 is below 9 of team blue" in warnings[f"{RED}.values.limit_tasks"]
    assert "8 is below 9 of team blue" in warnings[green]
