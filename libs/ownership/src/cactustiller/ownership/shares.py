"""Fair shares: each team's use of the cell compared with its entitlement."""


def measure_shares(teams, capacity):
    """Return each team's use of the cell and its distance from the fair share.

    Parameters
    ----------
    teams : dict of str to dict
        ``weight``, ``used`` (resources by name), ``running`` and ``waiting`` tasks.
    capacity : dict of str to int
        Total resources of the cell.

    Returns
    -------
    dict of str to dict
        `used_share` is the team's dominant share: the largest fraction of the
        capacity that it uses of any resource. `share` is the fraction of all use that
        its weight entitles it to among the teams with running or waiting tasks, and
        `distance` is its fraction of all use minus `share`. The distance of a team
        below its share is 0 if it has no waiting tasks, since its demand is met.
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
