"""Which waiting work a decision looks at, and in which order."""

from collections import Counter
from heapq import heapify, heappop, heappush, heapreplace

from cactustiller.model import Urgency

from .fleet import CapacityClass
from .ordering import (
    AT_RISK_RANK,
    IDLE_RANK,
    NORMAL_RANK,
    URGENCY_RANKS,
    URGENT_RANK,
    rank_job,
)

MAX_BORROWED_SHARE = 0.1
NO_CAPACITY = "no worker has room for a task now"
UNEXPANDED = object()


class RoundQueue:
    """Teams by rank and level, each with its lanes that may find room.

    Parameters
    ----------
    state : CellState
    claims : ClaimBook
    now : float
        Wall-clock seconds.
    make_room : callable
        Called with each urgent shape that finds no room.

    Attributes
    ----------
    searches : bool
        Whether this decision also looks for work that needs a claim or has aged.
    """

    def __init__(self, state, claims, now, preempt_for):
        self._state = state
        self._now = now
        self._preempt_for = preempt_for
        self._heap = []
        self._queues_by_team = {}
        self._open_shape_counts = Counter()
        self.searches_claims = claims.begin_search(now)

    @property
    def has_more(self):
        """Whether work is left that may find room."""
        return bool(self._heap and any(self._open_shape_counts.values()))

    def pop(self):
        """Return rank, team and lane of the next work, None at the end.

        The lane is None for a team of another member that has its turn.
        """
        while self._heap:
            rank, _, _, name, shape_queue = heappop(self._heap)
            team = self._state.teams[name]
            if shape_queue is None:
                return rank, team, None
            if shape_queue is UNEXPANDED:
                if self._open_shape_counts[rank] or self.searches_claims:
                    self._push_shape_queues(team, rank)
                continue
            shape_queues = self._queues_by_team[name]
            if not shape_queues or shape_queues[0][2] is not shape_queue:
                continue
            if self._is_exhausted(rank, shape_queue):
                self.push_team(team)
                continue
            heappop(shape_queues)
            return rank, team, shape_queue
        return None

    def fill(self):
        """Queue the teams that have work which may find room.

        Teams without deadlines and urgent work are looked at in the order of their
        levels, and only as long as there is room.
        """
        urgent = []
        for shape in self._state.shapes.values():
            is_urgent = self._check_shape(shape)
            if is_urgent and shape.is_open:
                urgent.append(shape)
        self._open_shape_counts.update(
            URGENCY_RANKS[shape.urgency]
            for shape in self._state.shapes.values()
            if shape.is_open
        )
        for shape in urgent:
            for name in shape.teams:
                team = self._state.teams[name]
                self.push_shape_queue(name, team.shape_queues[shape.key])
        for name in self._queues_by_team:
            self.push_team(self._state.teams[name])
        normal, idle = self._list_teams(NORMAL_RANK), self._list_teams(IDLE_RANK)
        for team in self._state.teams.values():
            name = team.team
            if team.is_remote:
                if any(team.remote_waiting):
                    self._heap.append(
                        (NORMAL_RANK, team.adjusted_share, (), name, None)
                    )
                continue
            if team.deadline_jobs and name in normal:
                self._push_shape_queues(team, NORMAL_RANK)
            elif name in normal or (self.searches_claims and name in idle):
                self._heap.append(
                    (NORMAL_RANK, team.adjusted_share, (), name, UNEXPANDED)
                )
            if name in idle:
                self._heap.append(
                    (IDLE_RANK, team.adjusted_share, (), name, UNEXPANDED)
                )
        heapify(self._heap)

    def _list_teams(self, rank):
        """Return the teams with work of an urgency whose shape is open."""
        shapes = self._state.shapes.values()
        return set().union(
            *(
                shape.teams
                for shape in shapes
                if shape.is_open and URGENCY_RANKS[shape.urgency] == rank
            )
        )

    def _check_shape(self, shape):
        """Find out whether work of a shape may be placed; return if it is urgent."""
        shape.exhausted.clear()
        shape.is_open = False
        is_urgent = shape.urgency is Urgency.URGENT
        if shape.find_infeasible_reason(self._state.fleet):
            return is_urgent
        capacity_class = CapacityClass.URGENT if is_urgent else CapacityClass.SHORT
        fitting = self._state.fleet.find_fitting(shape.amounts, capacity_class)
        fits = bool((fitting & shape.get_eligible(self._state.fleet)).any())
        shape.reason = "" if fits else NO_CAPACITY
        shape.is_open = fits
        if fits:
            return is_urgent
        shape.exhausted.add(capacity_class)
        if is_urgent:
            self._preempt_for(shape)
        return is_urgent

    def _push_shape_queues(self, team, rank):
        """Queue the lanes of a team that may find room, of one urgency.

        Idle work that has aged is found where claims are searched for.
        """
        for shape_queue in team.shape_queues.values():
            shape = shape_queue.shape
            if not shape.is_open:
                continue
            is_meant = URGENCY_RANKS[shape.urgency] == rank
            if not is_meant and not (
                self.searches_claims and self._has_aged(shape_queue)
            ):
                continue
            shape_queue.reason = ""
            self.push_shape_queue(team.team, shape_queue)
        if team.team in self._queues_by_team:
            self.push_team(team)

    def push_shape_queue(self, team, shape_queue):
        """Queue a lane of a team by its first job."""
        key = shape_queue.get_first()
        if key is not None:
            rank = rank_job(self._state.jobs[key.job], key, self._now)
            heappush(
                self._queues_by_team.setdefault(team, []), (rank, key, shape_queue)
            )

    def _has_aged(self, shape_queue):
        """Return whether the first job of an idle lane competes with normal work."""
        key = shape_queue.get_first()
        is_idle = shape_queue.shape.urgency is Urgency.IDLE
        return is_idle and key.latest_start <= self._now

    def push_team(self, team):
        """Queue a team by its first open job that is worth a look."""
        shape_queues = self._queues_by_team[team.team]
        while shape_queues:
            rank, key, shape_queue = shape_queues[0]
            if self._is_exhausted(rank, shape_queue):
                heappop(shape_queues)
                continue
            if rank == AT_RISK_RANK and self._has_borrowed(team):
                heapreplace(shape_queues, (NORMAL_RANK, key, shape_queue))
                continue
            heappush(
                self._heap, (rank, team.adjusted_share, key, team.team, shape_queue)
            )
            return

    def _is_exhausted(self, rank, shape_queue):
        """Return whether nothing of a lane's shape finds room in this round."""
        exhausted = shape_queue.shape.exhausted
        if rank == URGENT_RANK:
            return CapacityClass.URGENT in exhausted
        return CapacityClass.SHORT in exhausted

    def _has_borrowed(self, team):
        """Return whether a team went too far beyond its share for its deadlines."""
        return (
            max(-team.deficit, team.dominant_share - team.fair_share)
            > MAX_BORROWED_SHARE
        )

    def mark_exhausted(self, shape, capacity_class):
        """Note that a shape finds no more room in this round."""
        shape.exhausted.add(capacity_class)
        is_urgent = shape.urgency is Urgency.URGENT
        last = CapacityClass.URGENT if is_urgent else CapacityClass.SHORT
        if capacity_class is not last:
            return
        for other in self._state.shapes.values():
            if other.is_open and other.is_no_easier_than(shape):
                other.exhausted.add(capacity_class)
                other.is_open = False
                self._open_shape_counts[URGENCY_RANKS[other.urgency]] -= 1
