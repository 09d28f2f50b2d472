"""Teams, queues and the key that a workload needs, added to the settings at once."""

from result import Err, Ok

from cactustiller.model import ErrorCode, Failure, Urgency

KEY_NAME = "load"
STEP = "prepare load"


async def prepare_cell(client, workload):
    """Add what is absent and return ``Ok(KeyCreated)`` of one team's key.

    The queues are open to all, so that one key submits for every team.
    """
    document = await client.get_settings()
    if document.is_err():
        return document
    found = document.unwrap()
    tree = add_workload(found.tree, workload)
    if tree.is_err():
        return tree
    if tree.unwrap() != found.tree:
        note = f"load {workload.name}"
        changed = await client.put_settings(found.version, tree.unwrap(), note)
        if changed.is_err():
            return changed
    return await client.create_key(workload.teams[0].name, KEY_NAME)


def add_workload(tree, workload):
    """Return ``Ok`` of a settings tree with the workload's teams and queues."""
    sites = tree.get("sites", {})
    cells = [
        (site, cell) for site, found in sites.items() for cell in found.get("cells", {})
    ]
    if len(cells) != 1:
        reason = f"the settings describe {len(cells)} cells, a load needs exactly one"
        return Err(Failure(code=ErrorCode.INVALID, step=STEP, reason=reason))
    ((site, cell),) = cells
    found = sites[site]["cells"][cell]
    teams = dict(found.get("teams", {}))
    for team in workload.teams:
        teams[team.name] = _add_team(teams.get(team.name, {}), team, workload)
    changed_cell = found | {"teams": teams}
    changed_site = sites[site] | {"cells": sites[site]["cells"] | {cell: changed_cell}}
    return Ok(tree | {"sites": sites | {site: changed_site}})


def _add_team(node, team, workload):
    values = {"share_weight": team.weight}
    if team.limit_tasks:
        values["limit_tasks"] = team.limit_tasks
    queues = dict(node.get("queues", {}))
    for load in workload.jobs:
        if team.name in load.teams:
            urgency = Urgency.URGENT if load.urgent else Urgency.NORMAL
            described = {"kind": load.kind, "urgency": urgency, "open_to_all": True}
            before = queues.get(load.name, {})
            queues[load.name] = before | {
                "values": before.get("values", {}) | described
            }
    return node | {"values": node.get("values", {}) | values, "queues": queues}
