"""One decision over the present state."""

from math import inf

import numpy as np

from cactustiller.model import Urgency

from .agenda import NO_ROOM, Agenda
from .fleet import Use
from .ordering import URGENT_RANK
from .policies import get_policy
from .snapshots import LateJob, Placement, Plan, RunningTask, WaitReason
from .wholes import choose_rows

BACKFILL_SEARCHED = 32
CLAIMS_SEARCHED = 8
HELD_SECONDS = 2.5
SHARE_TOLERANCE = 0.001
TEAMS_SEARCHED = 64
NO_ROOM_WHOLE = "not all tasks fit at once now"


class Round:
    """Places work in order until nothing more fits.

    Parameters
    ----------
    state : CellState
    claims : ClaimBook
    preemptor : Preemptor
    now : float
        Wall-clock seconds.
    most : int
        Placements after which to stop.
    """

    def __init__(self, state, claims, preemptor, now, most):
        self._state = state
        self._fleet = state.fleet
        self._claims = claims
        self._preemptor = preemptor
        self._now = now
        self._most = most
        self._plan = Plan()
        self._agenda = Agenda(state, claims, now, self._make_room)
        self._peers_wait = any(
            team.is_remote and any(team.remote_waiting) for team in state.teams.values()
        )
        self._left = np.zeros(3, dtype=np.int64)
        self._held = np.zeros(3, dtype=np.int64)

    def run(self):
        """Return the `Plan`."""
        self._preemptor.refresh(self._state, self._now)
        overruns = self._claims.refresh(self._state, self._now)
        self._plan.preemptions.extend(overruns)
        for claim in self._claims.list_overdue(self._now):
            self._plan.preemptions += self._preemptor.complete(
                self._state, self._claims, claim, self._now
            )
        self._keep()
        self._start_claimed()
        self._agenda.open_lanes()
        self._left = np.maximum(self._fleet.get_open(Use.SHORT), 0).sum(axis=1)
        while len(self._plan.placements) < self._most:
            found = self._agenda.pop()
            if found is None:
                self._search_claims()
                return self._plan
            rank, team, lane = found
            if lane is None:
                self._held += np.array(self._find_owed(team))
                continue
            self._consider(rank, team, lane)
            self._agenda.push_team(team)
        self._plan.is_cut = self._agenda.has_more
        return self._plan

    def _keep(self):
        self._fleet.set_kept(self._preemptor.list_kept(), self._claims.list_kept())

    def _start_claimed(self):
        """Start claimed work whose capacity has come together."""
        for claim in self._claims.list_all():
            if claim.job not in self._claims.own:
                continue
            lane = self._state.get_lane(claim.job)
            job = self._state.jobs[claim.job]
            team = self._state.teams[job.spec.team]
            if self._find_limit(team, lane, job):
                continue
            count = lane.shape.key.whole_count or 1
            capacity = self._claims.find_capacity(self._fleet, claim)
            rows = choose_rows(self._fleet, lane.shape, count, capacity)
            if rows is not None:
                self._claims.drop(claim.job)
                self._place(team, lane, job, rows, "its claimed capacity is free")
                self._keep()

    def _make_room(self, shape):
        """Stop tasks for the urgent work of a shape."""
        teams = self._state.teams
        lane = teams[min(shape.teams)].lanes[shape.key]
        key = lane.get_first()
        found = self._preemptor.request(self._state, lane, key.job, self._now)
        self._plan.preemptions.extend(found)
        if found:
            self._keep()
        if self._preemptor.has_room(shape.key):
            shape.reason = f"{NO_ROOM}; tasks are stopped to make some"

    def _find_owed(self, team):
        """Return what a remote team may yet take of its share."""
        missing = team.entitled + team.owed - team.share
        totals = self._fleet.totals
        wanted = max(w / t for w, t in zip(team.remote_waiting, totals, strict=True))
        part = min(1.0, max(0.0, missing) / wanted)
        return [int(part * amount) for amount in team.remote_waiting]

    def _consider(self, rank, team, lane):
        """Place the first task of a lane, or all tasks that start together."""
        key = lane.get_first()
        job = self._state.jobs[key.job]
        if not self._note_late(job):
            reason = self._try(rank, team, lane, key, job)
            if reason:
                lane.reason = reason
                self._plan.waits.append(WaitReason(job.job, reason))
                return
        self._agenda.open_lane(team.team, lane)

    def _note_late(self, job):
        """Mark a job that cannot finish in time; return whether it was new."""
        if not job.deadline_at or job.job in self._state.late:
            return False
        waves = self._state.count_waves(job)
        finish = self._now + waves * job.typical_seconds
        if finish <= job.deadline_at:
            return False
        self._state.mark_late(job.job)
        if job.job not in self._state.warned:
            self._state.warned.add(job.job)
            self._plan.late.append(LateJob(job.job, job.deadline_at, finish))
        return True

    def _try(self, rank, team, lane, key, job):
        """Place work; return why it waits, or an empty string."""
        shape = lane.shape
        reason = self._find_limit(team, lane, job)
        if reason:
            return reason
        count = shape.key.whole_count or 1
        if rank != URGENT_RANK:
            need = np.multiply(shape.amounts, count)
            if self._is_held(need) or self._is_beyond_share(team, need):
                return "the free capacity is left for teams that are owed more"
        if shape.key.whole_count:
            capacity = self._fleet.get_open(Use.LONG)
            rows = choose_rows(self._fleet, shape, count, capacity)
            if rows is None:
                return self._claim(team, lane, key) or NO_ROOM_WHOLE
            self._place(team, lane, job, rows, get_policy(shape.kind).reason)
            return ""
        return self._try_task(rank, team, lane, key, job)

    def _is_held(self, need):
        """Return whether only peers' teams that are owed more leave too little."""
        is_short = (need > self._left - self._held) & (self._held > 0)
        return bool(is_short.any() and (need <= self._left).all())

    def _is_beyond_share(self, team, need):
        """Return whether a team has to let peers' teams go first for a while.

        Digests lag, so what peers' teams use may be out of date when much capacity
        comes free at once.
        """
        if not self._peers_wait:
            return False
        share = team.share + float((need / self._fleet.sum_total).max())
        if team.share <= 0.0 or share <= team.entitled + max(
            SHARE_TOLERANCE, team.owed
        ):
            team.held_since = None
            return False
        if team.held_since is None:
            team.held_since = self._now
        return self._now - team.held_since < HELD_SECONDS

    def _try_task(self, rank, team, lane, key, job):
        shape = lane.shape
        if rank == URGENT_RANK:
            return self._try_urgent(team, lane, job)
        use = self._find_use(job)
        if self._place_task(team, lane, job, use):
            return ""
        short = self._find_short(lane) if use is Use.LONG else None
        if short is not None and self._place_task(team, lane, short, Use.SHORT):
            return ""
        if key.latest_start <= self._now:
            return self._claim(team, lane, key) or NO_ROOM
        if use is Use.LONG and Use.SHORT not in shape.full:
            return "the free capacity is kept for large work"
        return NO_ROOM

    def _try_urgent(self, team, lane, job):
        """Place an urgent task, or make room for it.

        It takes capacity that is kept for claims only where nothing can be stopped,
        since the claims would never come together under steady urgent work.
        """
        has_room = self._preemptor.has_room(lane.shape.key)
        use = Use.URGENT if has_room else Use.LONG
        if self._place_task(team, lane, job, use):
            return ""
        found = self._preemptor.request(self._state, lane, job.job, self._now)
        self._plan.preemptions.extend(found)
        if found:
            self._keep()
        elif not has_room and self._place_task(team, lane, job, Use.URGENT):
            return ""
        self._agenda.close(lane.shape, Use.URGENT)
        return f"{NO_ROOM}; {len(found)} tasks are stopped to make some"

    def _find_use(self, job):
        start = self._claims.earliest_start
        if start is None or self._now + (job.longest_seconds or inf) <= start:
            return Use.SHORT
        return Use.LONG

    def _find_short(self, lane):
        """Return a job of the lane that ends before the claims start."""
        start = self._claims.earliest_start
        if start is None:
            return None
        for key in list(lane)[:BACKFILL_SEARCHED]:
            job = self._state.jobs[key.job]
            if self._now + (job.longest_seconds or inf) <= start:
                return job
        return None

    def _place_task(self, team, lane, job, use):
        """Place one task on the best worker; return whether there was room."""
        shape, fleet = lane.shape, self._fleet
        if use in shape.full:
            return False
        room = fleet.find_room(shape.amounts, use) & shape.get_mask(fleet)
        candidates = int(np.count_nonzero(room))
        if not candidates:
            self._agenda.close(shape, use)
            return False
        policy = get_policy(shape.kind)
        places = self._state.list_rows(job.job) if policy.needs_places(shape) else []
        scores = policy.score(fleet, shape, places)
        scores[~room] = -np.inf
        row = int(np.argmax(scores))
        self._place(
            team, lane, job, [row], policy.reason, candidates, float(scores[row])
        )
        if shape.urgency is Urgency.URGENT:
            self._preemptor.note_placed(shape.key, fleet.names[row])
            self._keep()
        return True

    def _place(self, team, lane, job, rows, reason, candidates=0, score=0.0):
        """Record placements of a job's first tasks on rows."""
        shape, fleet = lane.shape, self._fleet
        runs_for = job.longest_seconds or inf
        for row, index in zip(
            rows, self._state.take_tasks(job.job, len(rows)), strict=True
        ):
            snapshot = fleet.get_snapshot(row)
            fleet.take(row, shape.amounts)
            self._left -= np.array(shape.amounts)
            task = RunningTask(
                job=job.job,
                index=index,
                attempt=0,
                team=team.team,
                worker=snapshot.worker,
                shard=snapshot.shard,
                amounts=shape.amounts,
                urgency=shape.urgency,
                started_at=self._now,
                expected_end=self._now + runs_for,
            )
            self._state.add_running(task)
            self._claims.note_backfilled(task, self._now)
            self._plan.placements.append(
                Placement(
                    job.job,
                    index,
                    snapshot.worker,
                    snapshot.shard,
                    candidates or len(set(rows)),
                    score,
                    reason,
                )
            )

    def _search_claims(self):
        """Claim capacity for what found no room and has waited too long."""
        if not self._agenda.searches:
            return
        teams = [
            team
            for team in self._state.teams.values()
            if team.lanes and team.level <= team.entitled / team.weight
        ]
        teams.sort(key=lambda team: (team.level, team.team))
        found = [
            (team.level, key, team, lane)
            for team in teams[:TEAMS_SEARCHED]
            for lane in team.lanes.values()
            if (key := lane.get_first()) and self._may_claim(lane, key)
        ]
        found.sort(key=lambda item: item[:2])
        for _, key, team, lane in found[:CLAIMS_SEARCHED]:
            job = self._state.jobs[key.job]
            if not self._find_limit(team, lane, job):
                lane.reason = self._claim(team, lane, key) or lane.reason

    def _may_claim(self, lane, key):
        shape = lane.shape
        if not shape.key.whole_count and key.latest_start > self._now:
            return False
        if shape.urgency is Urgency.URGENT or shape.obstacle:
            return False
        return self._claims.can_request(shape)

    def _find_limit(self, team, lane, job):
        """Return why the team's limit allows no more, or an empty string."""
        allowed = team.count_allowed(lane.shape.amounts)
        count = lane.shape.key.whole_count or 1
        if allowed is None or allowed >= count:
            return ""
        return team.describe_limit()

    def _claim(self, team, lane, key):
        """Claim capacity where it is the team's turn; return the reason to wait."""
        if team.level > team.entitled / team.weight:
            return ""
        claim = self._claims.request(self._state, lane, key, self._now)
        if claim is None:
            return ""
        self._keep()
        seconds = max(0.0, claim.start_at - self._now)
        return f"capacity is kept on {len(claim.tasks)} workers, in {seconds:.0f} s"
