"""Builders of settings trees for tests."""

from cactustiller.settings import add_queue, add_team, default_tree


def build_tree():
    tree = add_team(default_tree("demo", "main"), "demo", "main", "red").unwrap()
    return add_queue(tree, "demo", "main", "red", "fast").unwrap()
