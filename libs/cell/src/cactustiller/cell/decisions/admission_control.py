"""Whether a job certainly cannot start while it still has value; no I/O.

Load: 30 to 60 jobs per second on a cell whose workers are full, for tens of seconds.
Jobs that are scheduled after all others would use store calls and memory, and
their callers would learn only by a timeout that nothing will come.

The start of a job is underestimated. Counted is only waiting work that is placed first
wherever the job would fit, for as long as the job has value; by the time of the job's
start all of it has started. Estimated durations are up to ten times too long.
"""

from typing import NamedTuple

from ..records.desired import Team
from ..records.runs import JobRun
from .ordering import find_start_limits, make_order_key

# Estimates are off by up to 90 %.
MIN_SHARE_OF_ESTIMATE = 0.1
# Fewer waiting steps are not examined.
MIN_WAITING_STEPS = 50
# A job with more steps that may start at once is not examined: each is compared with
# all waiting steps.
MAX_EXAMINED_STEPS = 10
# The total of the waiting work is computed at most this often. It only decides whether
# jobs are examined at all, since an examination takes time for each waiting step.
TOTAL_VALID_SECONDS = 0.5


class Backlog(NamedTuple):
    """Work that certainly starts before a job.

    Attributes
    ----------
    cpu_ms : float
        Sum of estimated durations times CPU millis.
    longest_ms : float
        Longest of the estimated durations.
    """

    cpu_ms: float = 0.0
    longest_ms: float = 0.0

    def add(self, cpu, count, estimate_ms):
        """Return the backlog with the tasks of one more step."""
        return Backlog(
            self.cpu_ms + cpu * count * estimate_ms, max(self.longest_ms, estimate_ms)
        )


class Rejection(NamedTuple):
    """Reason to reject a job: it starts after `wait_ms`, but has value for less."""

    wait_ms: float
    useful_ms: float


def find_min_wait_ms(backlog, capacity):
    """Return the time before which a backlog has certainly not started completely.

    Parameters
    ----------
    backlog : Backlog
    capacity : float
        CPU millis that run the backlog.
    """
    if capacity <= 0:
        return 0.0
    # Tasks that still run when the last one starts take at most the whole capacity.
    estimate = backlog.cpu_ms / capacity - backlog.longest_ms
    return max(0.0, MIN_SHARE_OF_ESTIMATE * estimate)


def is_certainly_first(other, job, now_ms):
    """Return whether a step is placed before another as long as that has value.

    Parameters
    ----------
    other, job : tuple of (StepRun, QueueRules, StartLimits)
        Step that waits, and step of the job in question.
    now_ms : float
        Unix milliseconds.
    """
    end_ms = job[2].latest_useful
    limits = other[2]
    # A step without value is placed last, so it may never start.
    if limits.latest_useful < end_ms:
        return False
    # The order changes only when one of the steps becomes late.
    times = [now_ms, end_ms]
    for late_ms in (limits.latest_safe, job[2].latest_safe):
        if now_ms < late_ms < end_ms:
            times += [late_ms, late_ms + 1.0]
    return all(
        make_order_key(*other, at_ms) <= make_order_key(*job, at_ms) for at_ms in times
    )


def is_placed_wherever(other, step, rules, other_rules):
    """Return whether a waiting step fits wherever a task of another step fits.

    Parameters
    ----------
    other, step : StepRun
    rules, other_rules : QueueRules
        Rules of `step` and of `other`.
    """
    spec, other_spec = step.spec, other.spec
    is_restricted = (
        other_rules.needs_approval
        or other_rules.service != rules.service
        or other_spec.is_gang
        or other_spec.is_service
        or other_spec.fills
        or other_spec.max_per_worker
        or (
            other_spec.required_label
            and other_spec.required_label != spec.required_label
        )
        or other.retry_at
        or other.failed_on
        or other.suspects
    )
    if is_restricted:
        return False
    return all(a <= b for a, b in zip(other_spec.amounts, spec.amounts, strict=True))


def find_rejection(step, rules, waiting, capacity, team_limits, now_ms):
    """Return a `Rejection` if a job's step certainly starts too late, else None.

    Parameters
    ----------
    step : StepRun
        First step of a job that is not added yet.
    rules : QueueRules
    waiting : iterable of (StepRun, QueueRules, StartLimits)
        Steps with pending tasks. Those after enough work to reject the job are not
        examined, since any part of the work that is placed first is a lower bound.
    capacity : float
        CPU millis of all listed workers of the service, usable or not.
    team_limits : callable
        Returns the limit of a team's CPU millis, 0 for none, and whether any amount of
        the team is limited.
    now_ms : float
        Unix milliseconds.
    """
    if step.spec.is_service or step.spec.fills or step.spec.amounts[0] <= 0:
        return None
    limits = find_start_limits(step, rules)
    useful_ms = limits.latest_useful - now_ms
    team = step.job.spec.team
    team_cpu, _ = team_limits(team)
    allowed_ms = max(0.0, useful_ms)
    total, of_team = Backlog(), Backlog()
    for other, other_rules, other_limits in waiting:
        if other_limits.latest_useful < limits.latest_useful:
            continue
        other_team = other.job.spec.team
        # A team's limit may hold its work up while others pass.
        if other_team != team and team_limits(other_team)[1]:
            continue
        if not is_placed_wherever(other, step, rules, other_rules):
            continue
        if not is_certainly_first(
            (other, other_rules, other_limits), (step, rules, limits), now_ms
        ):
            continue
        work = other.spec.amounts[0], other.pending_count, other.spec.estimate_ms
        total = total.add(*work)
        wait_ms = find_min_wait_ms(total, capacity)
        if other_team == team:
            of_team = of_team.add(*work)
            wait_ms = max(wait_ms, find_min_wait_ms(of_team, team_cpu))
        if wait_ms > allowed_ms:
            return Rejection(wait_ms, useful_ms)
    return None


class AdmissionControl:
    """Examines new jobs of one owner while far more work waits than its cell can run.

    Parameters
    ----------
    engine : Engine
    clock, wall_clock_ms : callable
        Return the monotonic time in seconds and Unix milliseconds.
    """

    def __init__(self, engine, clock, wall_clock_ms):
        self._engine = engine
        self._clock = clock
        self._wall_clock_ms = wall_clock_ms
        self._totals_at = float("-inf")
        self._total = Backlog()
        self._team_totals = {}
        # Rules and limits of the steps that waited when the totals were computed. Steps
        # that began to wait since are not counted.
        self._known = {}
        self._version = 0

    def is_needed(self):
        """Return whether so much work waits that new jobs are examined."""
        now = self._clock()
        if now >= self._totals_at + TOTAL_VALID_SECONDS:
            self._totals_at = now
            self._sum_up()
        return self._total.cpu_ms > 0

    def find_rejection(self, spec):
        """Return a `Rejection` of a job that is not added yet, or None."""
        if spec.repeat_count or spec.job in self._engine.jobs:
            return None
        # The job counts as within its team's share; work that is placed before it then
        # is placed before it in any case.
        job = JobRun(spec)
        rules = self._engine.find_rules(job)
        steps = [step for step in job.open_occurrence(0) if step.is_eligible]
        if len(steps) > MAX_EXAMINED_STEPS:
            return None
        capacity = self._find_capacity(rules.service)
        now_ms = self._wall_clock_ms()
        useful_ms = min(
            find_start_limits(step, rules).latest_useful - now_ms for step in steps
        )
        if self._find_max_wait_ms(spec.team, capacity) <= useful_ms:
            return None
        waiting = [
            (step, *self._known[step])
            for step in self._engine.find_eligible_steps()
            if step in self._known
        ]
        rejections = []
        for step in steps:
            rejection = find_rejection(
                step, rules, waiting, capacity, self._find_limits, now_ms
            )
            if rejection is None:
                return None
            rejections.append(rejection)
        return min(rejections, key=lambda rejection: rejection.wait_ms)

    def _sum_up(self):
        """Add up all waiting work, unless only few steps wait."""
        self._total, self._team_totals = Backlog(), {}
        # A newer desired state may change the rules.
        is_stale = self._version != self._engine.desired.version
        self._version = self._engine.desired.version
        previous, self._known = {} if is_stale else self._known, {}
        steps = self._engine.find_eligible_steps()
        if len(steps) < MIN_WAITING_STEPS:
            return
        for step in steps:
            self._known[step] = previous.get(step) or self._examine(step)
            spec, team = step.spec, step.job.spec.team
            work = spec.amounts[0], step.pending_count, spec.estimate_ms
            self._total = self._total.add(*work)
            of_team = self._team_totals.get(team, Backlog())
            self._team_totals[team] = of_team.add(*work)

    def _examine(self, step):
        rules = self._engine.find_rules(step.job)
        return rules, find_start_limits(step, rules)

    def _find_max_wait_ms(self, team, capacity):
        """Return what `find_rejection` finds if all waiting work is placed first.

        The lengths of single tasks are left out, since subtracting them could only
        make the result smaller.
        """
        of_team = self._team_totals.get(team, Backlog())
        return max(
            find_min_wait_ms(self._total._replace(longest_ms=0.0), capacity),
            find_min_wait_ms(
                of_team._replace(longest_ms=0.0), self._find_limits(team)[0]
            ),
        )

    def _find_capacity(self, service):
        """Return the CPU millis of a service's workers, usable or not."""
        return sum(
            worker.info.capacity[0]
            for worker in self._engine.workers.values()
            if worker.info.service == service
        )

    def _find_limits(self, team):
        limit = self._engine.desired.teams.get(team, Team(team)).limit
        return limit[0], any(limit)
