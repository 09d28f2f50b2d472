"""Which waiting work a decision looks at, and in which order."""

from collections import Counter
from heapq import heapify, heappop, heappush, heapreplace

from cactustiller.model import Urgency

from .fleet import Use
from .ordering import (
    AT_RISK_RANK,
    IDLE_RANK,
    NORMAL_RANK,
    URGENCY_RANKS,
    URGENT_RANK,
    rank_job,
)

MOST_BORROWED_SHARE = 0.1
NO_ROOM = "no worker has room for a task now"
UNOPENED = object()


class Agenda:
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

    def __init__(self, state, claims, now, make_room):
        self._state = state
        self._now = now
        self._make_room = make_room
        self._heap = []
        self._open = {}
        self._open_shapes = Counter()
        self.searches = claims.begin_search(now)

    @property
    def has_more(self):
        """Whether work is left that may find room."""
        return bool(self._heap and any(self._open_shapes.values()))

    def pop(self):
        """Return rank, team and lane of the next work, None at the end.

        The lane is None for a team of another member that has its turn.
        """
        while self._heap:
            rank, _, _, name, lane = heappop(self._heap)
            team = self._state.teams[name]
            if lane is None:
                return rank, team, None
            if lane is UNOPENED:
                if self._open_shapes[rank] or self.searches:
                    self._open_team(team, rank)
                continue
            lanes = self._open[name]
            if not lanes or lanes[0][2] is not lane:
                continue
            if self._is_closed(rank, lane):
                self.push_team(team)
                continue
            heappop(lanes)
            return rank, team, lane
        return None

    def open_lanes(self):
        """Queue the teams that have work which may find room.

        Teams without deadlines and urgent work are looked at in the order of their
        levels, and only as long as there is room.
        """
        urgent = []
        for shape in self._state.shapes.values():
            is_urgent = self._open_shape(shape)
            if is_urgent and shape.is_open:
                urgent.append(shape)
        self._open_shapes.update(
            URGENCY_RANKS[shape.urgency]
            for shape in self._state.shapes.values()
            if shape.is_open
        )
        for shape in urgent:
            for name in shape.teams:
                team = self._state.teams[name]
                self.open_lane(name, team.lanes[shape.key])
        for name in self._open:
            self.push_team(self._state.teams[name])
        normal, idle = self._list_teams(NORMAL_RANK), self._list_teams(IDLE_RANK)
        for team in self._state.teams.values():
            name = team.team
            if team.is_remote:
                if any(team.remote_waiting):
                    self._heap.append((NORMAL_RANK, team.level, (), name, None))
                continue
            if team.deadline_jobs and name in normal:
                self._open_team(team, NORMAL_RANK)
            elif name in normal or (self.searches and name in idle):
                self._heap.append((NORMAL_RANK, team.level, (), name, UNOPENED))
            if name in idle:
                self._heap.append((IDLE_RANK, team.level, (), name, UNOPENED))
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

    def _open_shape(self, shape):
        """Find out whether work of a shape may be placed; return if it is urgent."""
        shape.full.clear()
        shape.is_open = False
        is_urgent = shape.urgency is Urgency.URGENT
        if shape.find_obstacle(self._state.fleet):
            return is_urgent
        use = Use.URGENT if is_urgent else Use.SHORT
        room = self._state.fleet.find_room(shape.amounts, use)
        has_room = bool((room & shape.get_mask(self._state.fleet)).any())
        shape.reason = "" if has_room else NO_ROOM
        shape.is_open = has_room
        if has_room:
            return is_urgent
        shape.full.add(use)
        if is_urgent:
            self._make_room(shape)
        return is_urgent

    def _open_team(self, team, rank):
        """Queue the lanes of a team that may find room, of one urgency.

        Idle work that has aged is found where claims are searched for.
        """
        for lane in team.lanes.values():
            shape = lane.shape
            if not shape.is_open:
                continue
            is_meant = URGENCY_RANKS[shape.urgency] == rank
            if not is_meant and not (self.searches and self._has_aged(lane)):
                continue
            lane.reason = ""
            self.open_lane(team.team, lane)
        if team.team in self._open:
            self.push_team(team)

    def open_lane(self, team, lane):
        """Queue a lane of a team by its first job."""
        key = lane.get_first()
        if key is not None:
            rank = rank_job(self._state.jobs[key.job], key, self._now)
            heappush(self._open.setdefault(team, []), (rank, key, lane))

    def _has_aged(self, lane):
        """Return whether the first job of an idle lane competes with normal work."""
        key = lane.get_first()
        is_idle = lane.shape.urgency is Urgency.IDLE
        return is_idle and key.latest_start <= self._now

    def push_team(self, team):
        """Queue a team by its first open job that is worth a look."""
        lanes = self._open[team.team]
        while lanes:
            rank, key, lane = lanes[0]
            if self._is_closed(rank, lane):
                heappop(lanes)
                continue
            if rank == AT_RISK_RANK and self._has_borrowed(team):
                heapreplace(lanes, (NORMAL_RANK, key, lane))
                continue
            heappush(self._heap, (rank, team.level, key, team.team, lane))
            return

    def _is_closed(self, rank, lane):
        """Return whether nothing of a lane's shape finds room in this round."""
        full = lane.shape.full
        if rank == URGENT_RANK:
            return Use.URGENT in full
        return Use.SHORT in full

    def _has_borrowed(self, team):
        """Return whether a team went too far beyond its share for its deadlines."""
        return max(-team.owed, team.share - team.entitled) > MOST_BORROWED_SHARE

    def close(self, shape, use):
        """Note that a shape finds no more room in this round."""
        shape.full.add(use)
        is_urgent = shape.urgency is Urgency.URGENT
        last = Use.URGENT if is_urgent else Use.SHORT
        if use is not last:
            return
        for other in self._state.shapes.values():
            if other.is_open and other.needs_no_less(shape):
                other.full.add(use)
                other.is_open = False
                self._open_shapes[URGENCY_RANKS[other.urgency]] -= 1
