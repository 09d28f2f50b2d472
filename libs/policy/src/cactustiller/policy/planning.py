"""The decision: which waiting tasks go to which workers now."""

from .claims import ClaimRegistry
from .forecasts import Forecaster
from .preemption import Preemptor
from .rounds import Round
from .snapshots import WaitReason
from .state import CellState

MAX_PLACEMENTS = 256


class Planner:
    """Decides again and again about a state that changes little in between.

    The same state, changes and times give the same plans; nothing else is used.

    Attributes
    ----------
    state : CellState
        Changed by the caller as jobs, workers and teams change.
    claims : ClaimBook
    preemptor : Preemptor
    parked : dict of JobId to str
        Jobs that no listed worker could ever take, with the reason.
    """

    def __init__(self, share_window_seconds=600.0):
        self.state = CellState(share_window_seconds)
        self.claims = ClaimRegistry()
        self.preemptor = Preemptor()
        self.parked = {}
        self.forecaster = Forecaster()

    def plan(self, now, max_placements=MAX_PLACEMENTS):
        """Return the `Plan` at wall-clock time `now` and take it as carried out.

        What could not be carried out is put back by the caller.

        Parameters
        ----------
        now : float
        most : int
            Placements after which the decision is cut short.
        """
        state = self.state
        state.fleet.refresh()
        state.update_shares(now)
        plan = Round(state, self.claims, self.preemptor, now, max_placements).run()
        self._park(plan)
        plan.late += self.forecaster.review(state, now)
        return plan

    def _park(self, plan):
        """Report jobs that have become, or no longer are, impossible to run."""
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
    """Return a `Planner` with the state of a snapshot."""
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
        state.teams[team.team].count_unlisted(team)
    state.fleet.refresh()
    for job in snapshot.jobs:
        state.put_job(job)
    planner.claims.peers = list(snapshot.peer_claims)
    return planner


def plan_placements(snapshot):
    """Return the `Plan` for a snapshot; a pure function."""
    return make_planner(snapshot).plan(snapshot.now)
