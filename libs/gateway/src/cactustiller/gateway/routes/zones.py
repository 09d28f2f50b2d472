"""Availability zones: list, evacuation and restoration."""

import re
from collections import Counter
from functools import partial

from aiohttp import web

from cactustiller.model import ErrorCode
from cactustiller.model.jobs import NAME_PATTERN
from cactustiller.settings import set_zone_evacuated

from ..bodies import ZoneChange, read_body
from ..context import get_authorization, get_gateway
from ..errors import make_refusal
from .settings import commit_edit


async def list_zones(request):
    """Respond with the zones that have members, workers or executors."""
    gateway = get_gateway(request)
    gateway.access_control.identify_operator(get_authorization(request))
    zones = _count_by_zone(gateway)
    rows = [{"zone": zone, **zones[zone]} for zone in sorted(zones)]
    return web.json_response({"zones": rows})


async def evacuate_zone(request):
    """Let nothing new start in a zone. The operation is idempotent."""
    return await _change_zone(request, True)


async def restore_zone(request):
    """Let work start in a zone again. The operation is idempotent."""
    return await _change_zone(request, False)


async def _change_zone(request, is_evacuated):
    gateway = get_gateway(request)
    gateway.access_control.identify_operator(get_authorization(request))
    step = "evacuate zone" if is_evacuated else "restore zone"
    zone = request.match_info["zone"]
    if not re.fullmatch(NAME_PATTERN, zone):
        reason = f"zone: {zone!r} is not a name"
        raise make_refusal(ErrorCode.INVALID, step, reason)
    body = await read_body(request, ZoneChange)
    if zone not in _count_by_zone(gateway):
        # Another gateway may just have committed its evacuation.
        await gateway.replica.poll()
    zones = _count_by_zone(gateway)
    if zone not in zones:
        known = ", ".join(sorted(zones)) or "none"
        reason = f"no member, worker or executor is in zone {zone}; known: {known}"
        raise make_refusal(ErrorCode.NOT_FOUND, step, reason)
    path = gateway.access_control.get_path()
    return await commit_edit(
        request,
        partial(set_zone_evacuated, path=path, zone=zone, is_evacuated=is_evacuated),
        body.note or f"{step} {zone}",
        body.expected_version,
        skip_unchanged=True,
        zone=zone,
        evacuated=is_evacuated,
        workers=zones[zone]["workers"],
        executors=zones[zone]["executors"],
    )


def _count_by_zone(gateway):
    """Return the fields of each zone by its name.

    Instances without a zone are left out, since they cannot be evacuated.
    """
    listing = gateway.directory.listing
    evacuated = gateway.evacuations.zones
    counts = {
        "members": Counter(item.zone for item in gateway.member.list_members()),
        "workers": Counter(item.zone for item in listing.workers),
        "executors": Counter(item.zone for item in listing.backends),
    }
    return {
        zone: {
            "evacuated": zone in evacuated,
            **{name: found[zone] for name, found in counts.items()},
        }
        for zone in set().union(evacuated, *counts.values())
        if zone
    }


ROUTES = (
    web.get("/v1/zones", list_zones),
    web.post("/v1/zones/{zone}/evacuate", evacuate_zone),
    web.post("/v1/zones/{zone}/restore", restore_zone),
)
