"""Statistics of capacity and usage of a scheduler's shards and teams."""

from cactustiller.model import NOTHING, InstanceState, TaskState
from cactustiller.ownership import Metrics


def export_capacity_stats(partitions, find_values):
    """Return gauges, teams and histograms of a member's shards and homes.

    Parameters
    ----------
    partitions : Partitions
    find_values : callable
        Returns the `ResolvedValues` of a team and queue, None if unknown.
    """
    metrics = Metrics()
    return {
        "gauges": _measure_shards(partitions.shards.values(), metrics),
        "teams": _measure_teams(partitions.homes.values(), find_values),
        "histograms": metrics.export()["histograms"],
    }


def _measure_shards(shards, metrics):
    capacity, reserved, used = NOTHING, NOTHING, NOTHING
    for shard in shards:
        for session in shard.sessions.values():
            if session.info.state is not InstanceState.LIVE:
                continue
            in_use = _sum_usage(session)
            capacity = capacity + session.info.resources
            reserved = reserved + session.used
            used = used + in_use
            total = session.info.resources
            metrics.record(
                "packing_reserved", _find_dominant_share(session.used, total)
            )
            metrics.record("packing_used", _find_dominant_share(in_use, total))
    gauges = {"capacity": capacity, "reserved": reserved, "used": used}
    return {name: found.model_dump() for name, found in gauges.items()}


def _sum_usage(session):
    used = NOTHING
    for entry in session.entries.values():
        if entry.holds_capacity:
            used = used + entry.usage
    return used


def _find_dominant_share(part, total):
    pairs = zip(part.model_dump().values(), total.model_dump().values(), strict=True)
    return max((some / whole for some, whole in pairs if whole), default=0.0)


def _measure_teams(homes, find_values):
    teams = {}
    for home in homes:
        for entry in home.jobs.values():
            if not entry.is_over:
                _add_job(teams, entry, find_values)
    for team in teams.values():
        team["used"] = team["used"].model_dump()
    return teams


def _add_job(teams, entry, find_values):
    spec = entry.record.spec
    team = teams.get(spec.team)
    if team is None:
        values = find_values(spec.team, spec.queue)
        weight = values.share_weight if values is not None else 0.0
        team = teams[spec.team] = {
            "weight": weight,
            "used": NOTHING,
            "running": 0,
            "waiting": 0,
        }
    holding = len(entry.list_active())
    team["used"] = team["used"] + spec.template.resources.times(holding)
    team["running"] += entry.count(TaskState.RUNNING)
    team["waiting"] += len(entry.waiting) + len(entry.placing)
