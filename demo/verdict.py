"""Judges a chaos run: what callers were told against what histories show."""

from collections import Counter

from cactustiller.model import JobState, Outcome, Record, WorkloadKind

from .histories import (
    TeamLimit,
    check_requests,
    check_runs,
    count_request_runs,
    list_succeeded,
)
from .load import TEAMS

SLOTS = 8
CONNECTIONS = 64
MAX_EXAMPLES = 5


class Evidence(Record):
    """What is known at the end of a run.

    Parameters
    ----------
    statuses : dict of JobId to JobStatus or None
        Last status of every submitted job; None where no such job exists.
    """

    statuses: dict
    worker_events: list
    backend_events: list


class Verdict(Record):
    """Counts of a run; `violations` holds those that must be 0.

    Parameters
    ----------
    examples : dict of str to list of str
        Some job or request ids of each violated count.
    """

    seed: int
    seconds: float
    faults: dict[str, int]
    jobs: dict[str, int]
    requests: dict[str, int]
    counts: dict[str, int]
    violations: dict[str, int]
    examples: dict[str, list[str]]

    @property
    def is_clean(self):
        """Whether no violation was found."""
        return not any(self.violations.values())


def judge_jobs(ledger, evidence):
    """Return the ids of the jobs that break each rule."""
    started = {event.job for event in evidence.worker_events}
    succeeded = Counter(job for job, _ in list_succeeded(evidence.worker_events))
    broken = {
        "accepted_lost": [],
        "accepted_unfinished": [],
        "refused_not_run_but_ran": [],
        "success_without_run": [],
    }
    for ticket in ledger.jobs:
        status = evidence.statuses.get(ticket.job)
        if ticket.outcome is Outcome.NOT_RUN:
            if status is not None or ticket.job in started:
                broken["refused_not_run_but_ran"].append(ticket.job)
            continue
        if status is None:
            if ticket.outcome is None or ticket.job in started:
                broken["accepted_lost"].append(ticket.job)
            continue
        if not _is_accounted_for(ticket, status):
            broken["accepted_unfinished"].append(ticket.job)
        if status.tasks["succeeded"] > succeeded[ticket.job]:
            broken["success_without_run"].append(ticket.job)
    return broken


def _is_accounted_for(ticket, status):
    """Return whether a job ended in a state that its submitter can expect."""
    if status.tasks["running"] or status.tasks["assigned"]:
        return False
    if status.state is JobState.CANCELLED:
        return ticket.cancel_asked
    if ticket.submission.kind is WorkloadKind.SERVICE:
        return False
    count = status.tasks["succeeded"] + status.tasks["failed"]
    return status.state.is_final and count == ticket.submission.task_count


def judge_requests(ledger, evidence):
    """Return the ids of the requests that break each rule."""
    runs = count_request_runs(evidence.backend_events)
    broken = {
        "non_idempotent_run_twice": [],
        "request_not_run_but_ran": [],
        "answered_without_run": [],
        "wrong_answer": [],
    }
    for ticket in ledger.requests:
        count = runs[ticket.request]
        if not ticket.idempotent and count > 1:
            broken["non_idempotent_run_twice"].append(ticket.request)
        if ticket.outcome is Outcome.NOT_RUN and count:
            broken["request_not_run_but_ran"].append(ticket.request)
        if ticket.outcome is None and not count:
            broken["answered_without_run"].append(ticket.request)
        if not ticket.is_whole:
            broken["wrong_answer"].append(ticket.request)
    return broken


def judge(seed, seconds, faults, ledger, evidence, crashes):
    """Return the `Verdict` of a run.

    Parameters
    ----------
    faults : list of FaultEvent
    crashes : list of str
        Daemons that ended though nobody ended them.
    """
    teams = {ticket.job: ticket.submission.team for ticket in ledger.jobs}
    limits = {
        team.team: TeamLimit(tasks=team.limit_tasks, cpu_millis=team.limit_cpu_millis)
        for team in TEAMS
    }
    runs = check_runs(evidence.worker_events, teams, limits)
    backends = check_requests(evidence.backend_events, SLOTS, CONNECTIONS)
    broken = judge_jobs(ledger, evidence) | judge_requests(ledger, evidence)
    broken["crashed_daemons"] = crashes
    violations = {name: len(names) for name, names in broken.items()}
    violations |= runs.model_dump(exclude={"starts", "ends"})
    violations |= backends.model_dump(exclude={"runs"})
    violations["no_job_accepted"] = int(not evidence.worker_events)
    violations["still_running"] = runs.starts - runs.ends
    counts = {"starts": runs.starts, "ends": runs.ends, "request_runs": backends.runs}
    states = Counter(
        f"jobs_{status.state}" for status in evidence.statuses.values() if status
    )
    return Verdict(
        seed=seed,
        seconds=seconds,
        faults=dict(sorted(Counter(event.name for event in faults).items())),
        jobs=ledger.count_outcomes(ledger.jobs),
        requests=ledger.count_outcomes(ledger.requests),
        counts=counts | dict(sorted(states.items())),
        violations=violations,
        examples={
            name: names[:MAX_EXAMPLES] for name, names in broken.items() if names
        },
    )
