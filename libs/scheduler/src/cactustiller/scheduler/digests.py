"""Digests that schedulers exchange about the usage of teams and about claims.

A claim reserves capacity on workers for a pending job that is to start later.
"""

from cactustiller.model import Resources
from cactustiller.model.messages import (
    ClaimView,
    KeptCapacity,
    PublishUsage,
    TeamUsage,
)
from cactustiller.policy import Amounts, Claim

MIN_RELATIVE_CHANGE = 0.02
# Largest amounts that the fields of a message can hold.
MAX_AMOUNTS = Amounts(2**64 - 1, 2**64 - 1, 2**32 - 1)


class UsageDigests:
    """Creates the digests of a member's teams and processes those of its peers.

    Parameters
    ----------
    member : Member
    planner : Planner
    clock : WallClock
    make_remote_team : callable
        Returns the `TeamSnapshot` of a peer's `TeamUsage`.
    """

    def __init__(self, member, planner, clock, make_remote_team):
        self._member = member
        self._planner = planner
        self._clock = clock
        self._make_remote_team = make_remote_team
        self._sent = {}
        self._had_claims = False
        self._teams_by_member = {}
        self._claims_by_member = {}

    def make(self, is_full, members, teams):
        """Return the `PublishUsage` of this member, None if nothing changed.

        Parameters
        ----------
        is_full : bool
            Whether to include all teams, not only the changed ones.
        members : set of MemberId
            Members of the cell; the digests of others are removed.
        teams : list of TeamSnapshot
            Teams that have a home at this member.
        """
        self._remove_members(set(self._teams_by_member) - members)
        if is_full:
            self._sent = {}
        usages = []
        for team in teams:
            found = (team.used, team.sum_waiting())
            if _has_changed(self._sent.get(team.team), found):
                self._sent[team.team] = found
                usages.append(_make_usage(team.team, *found))
        claims = self._list_claims()
        had_claims, self._had_claims = self._had_claims, bool(claims)
        if not (usages or claims or had_claims or is_full):
            return None
        return PublishUsage(
            member=self._member.member, full=is_full, teams=usages, claims=claims
        )

    def receive(self, message, local):
        """Process a peer's digest, except for teams that have a home at this member."""
        state = self._planner.state
        own = {team.team for team in local}
        known_teams = self._teams_by_member.setdefault(message.member, set())
        named = {usage.team for usage in message.teams}
        if message.full:
            removed = known_teams - named
            known_teams.clear()
            known_teams.update(named - own)
            self._remove_teams(removed)
        for usage in message.teams:
            if usage.team not in own:
                state.put_team(self._make_remote_team(usage))
                known_teams.add(usage.team)
        now = self._clock.now()
        self._claims_by_member[message.member] = [
            _read_claim(view, now) for view in message.claims
        ]
        self._update_peer_claims()

    def _list_claims(self):
        now = self._clock.now()
        return [
            ClaimView(
                job=claim.job,
                since=claim.since,
                starts_in_seconds=max(0.0, claim.start_at - now),
                kept=[
                    KeptCapacity(
                        worker=worker,
                        tasks=claim.tasks.get(worker, 0),
                        amounts=_make_resources(amounts),
                    )
                    for worker, amounts in claim.reserved.items()
                ],
            )
            for claim in self._planner.claims.own.values()
        ]

    def _remove_members(self, members):
        for member in members:
            self._remove_teams(self._teams_by_member.pop(member))
            self._claims_by_member.pop(member, None)
        if members:
            self._update_peer_claims()

    def _remove_teams(self, names):
        state = self._planner.state
        kept = {name for names in self._teams_by_member.values() for name in names}
        for name in names - kept:
            if name in state.teams and state.teams[name].is_remote:
                state.remove_team(name)

    def _update_peer_claims(self):
        self._planner.claims.peers = [
            claim for claims in self._claims_by_member.values() for claim in claims
        ]


def _read_claim(view, now):
    return Claim(
        job=view.job,
        since=view.since,
        start_at=now + view.starts_in_seconds,
        tasks={item.worker: item.tasks for item in view.kept},
        reserved={item.worker: Amounts.of(item.amounts) for item in view.kept},
    )


def _make_usage(team, used, waiting):
    return TeamUsage(
        team=team, used=_make_resources(used), waiting=_make_resources(waiting)
    )


def _make_resources(amounts):
    cpu, memory, accelerators = (
        max(0, min(amount, bound))
        for amount, bound in zip(amounts, MAX_AMOUNTS, strict=True)
    )
    return Resources(cpu_millis=cpu, memory_mib=memory, accelerators=accelerators)


def _has_changed(before, after):
    """Return whether usage or pending work has changed by more than the minimum."""
    if before is None:
        return True
    return any(
        abs(new - old) > MIN_RELATIVE_CHANGE * max(old, new)
        for olds, news in zip(before, after, strict=True)
        for old, new in zip(olds, news, strict=True)
    )
