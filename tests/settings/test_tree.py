from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactustiller.settings import (
    add_queue,
    add_team,
    diff_trees,
    dump_tree,
    find_largest,
    format_names_table,
    parse_tree,
    resolve,
    set_value,
    show_origin,
)
from tests.settings.builders import build_tree

DATA = Path(__file__).parent / "data"
PAGE = Path(__file__).parents[2] / "docs" / "operate" / "settings.md"
PATHS = ["", "demo", "demo/main", "demo/main/red", "demo/main/red/fast"]
QUEUE = ("demo", "main", "red", "fast")


def test_every_problem_of_a_tree_is_listed():
    text = (DATA / "tree.json").read_text()
    reasons = {e.path: e.reason for e in parse_tree(text, "t").unwrap_err()}
    queues = "sites.demo.cells.main.teams.red.queues"
    assert set(reasons) == {
        "values.share_weight",
        "values.ageing_second",
        "sites.demo.cells.main.values.open_to_all",
        f"{queues}.a.values.limit_tasks",
        f"{queues}.a.values.kind",
        f"{queues}.b.values.max_task_cpu_millis",
    }
    assert reasons["values.ageing_second"].endswith("did you mean ageing_seconds?")


@given(path=st.sampled_from(PATHS), value=st.integers(1, 100))
def test_set_then_resolve_and_remove(path, value):
    tree = build_tree()
    changed = set_value(tree, path, "max_attempts", value).unwrap()
    assert resolve(changed, *QUEUE).max_attempts == value
    assert resolve(tree, *QUEUE).max_attempts == 3
    origins = {item.name: item.origin for item in show_origin(changed, PATHS[-1])}
    assert (origins["max_attempts"], origins["kind"]) == (path, "(default)")
    assert set_value(changed, path, "max_attempts", None).unwrap() == tree


@given(outer=st.integers(0, 3), inner=st.integers(0, 3), values=st.permutations([7, 9]))
def test_deeper_level_wins(outer, inner, values):
    outer, inner = sorted((outer, inner + 1))
    tree = set_value(build_tree(), PATHS[outer], "max_attempts", values[0]).unwrap()
    tree = set_value(tree, PATHS[inner], "max_attempts", values[1]).unwrap()
    assert resolve(tree, *QUEUE).max_attempts == values[1]


@given(path=st.sampled_from(PATHS), value=st.floats(0.5, 1e6))
def test_diff_names_exactly_the_change(path, value):
    tree = build_tree()
    assert diff_trees(tree, parse_tree(dump_tree(tree), "t").unwrap()) == []
    changed = set_value(tree, path, "ageing_seconds", value).unwrap()
    (change,) = diff_trees(tree, changed)
    found = (change.path, change.name, change.old, change.new)
    assert found == (path, "ageing_seconds", None, value)


def test_diff_shows_added_levels():
    tree = build_tree()
    grown = add_team(tree, "demo", "main", "blue").unwrap()
    (change,) = diff_trees(tree, grown)
    assert (change.path, change.name, change.new) == (
        "demo/main/blue",
        "team",
        "present",
    )


@pytest.mark.parametrize(
    ("path", "name", "value"),
    [
        ("demo/main/red/fast", "limit_tasks", 1),
        ("demo/main/none", "max_attempts", 1),
        ("", "max_attempts", True),
        ("", "max_attempts", "3"),
        ("", "ageing_seconds", float("nan")),
        ("", "kind", object()),
        ("demo/main/red/fast/x", "kind", "batch"),
    ],
)
def test_invalid_value_is_refused(path, name, value):
    assert set_value(build_tree(), path, name, value).is_err()


def test_invalid_level_is_refused():
    tree = build_tree()
    assert add_team(tree, "demo", "main", "red").is_err()
    assert add_team(tree, "demo", "main", "Not/a name").is_err()
    assert add_queue(tree, "demo", "main", "blue", "fast").is_err()
    with pytest.raises(KeyError):
        resolve(tree, "demo", "main", "blue")
    with pytest.raises(KeyError):
        resolve(tree, "demo", "main", None, "red")


def test_value_of_a_wrong_type_is_one_error():
    (error,) = parse_tree('{"values": {"kind": ["batch"]}}', "t").unwrap_err()
    assert error.path == "values.kind"


def test_resolved_values_are_cached_for_each_tree():
    tree = build_tree()
    assert resolve(tree, *QUEUE) is resolve(tree, *QUEUE)
    assert resolve(tree.with_changes(values={"max_attempts": 8}), *QUEUE) != resolve(
        tree, *QUEUE
    )


def test_largest_value_is_found_over_all_levels_and_the_default():
    tree = build_tree()
    assert find_largest(tree, "request_timeout_ms") == 10_000
    tree = set_value(tree, "demo/main/red", "request_timeout_ms", 30_000).unwrap()
    tree = set_value(tree, "", "request_timeout_ms", 500).unwrap()
    assert find_largest(tree, "request_timeout_ms") == 30_000


def test_page_has_the_names_table():
    assert format_names_table() in PAGE.read_text()
