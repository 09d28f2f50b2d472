"""Distance of each team from its share of the cell."""


def measure_shares(teams, capacity):
    """Return what each team uses of the cell, and how far that is from its share.

    Parameters
    ----------
    teams : dict of str to dict
        ``weight``, ``used`` (resources by name), ``running`` and ``waiting`` tasks.
    capacity : dict of str to int
        Resources of the whole cell.

    Returns
    -------
    dict of str to dict
        `used_share` is the team's dominant part of the cell. `share` is the part of
        all use that its weight entitles it to among the teams with work; `distance`
        is its part of all use minus that share. A team below its share with nothing
        waiting has all that it asked for, so its distance is 0.
    """
    active = {
        name: team for name, team in teams.items() if team["running"] or team["waiting"]
    }
    used = {
        name: _find_dominant_share(team["used"], capacity)
        for name, team in teams.items()
    }
    total_used = sum(used.values())
    total_weight = sum(team["weight"] for team in active.values())
    shares_by_team = {}
    for name, team in sorted(teams.items()):
        is_active = name in active and total_weight > 0
        share = team["weight"] / total_weight if is_active else 0.0
        distance = (used[name] / total_used if total_used else 0.0) - share
        if distance < 0 and not team["waiting"]:
            distance = 0.0
        shares_by_team[name] = {
            "weight": team["weight"],
            "running": team["running"],
            "waiting": team["waiting"],
            "used_share": round(used[name], 4),
            "share": round(share, 4),
            "distance": round(distance, 4),
        }
    return shares_by_team


def _find_dominant_share(used, capacity):
    shares = [
        used.get(resource, 0) / amount
        for resource, amount in capacity.items()
        if amount
    ]
    return max(shares, default=0.0)
