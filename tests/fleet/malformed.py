"""Malformed JSON values: mutations of valid ones, for property tests."""

import copy

from hypothesis import strategies as st

# Values of wrong types, huge and negative numbers, and deep nesting.
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([-1, 0, 10**6, 2**63, -(2**63), 10**18, 1e308, float("inf"), 0.5]),
    st.text(max_size=4),
    st.sampled_from(["7", "inf", "nan", "9" * 400, "\x00", "a:b:c", ":"]),
    st.just([]),
    st.just({}),
    st.just([[[[[[]]]]]]),
    st.just({"a": {"a": {"a": [1]}}}),
)


def list_paths(value, path=()):
    """Return the paths of all values inside a JSON value, itself included."""
    paths = [path]
    if isinstance(value, dict):
        for key, item in value.items():
            paths += list_paths(item, (*path, key))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            paths += list_paths(item, (*path, index))
    return paths


def replace_at(value, path, replacement):
    """Return a copy of a JSON value with the value at a path replaced."""
    if not path:
        return replacement
    changed = copy.deepcopy(value)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = replacement
    return changed


def remove_at(value, path):
    """Return a copy of a JSON value without the value at a path."""
    changed = copy.deepcopy(value)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    del parent[path[-1]]
    return changed


@st.composite
def malform(draw, valid):
    """Draw a JSON value that differs from a valid one at one to three places."""
    value = valid
    for _ in range(draw(st.integers(1, 3))):
        paths = list_paths(value)
        path = draw(st.sampled_from(paths))
        if path and draw(st.booleans()):
            value = remove_at(value, path)
        else:
            value = replace_at(value, path, draw(ODD_VALUES))
    return value
