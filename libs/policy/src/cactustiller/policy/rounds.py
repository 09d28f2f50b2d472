"""One decision over the present state."""

from math import inf

import numpy as np

from cactustiller.model import Urgency

from .fleet import CapacityClass
from .gangs import choose_rows
from .ordering import URGENT_RANK
from .policies import get_policy
from .roundqueue import NO_CAPACITY, RoundQueue
from .snapshots import LateJob, Placement, Plan, RunningTask, WaitReason

MAX_BACKFILL_CANDIDATES = 32
MAX_CLAIM_CANDIDATES = 8
DEFER_SECONDS = 2.5
SHARE_TOLERANCE = 0.001
MAX_CLAIM_TEAMS = 64
GANG_DOES_NOT_FIT = "not all tasks fit at once now"


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

    def __init__(self, state, claims, preemptor, now, max_placements):
        self._state = state
        self._fleet = state.fleet
        self._claims = claims
        self._preemptor = preemptor
        self._now = now
        self._max_placements = max_placements
        self._plan = Plan()
        self._queue = RoundQueue(state, claims, now, self._preempt_for)
        self._peers_have_pending = any(
            team.is_remote and any(team.remote_waiting) for team in state.teams.values()
        )
        self._remaining = np.zeros(3, dtype=np.int64)
        self._reserved_for_peers = np.zeros(3, dtype=np.int64)

    def run(self):
        """Return the `Plan`."""
        self._preemptor.refresh(self._state, self._now)
        overruns = self._claims.refresh(self._state, self._now)
        self._plan.preemptions.extend(overruns)
        for claim in self._claims.list_overdue(self._now):
            self._plan.preemptions += self._preemptor.preempt_for_claim(
                self._state, self._claims, claim, self._now
            )
        self._update_reserved()
        self._start_claimed()
        self._queue.fill()
        self._remaining = np.maximum(
            self._fleet.get_available(CapacityClass.SHORT), 0
        ).sum(axis=1)
        while len(self._plan.placements) < self._max_placements:
            found = self._queue.pop()
            if found is None:
                self._request_claims()
                return self._plan
            rank, team, shape_queue = found
            if shape_queue is None:
                self._reserved_for_peers += np.array(self._estimate_peer_demand(team))
                continue
            self._consider(rank, team, shape_queue)
            self._queue.push_team(team)
        self._plan.is_truncated = self._queue.has_more
        return self._plan

    def _update_reserved(self):
        self._fleet.set_reserved(
            self._preemptor.list_reserved(), self._claims.list_reserved()
        )

    def _start_claimed(self):
        """Start claimed work whose capacity has come together."""
        for claim in self._claims.list_all():
            if claim.job not in self._claims.own:
                continue
            shape_queue = self._state.get_shape_queue(claim.job)
            job = self._state.jobs[claim.job]
            team = self._state.teams[job.spec.team]
            if self._find_limit_reason(team, shape_queue, job):
                continue
            count = shape_queue.shape.key.gang_size or 1
            capacity = self._claims.find_capacity(self._fleet, claim)
            rows = choose_rows(self._fleet, shape_queue.shape, count, capacity)
            if rows is not None:
                self._claims.drop(claim.job)
                self._place(
                    team, shape_queue, job, rows, "its claimed capacity is free"
                )
                self._update_reserved()

    def _preempt_for(self, shape):
        """Stop tasks for the urgent work of a shape."""
        teams = self._state.teams
        shape_queue = teams[min(shape.teams)].shape_queues[shape.key]
        key = shape_queue.get_first()
        found = self._preemptor.preempt_for_urgent(
            self._state, shape_queue, key.job, self._now
        )
        self._plan.preemptions.extend(found)
        if found:
            self._update_reserved()
        if self._preemptor.has_reservation(shape.key):
            shape.reason = f"{NO_CAPACITY}; tasks are stopped to make some"

    def _estimate_peer_demand(self, team):
        """Return what a remote team may yet take of its share."""
        missing = team.fair_share + team.deficit - team.dominant_share
        cell_capacity_list = self._fleet.cell_capacity_list
        wanted = max(
            w / t for w, t in zip(team.remote_waiting, cell_capacity_list, strict=True)
        )
        part = min(1.0, max(0.0, missing) / wanted)
        return [int(part * amount) for amount in team.remote_waiting]

    def _consider(self, rank, team, shape_queue):
        """Place the first task of a lane, or all tasks that start together."""
        key = shape_queue.get_first()
        job = self._state.jobs[key.job]
        if not self._mark_late(job):
            reason = self._try_place(rank, team, shape_queue, key, job)
            if reason:
                shape_queue.reason = reason
                self._plan.waits.append(WaitReason(job.job, reason))
                return
        self._queue.push_shape_queue(team.team, shape_queue)

    def _mark_late(self, job):
        """Mark a job that cannot finish in time; return whether it was new."""
        if not job.deadline_at or job.job in self._state.late:
            return False
        waves = self._state.count_waves(job)
        finish = self._now + waves * job.median_seconds
        if finish <= job.deadline_at:
            return False
        self._state.mark_late(job.job)
        if job.job not in self._state.predicted_late:
            self._state.predicted_late.add(job.job)
            self._plan.late.append(LateJob(job.job, job.deadline_at, finish))
        return True

    def _try_place(self, rank, team, shape_queue, key, job):
        """Place work; return why it waits, or an empty string."""
        shape = shape_queue.shape
        reason = self._find_limit_reason(team, shape_queue, job)
        if reason:
            return reason
        count = shape.key.gang_size or 1
        if rank != URGENT_RANK:
            need = np.multiply(shape.amounts, count)
            if self._is_reserved_for_peers(need) or self._must_defer_to_peers(
                team, need
            ):
                return "the free capacity is left for teams that are owed more"
        if shape.key.gang_size:
            capacity = self._fleet.get_available(CapacityClass.LONG)
            rows = choose_rows(self._fleet, shape, count, capacity)
            if rows is None:
                return self._claim(team, shape_queue, key) or GANG_DOES_NOT_FIT
            self._place(team, shape_queue, job, rows, get_policy(shape.kind).reason)
            return ""
        return self._try_task(rank, team, shape_queue, key, job)

    def _is_reserved_for_peers(self, need):
        """Return whether only peers' teams that are owed more leave too little."""
        is_short = (need > self._remaining - self._reserved_for_peers) & (
            self._reserved_for_peers > 0
        )
        return bool(is_short.any() and (need <= self._remaining).all())

    def _must_defer_to_peers(self, team, need):
        """Return whether a team has to let peers' teams go first for a while.

        Digests lag, so what peers' teams use may be out of date when much capacity
        comes free at once.
        """
        if not self._peers_have_pending:
            return False
        share = team.dominant_share + float((need / self._fleet.cell_capacity).max())
        if team.dominant_share <= 0.0 or share <= team.fair_share + max(
            SHARE_TOLERANCE, team.deficit
        ):
            team.deferred_since = None
            return False
        if team.deferred_since is None:
            team.deferred_since = self._now
        return self._now - team.deferred_since < DEFER_SECONDS

    def _try_task(self, rank, team, shape_queue, key, job):
        shape = shape_queue.shape
        if rank == URGENT_RANK:
            return self._try_urgent(team, shape_queue, job)
        capacity_class = self._find_capacity_class(job)
        if self._place_task(team, shape_queue, job, capacity_class):
            return ""
        backfill_job = (
            self._find_backfill_job(shape_queue)
            if capacity_class is CapacityClass.LONG
            else None
        )
        if backfill_job is not None and self._place_task(
            team, shape_queue, backfill_job, CapacityClass.SHORT
        ):
            return ""
        if key.latest_start <= self._now:
            return self._claim(team, shape_queue, key) or NO_CAPACITY
        if (
            capacity_class is CapacityClass.LONG
            and CapacityClass.SHORT not in shape.exhausted
        ):
            return "the free capacity is kept for large work"
        return NO_CAPACITY

    def _try_urgent(self, team, shape_queue, job):
        """Place an urgent task, or make room for it.

        It takes capacity that is kept for claims only where nothing can be stopped,
        since the claims would never come together under steady urgent work.
        """
        has_reservation = self._preemptor.has_reservation(shape_queue.shape.key)
        capacity_class = CapacityClass.URGENT if has_reservation else CapacityClass.LONG
        if self._place_task(team, shape_queue, job, capacity_class):
            return ""
        found = self._preemptor.preempt_for_urgent(
            self._state, shape_queue, job.job, self._now
        )
        self._plan.preemptions.extend(found)
        if found:
            self._update_reserved()
        elif not has_reservation and self._place_task(
            team, shape_queue, job, CapacityClass.URGENT
        ):
            return ""
        self._queue.mark_exhausted(shape_queue.shape, CapacityClass.URGENT)
        return f"{NO_CAPACITY}; {len(found)} tasks are stopped to make some"

    def _find_capacity_class(self, job):
        start = self._claims.earliest_start
        if start is None or self._now + (job.p90_seconds or inf) <= start:
            return CapacityClass.SHORT
        return CapacityClass.LONG

    def _find_backfill_job(self, shape_queue):
        """Return a job of the lane that ends before the claims start."""
        start = self._claims.earliest_start
        if start is None:
            return None
        for key in list(shape_queue)[:MAX_BACKFILL_CANDIDATES]:
            job = self._state.jobs[key.job]
            if self._now + (job.p90_seconds or inf) <= start:
                return job
        return None

    def _place_task(self, team, shape_queue, job, capacity_class):
        """Place one task on the best worker; return whether there was room."""
        shape, fleet = shape_queue.shape, self._fleet
        if capacity_class in shape.exhausted:
            return False
        fitting = fleet.find_fitting(
            shape.amounts, capacity_class
        ) & shape.get_eligible(fleet)
        candidates = int(np.count_nonzero(fitting))
        if not candidates:
            self._queue.mark_exhausted(shape, capacity_class)
            return False
        policy = get_policy(shape.kind)
        job_rows = (
            self._state.list_rows(job.job) if policy.needs_job_rows(shape) else []
        )
        scores = policy.score(fleet, shape, job_rows)
        scores[~fitting] = -np.inf
        row = int(np.argmax(scores))
        self._place(
            team, shape_queue, job, [row], policy.reason, candidates, float(scores[row])
        )
        if shape.urgency is Urgency.URGENT:
            self._preemptor.on_placed(shape.key, fleet.names[row])
            self._update_reserved()
        return True

    def _place(self, team, shape_queue, job, rows, reason, candidates=0, score=0.0):
        """Record placements of a job's first tasks on rows."""
        shape, fleet = shape_queue.shape, self._fleet
        expected_seconds = job.p90_seconds or inf
        for row, index in zip(
            rows, self._state.take_tasks(job.job, len(rows)), strict=True
        ):
            snapshot = fleet.get_snapshot(row)
            fleet.allocate(row, shape.amounts)
            self._remaining -= np.array(shape.amounts)
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
                expected_end=self._now + expected_seconds,
            )
            self._state.add_running(task)
            self._claims.record_backfilled(task, self._now)
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

    def _request_claims(self):
        """Claim capacity for what found no room and has waited too long."""
        if not self._queue.searches_claims:
            return
        teams = [
            team
            for team in self._state.teams.values()
            if team.shape_queues
            and team.adjusted_share <= team.fair_share / team.weight
        ]
        teams.sort(key=lambda team: (team.adjusted_share, team.team))
        found = [
            (team.adjusted_share, key, team, shape_queue)
            for team in teams[:MAX_CLAIM_TEAMS]
            for shape_queue in team.shape_queues.values()
            if (key := shape_queue.get_first()) and self._can_claim(shape_queue, key)
        ]
        found.sort(key=lambda item: item[:2])
        for _, key, team, shape_queue in found[:MAX_CLAIM_CANDIDATES]:
            job = self._state.jobs[key.job]
            if not self._find_limit_reason(team, shape_queue, job):
                shape_queue.reason = (
                    self._claim(team, shape_queue, key) or shape_queue.reason
                )

    def _can_claim(self, shape_queue, key):
        shape = shape_queue.shape
        if not shape.key.gang_size and key.latest_start > self._now:
            return False
        if shape.urgency is Urgency.URGENT or shape.infeasible_reason:
            return False
        return self._claims.can_request(shape)

    def _find_limit_reason(self, team, shape_queue, job):
        """Return why the team's limit allows no more, or an empty string."""
        allowed = team.count_allowed(shape_queue.shape.amounts)
        count = shape_queue.shape.key.gang_size or 1
        if allowed is None or allowed >= count:
            return ""
        return team.describe_limit()

    def _claim(self, team, shape_queue, key):
        """Claim capacity where it is the team's turn; return the reason to wait."""
        if team.adjusted_share > team.fair_share / team.weight:
            return ""
        claim = self._claims.request(self._state, shape_queue, key, self._now)
        if claim is None:
            return ""
        self._update_reserved()
        seconds = max(0.0, claim.start_at - self._now)
        return f"capacity is kept on {len(claim.tasks)} workers, in {seconds:.0f} s"
