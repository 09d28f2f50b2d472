"""Settings tree: reading, changes, origins of values and version history."""

import asyncio

from aiohttp import web

from cactustiller.model import ErrorCode, FailureError
from cactustiller.model.messages import GetSettings, SettingsBody
from cactustiller.settings import (
    diff_trees,
    set_value,
    show_origin,
    validate_submission,
)

from ..bodies import Rollback, TreeChange, ValueChange, read_body
from ..context import get_authorization, get_gateway
from ..errors import make_refusal

STATUS_TIMEOUT_SECONDS = 1.0
HIGHEST_VERSION = 2**62
MAX_AGE_SECONDS = 1e9  # JSON has no infinity

# The longest version in a message, which has 64 bits.
MAX_VERSION_DIGITS = 19


async def show_tree(request):
    """Respond with the tree in force, without its keys."""
    gateway = get_gateway(request)
    gateway.access_control.identify_operator(get_authorization(request))
    tree = gateway.replica.tree.model_dump(mode="json", exclude={"keys"})
    return web.json_response({"version": gateway.replica.version, "tree": tree})


async def replace_tree(request):
    """Replace the tree except its keys if its version is the expected one."""
    body = await read_body(request, TreeChange)

    def edit(tree):
        keys = tree.model_dump(mode="json", include={"keys"})["keys"]
        return validate_submission(body.tree, keys, "body", "tree.")

    return await commit_edit(request, edit, body.note, body.expected_version)


async def change_value(request):
    """Set or remove one value."""
    body = await read_body(request, ValueChange)

    def edit(tree):
        return set_value(tree, body.path, body.name, body.value)

    return await commit_edit(request, edit, body.note, body.expected_version)


async def show_values(request):
    """Respond with every value at a path and its origin."""
    gateway = get_gateway(request)
    gateway.access_control.identify_operator(get_authorization(request))
    path = request.query.get("path", gateway.access_control.get_path())
    try:
        values = show_origin(gateway.replica.tree, path)
    except KeyError as error:
        reason = f"path: {path!r} is not in the settings tree"
        raise make_refusal(ErrorCode.NOT_FOUND, "show settings", reason) from error
    rows = [value.model_dump(mode="json") for value in values]
    return web.json_response({"version": gateway.replica.version, "values": rows})


async def show_status(request):
    """Respond with the version in force on each member."""
    gateway = get_gateway(request)
    gateway.access_control.identify_operator(get_authorization(request))
    records = gateway.member.list_members()
    rows = await asyncio.gather(*(_ask_member(gateway, record) for record in records))
    return web.json_response({"instances": rows})


async def show_history(request):
    """Respond with the history of changes and their authors, newest first."""
    gateway = get_gateway(request)
    gateway.access_control.identify_operator(get_authorization(request))
    entries = unwrap_or_raise(await gateway.editor.read_history())
    return web.json_response({"versions": [entry.model_dump() for entry in entries]})


async def show_difference(request):
    """Respond with the values that differ between two stored versions."""
    gateway = get_gateway(request)
    gateway.access_control.identify_operator(get_authorization(request))
    trees = [
        unwrap_or_raise(await gateway.editor.read_tree(_read_version(request, name)))
        for name in ("from", "to")
    ]
    changes = [change.model_dump() for change in diff_trees(*trees)]
    return web.json_response({"changes": changes})


async def roll_back(request):
    """Commit the tree of an earlier version, with the current keys, as a new one."""
    gateway = get_gateway(request)
    operator = gateway.access_control.identify_operator(get_authorization(request))
    body = await read_body(request, Rollback)
    version = unwrap_or_raise(
        await gateway.editor.roll_back(
            body.to_version, format_author(operator), body.note, body.expected_version
        )
    )
    return web.json_response({"version": version})


async def commit_edit(
    request,
    edit,
    note,
    expected_version=None,
    status=200,
    skip_unchanged=False,
    **fields,
):
    """Commit an operator's edit; respond with its version and the given fields.

    With `skip_unchanged`, an edit that changes nothing commits no new version.
    """
    gateway = get_gateway(request)
    operator = gateway.access_control.identify_operator(get_authorization(request))
    author = format_author(operator)
    version = unwrap_or_raise(
        await gateway.editor.change(
            edit, author, note, expected_version, skip_unchanged
        )
    )
    gateway.metrics.count("settings_changes")
    return web.json_response({"version": version, **fields}, status=status)


def format_author(operator):
    """Return an operator's name and key id as the author of a change."""
    return f"{operator.name} ({operator.key})"


def unwrap_or_raise(result):
    """Return the value of an ``Ok``; raise the failure of an ``Err``."""
    if result.is_err():
        raise FailureError(result.unwrap_err())
    return result.unwrap()


def _read_version(request, name):
    text = request.query.get(name, "")
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_VERSION_DIGITS:
        reason = f"{name}: must be a version number"
        raise make_refusal(ErrorCode.INVALID, "compare settings", reason)
    return int(text)


async def _ask_member(gateway, record):
    row = {"member": record.member, "role": record.role, "zone": record.zone}
    if record.member == gateway.member.record.member:
        age_seconds = gateway.replica.age_seconds
        return row | _build_version_fields(gateway.replica.version, age_seconds)
    answer = await gateway.member.peers.call(
        record.peer_address,
        GetSettings(known_version=HIGHEST_VERSION),
        STATUS_TIMEOUT_SECONDS,
    )
    body = answer.unwrap_or(None)
    if isinstance(body, SettingsBody):
        return row | _build_version_fields(body.version, body.age_ms / 1000)
    reason = answer.unwrap_err().reason if answer.is_err() else "no settings replica"
    return row | {"version": None, "age_seconds": None, "reason": reason}


def _build_version_fields(version, age_seconds):
    age_seconds = min(age_seconds, MAX_AGE_SECONDS)
    return {"version": version, "age_seconds": round(age_seconds, 3)}


ROUTES = (
    web.get("/v1/settings", show_tree),
    web.put("/v1/settings", replace_tree),
    web.patch("/v1/settings", change_value),
    web.get("/v1/settings/show", show_values),
    web.get("/v1/settings/status", show_status),
    web.get("/v1/settings/history", show_history),
    web.get("/v1/settings/diff", show_difference),
    web.post("/v1/settings/rollback", roll_back),
)
