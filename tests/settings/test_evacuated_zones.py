import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactustiller.settings import (
    apply_patch,
    diff_trees,
    dump_tree,
    make_patch,
    parse_tree,
    resolve,
    set_value,
    set_zone_evacuated,
    show_origin,
)
from cactustiller.settings.findings import find_warnings
from cactustiller.settings.names import MAX_EVACUATED_ZONES
from tests.settings.builders import build_data, build_tree

NAME = "evacuated_zones"
CELL = "demo/main"


def read_zones(tree):
    return resolve(tree, "demo", "main").evacuated_zones


@pytest.mark.parametrize(
    "value",
    [
        "a",
        ["A"],
        [""],
        ["a/b"],
        [1],
        [f"z{number}" for number in range(MAX_EVACUATED_ZONES + 1)],
    ],
)
def test_invalid_list_is_refused(value):
    """Guards against a list that no gateway can serve or restore zone by zone."""
    assert set_value(build_tree(), CELL, NAME, value).is_err()


def test_list_may_be_set_down_to_the_cell():
    """Guards against a team that evacuates a zone for all the others."""
    for path in ("", "demo", CELL):
        tree = set_value(build_tree(), path, NAME, ["a"]).unwrap()
        assert read_zones(tree) == ("a",)
    assert set_value(build_tree(), "demo/main/red", NAME, ["a"]).is_err()


def test_list_is_shown_compared_and_patched():
    """Guards against code that takes every value for a number or a text."""
    before = set_value(build_tree(), CELL, NAME, ["a"]).unwrap()
    after = set_value(before, CELL, NAME, ["a", "b"]).unwrap()
    (change,) = diff_trees(before, after)
    assert (change.path, change.old, change.new) == (CELL, ["a"], ["a", "b"])
    (shown,) = [item for item in show_origin(after, CELL) if item.name == NAME]
    assert (shown.value, shown.origin) == (["a", "b"], CELL)
    patch = make_patch(dump_tree(before), dump_tree(after))
    patched = parse_tree(apply_patch(dump_tree(before), patch), "t").unwrap()
    assert patched == after


def test_list_of_a_cell_without_teams_is_not_reported_as_unused():
    """Guards against a warning about a value that shards, pools and gateways use."""
    tree = parse_tree(dump_tree(build_tree()), "t").unwrap()
    tree = set_value(tree, CELL, NAME, ["a"]).unwrap()
    assert find_warnings(tree) == []
    data = build_data(site={NAME: ["b"]}, cell={NAME: ["a"]})
    overridden = parse_tree(str(data).replace("'", '"'), "t").unwrap()
    ((path, reason),) = find_warnings(overridden)
    assert path == f"sites.demo.values.{NAME}"
    assert reason.startswith("has no effect")


@given(
    inherited=st.lists(st.sampled_from("abc"), unique=True),
    level=st.sampled_from(["", "demo"]),
    edits=st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=8),
)
def test_edits_of_a_cell_keep_the_other_zones(inherited, level, edits):
    """Guards against a cell's list that drops the zones of the levels above."""
    tree = set_value(build_tree(), level, NAME, inherited).unwrap()
    expected = set(inherited)
    for zone, is_evacuated in edits:
        before = tree
        tree = set_zone_evacuated(tree, CELL, zone, is_evacuated).unwrap()
        assert (tree is before) is ((zone in expected) is is_evacuated)
        expected = (expected | {zone}) if is_evacuated else (expected - {zone})
        assert set(read_zones(tree)) == expected


def test_list_that_equals_the_inherited_one_is_removed():
    """Guards against a restored cell that no longer follows the levels above."""
    tree = build_tree()
    evacuated = set_zone_evacuated(tree, CELL, "a", True).unwrap()
    assert set_zone_evacuated(evacuated, CELL, "a", False).unwrap() == tree
