from hypothesis import given
from hypothesis import strategies as st

from cactustiller.settings import (
    KeyRefusal,
    add_key,
    create_key,
    diff_trees,
    dump_tree,
    verify_key,
    withdraw_key,
)
from tests.settings.builders import build_tree


def add_new_key(tree):
    key, presented = create_key("red", "laptop", False, 5.0)
    return add_key(tree, key).unwrap(), key, presented


def test_key_verifies_and_its_secret_is_not_stored():
    tree, key, presented = add_new_key(build_tree())
    assert verify_key(tree, presented).unwrap() == key
    assert presented.rsplit("_", 1)[1] not in dump_tree(tree)
    assert add_key(tree, key).is_err()


def test_wrong_unknown_and_malformed_keys_are_refused():
    tree, _, presented = add_new_key(build_tree())
    wrong = presented[:-1] + ("0" if presented[-1] != "0" else "1")
    assert verify_key(tree, wrong).unwrap_err() is KeyRefusal.UNKNOWN
    assert verify_key(build_tree(), presented).unwrap_err() is KeyRefusal.UNKNOWN
    for text in ("", "ct__", presented + "\n", "ct_é_é"):
        assert verify_key(tree, text).unwrap_err() is KeyRefusal.MALFORMED


@given(times=st.lists(st.floats(1e-3, 1e12), min_size=1, max_size=3))
def test_withdrawn_key_never_verifies(times):
    valid, key, presented = add_new_key(build_tree())
    tree = valid
    for time in times:
        tree = withdraw_key(tree, key.key_id, time).unwrap()
        assert verify_key(tree, presented).unwrap_err() is KeyRefusal.WITHDRAWN
    assert tree.keys[key.key_id].withdrawn_at == times[0]
    states = [c for c in diff_trees(valid, tree) if c.name == "state"]
    assert [(c.old, c.new) for c in states] == [("valid", "withdrawn")]


def test_withdrawal_needs_a_time_and_a_known_key():
    tree, key, _ = add_new_key(build_tree())
    assert withdraw_key(tree, key.key_id, 0.0).is_err()
    assert withdraw_key(tree, "absent", 1.0).is_err()


def test_key_needs_a_team_that_exists_unless_an_operator():
    for team in (None, "blue"):
        assert add_key(build_tree(), create_key(team, "k", False, 1.0)[0]).is_err()
    assert add_key(build_tree(), create_key(None, "k", True, 1.0)[0]).is_ok()
