"""Planner: decides which pending tasks to place on which workers."""

from .claims import ClaimRegistry
from .forecasts import Forecaster
from .preemption import Preemptor
from .rounds import Round
from .snapshots import WaitReason
from .state import CellState

MAX_PLACEMENTS = 256


class Planner:
    """Makes repeated placement decisions on an incrementally updated state.

    Plans are deterministic: they depend only on the state, its changes and the times.

    Attributes
    ----------
    state : CellState
        Changed by the caller as jobs, workers and teams change.
    claims : ClaimRegistry
    preemptor : Preemptor
    parked : dict of JobId to str
        Jobs that no current worker can ever run, with the reason.
    """

    def __init__(self, share_window_seconds=600.0):
        self.state = CellState(share_window_seconds)
        self.claims = ClaimRegistry()
        self.preemptor = Preemptor()
        self.parked = {}
        self.forecaster = Forecaster()

    def plan(self, now, max_placements=MAX_PLACEMENTS):
        """Return the `Plan` at wall-clock time `now` and apply it to the state.

        The caller restores whatever it fails to carry out.

        Parameters
        ----------
        now : float
        max_placements : int
            Number of placements after which the plan is truncated.
        """
        state = self.state
        state.fleet.refresh()
        state.update_shares(now)
        plan = Round(state, self.claims, self.preemptor, now, max_placements).run()
        self._park(plan)
        plan.late += self.forecaster.review(state, now)
        return plan

    def _park(self, plan):
        """Add jobs that have become infeasible, or feasible again, to the plan."""
        shapes = self.state.shapes.values()
        found = {
            key.job: shape.infeasible_reason
            for shape in shapes
            if shape.infeasible_reason
            for team in shape.teams
            for key in self.state.teams[team].shape_queues[shape.key]
        }
        for job, reason in found.items():
            if job not in self.parked:
                plan.parked.append(WaitReason(job, reason))
        plan.unparked = [
            job for job in self.parked if job not in found and job in self.state.jobs
        ]
        self.parked = found


def make_planner(snapshot):
    """Return a `Planner` initialized from a snapshot."""
    planner = Planner(snapshot.share_window_seconds)
    state = planner.state
    for worker in snapshot.workers:
        state.fleet.put_worker(worker)
    for team in snapshot.teams.values():
        state.put_team(team)
        state.ledger.deficits[team.team] = team.deficit
    by_job = {}
    for task in snapshot.running:
        by_job.setdefault(task.job, []).append(task)
    for job, tasks in by_job.items():
        state.put_running(job, tasks)
    for team in snapshot.teams.values():
        state.teams[team.team].raise_use(team)
    state.fleet.refresh()
    for job in snapshot.jobs:
        state.put_job(job)
    planner.claims.peers = list(snapshot.peer_claims)
    return planner


def plan_placements(snapshot):
    """Return the `Plan` for a snapshot; a pure function."""
    return make_planner(snapshot).plan(snapshot.now)
