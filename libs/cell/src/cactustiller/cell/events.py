"""Log lines of a cell: one list of event names."""

from enum import StrEnum

import structlog

log = structlog.get_logger("cell")


class Event(StrEnum):
    """Name of a log line; `docs/OPERATIONS.md` lists the fields of each."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    RELOADED = "reloaded"
    DEPENDENCY_LOST = "dependency_lost"
    DEPENDENCY_BACK = "dependency_back"
    DESIRED_STATE_APPLIED = "desired_state_applied"
    OWNER_CHANGED = "owner_changed"
    TAKEOVER = "takeover"
    TERM_FAILED = "term_failed"
    TAKEOVER_LOST = "takeover_lost"
    HANDOVER_ASKED = "handover_asked"
    OWNERSHIP_LOST = "ownership_lost"
    OWNERSHIP_RELEASED = "ownership_released"
    FROZEN = "frozen"
    JOB_ACCEPTED = "job_accepted"
    JOB_REFUSED = "job_refused"
    JOBS_STORED_BEFORE = "jobs_stored_before"
    JOB_CANCELLED = "job_cancelled"
    JOB_ENDED = "job_ended"
    APPROVAL = "approval"
    RUN_STARTED = "run_started"
    RUN_REFUSED = "run_refused"
    RUN_UNANSWERED = "run_unanswered"
    RUN_ENDED = "run_ended"
    RUN_SETTLED = "run_settled"
    RUN_STALLED = "run_stalled"
    RUN_PREEMPTED = "run_preempted"
    RUN_EVACUATED = "run_evacuated"
    RUN_STOPPED = "run_stopped"
    WORKER_LOST = "worker_lost"
    WORKER_BACK = "worker_back"
    WORKER_REBORN = "worker_reborn"
    WORKER_AVOIDED = "worker_avoided"
    LEASE_LAPSED = "lease_lapsed"
    ENTRY_UNREADABLE = "entry_unreadable"
    CALL_REFUSED = "call_refused"
    CALL_FAILED = "call_failed"


def log_event(event, **fields):
    """Write one line."""
    log.info(event.value, **fields)
