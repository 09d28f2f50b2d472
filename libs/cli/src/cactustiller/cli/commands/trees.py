"""Finds teams and queues in a tree of settings."""


def find_teams(tree):
    """Yield the name and node of every team of every cell."""
    for site in tree.get("sites", {}).values():
        for cell in site.get("cells", {}).values():
            yield from cell.get("teams", {}).items()


def find_queues(tree, team=None):
    """Yield team, queue and the queue's node, of one team or all."""
    for name, node in find_teams(tree):
        if team in (None, name):
            for queue, found in node.get("queues", {}).items():
                yield name, queue, found
