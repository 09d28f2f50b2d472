"""Builders of settings trees for tests."""

import json

from cactustiller.settings import add_queue, add_team, default_tree


def build_tree():
    tree = add_team(default_tree("demo", "main"), "demo", "main", "red").unwrap()
    return add_queue(tree, "demo", "main", "red", "fast").unwrap()


def build_data(system=(), site=(), cell=(), **teams):
    """Return the JSON form of a tree; a team is ``(values, {queue: values})``."""
    nodes = {
        team: {
            "values": values,
            "queues": {queue: {"values": item} for queue, item in queues.items()},
        }
        for team, (values, queues) in teams.items()
    }
    cells = {"main": {"values": dict(cell), "teams": nodes}}
    sites = {"demo": {"values": dict(site), "cells": cells}}
    return {"values": dict(system), "sites": sites}


def write_tree(path, data):
    path.write_text(json.dumps(data, indent=1))
    return path
