"""Teams, queues and keys."""

import time

from aiohttp import web
from result import Ok

from cactustiller.model import ErrorCode
from cactustiller.settings import (
    add_key,
    add_queue,
    add_team,
    create_key,
    set_value,
    withdraw_key,
)

from ..bodies import KeyCreation, QueueCreation, TeamCreation, read_body
from ..context import get_authorization, get_gateway
from ..errors import make_refusal
from .settings import commit_edit


async def create_team(request):
    """Add a team with its values."""
    body = await read_body(request, TeamCreation)
    path = get_gateway(request).access_control.get_path(body.team)

    def edit(tree):
        added = add_team(tree, *path.split("/"))
        return _set_values(added, path, body.values)

    note = f"add team {body.team}"
    return await commit_edit(request, edit, note, status=201, team=body.team)


async def create_queue(request):
    """Add a queue with its values."""
    body = await read_body(request, QueueCreation)
    path = get_gateway(request).access_control.get_path(body.team, body.queue)

    def edit(tree):
        added = add_queue(tree, *path.split("/"))
        return _set_values(added, path, body.values)

    note = f"add queue {body.team}/{body.queue}"
    names = {"team": body.team, "queue": body.queue}
    return await commit_edit(request, edit, note, status=201, **names)


async def create_api_key(request):
    """Create a key; its text is in this answer only."""
    body = await read_body(request, KeyCreation)
    record, text = create_key(body.team, body.name, body.operator, time.time())

    def edit(tree):
        return add_key(tree, record)

    note = f"create key {body.name}"
    names = {"key_id": record.key_id, "key": text}
    return await commit_edit(request, edit, note, status=201, **names)


async def list_keys(request):
    """Answer the keys of a team, or all, without their hashes."""
    gateway = get_gateway(request)
    gateway.access_control.identify_operator(get_authorization(request))
    team = request.query.get("team")
    keys = [
        {"key_id": key_id, **key.model_dump(exclude={"salt", "digest"})}
        for key_id, key in gateway.replica.tree.keys.items()
        if team is None or key.team == team
    ]
    return web.json_response({"keys": keys})


async def withdraw_api_key(request):
    """Withdraw a key; repeating it is harmless."""
    gateway = get_gateway(request)
    gateway.access_control.identify_operator(get_authorization(request))
    key_id = request.match_info["key_id"]
    if key_id not in gateway.replica.tree.keys:
        await gateway.replica.poll()
    if key_id not in gateway.replica.tree.keys:
        reason = f"no key {key_id!r}"
        raise make_refusal(ErrorCode.NOT_FOUND, "withdraw key", reason)

    def edit(tree):
        return withdraw_key(tree, key_id, time.time())

    note = f"withdraw key {key_id}"
    return await commit_edit(request, edit, note, key_id=key_id)


def _set_values(edited, path, values):
    for name, value in values.items():
        edited = edited.and_then(
            lambda tree, name=name, value=value: set_value(tree, path, name, value)
        )
    return edited.and_then(Ok)


ROUTES = (
    web.post("/v1/teams", create_team),
    web.post("/v1/queues", create_queue),
    web.post("/v1/keys", create_api_key),
    web.get("/v1/keys", list_keys),
    web.delete("/v1/keys/{key_id}", withdraw_api_key),
)
