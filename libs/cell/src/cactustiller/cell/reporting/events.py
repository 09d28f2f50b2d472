"""Log events of a cell and the function that writes them."""

from collections import Counter
from enum import StrEnum

import structlog

from .sampling import LogSampler

log = structlog.get_logger("cell")


class Event(StrEnum):
    """Event name of a log line; `docs/OPERATIONS.md` lists the fields of each."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    RELOADED = "reloaded"
    DEPENDENCY_LOST = "dependency_lost"
    DEPENDENCY_RECOVERED = "dependency_back"
    DESIRED_STATE_APPLIED = "desired_state_applied"
    OWNER_CHANGED = "owner_changed"
    TAKEOVER = "takeover"
    TERM_FAILED = "term_failed"
    TASK_FAILED = "task_failed"
    TAKEOVER_LOST = "takeover_lost"
    CLAIM = "claim"
    CLAIM_WITHDRAWN = "claim_withdrawn"
    HANDOVER_ASKED = "handover_asked"
    OWNERSHIP_LOST = "ownership_lost"
    OWNERSHIP_RELEASED = "ownership_released"
    FROZEN = "frozen"
    LOOP_HELD = "loop_held"
    JOB_ACCEPTED = "job_accepted"
    JOB_REFUSED = "job_refused"
    JOB_WAITS = "job_waits"
    JOB_BLOCKED = "job_blocked"
    JOB_NOT_ADMITTED = "job_not_admitted"
    JOB_DEFERRED = "job_deferred"
    JOB_CANCELLED = "job_cancelled"
    JOB_ENDED = "job_ended"
    ROWS_REFUSED = "rows_refused"
    APPROVAL = "approval"
    RUN_STARTED = "run_started"
    RUN_REFUSED = "run_refused"
    RUN_UNANSWERED = "run_unanswered"
    RUN_ENDED = "run_ended"
    RUN_SETTLED = "run_settled"
    LISTING_INCOMPLETE = "listing_incomplete"
    RUN_LOST = "run_lost"
    RUN_STALLED = "run_stalled"
    COPY_PLACED = "copy_placed"
    COPY_SETTLED = "copy_settled"
    RUN_PREEMPTED = "run_preempted"
    RUN_EVACUATED = "run_evacuated"
    ZONE_EVACUATED = "zone_evacuated"
    ZONE_RESTORED = "zone_restored"
    RUN_STOPPED = "run_stopped"
    RUN_PACED = "run_paced"
    WORKER_LOST = "worker_lost"
    WORKER_RECOVERED = "worker_back"
    WORKER_RESTARTED = "worker_reborn"
    WORKER_AVOIDED = "worker_avoided"
    WORKER_CALL_BROKEN = "worker_call_broken"
    WORKER_CRASHED = "worker_crashed"
    INTERFERENCE_LEARNED = "interference_learned"
    INTERFERENCE_DROPPED = "interference_dropped"
    WORKER_SLOW = "worker_slow"
    WORKER_SPEED_RECOVERED = "worker_speed_back"
    LEASE_EXPIRED = "lease_lapsed"
    ENTRY_UNREADABLE = "entry_unreadable"
    CALL_REFUSED = "call_refused"
    CALL_FAILED = "call_failed"
    CLIENT_REFUSED = "client_refused"
    LINES_SUPPRESSED = "lines_left_out"


# Events whose lines are sampled at high rates. Lines about unavailable dependencies,
# lost work and changes in the owner's view of the cell are always written.
SAMPLED = frozenset(
    {
        Event.JOB_ACCEPTED,
        Event.JOB_REFUSED,
        Event.JOB_WAITS,
        Event.JOB_BLOCKED,
        Event.JOB_NOT_ADMITTED,
        Event.JOB_DEFERRED,
        Event.JOB_CANCELLED,
        Event.JOB_ENDED,
        Event.ROWS_REFUSED,
        Event.APPROVAL,
        Event.RUN_STARTED,
        Event.RUN_ENDED,
        Event.RUN_LOST,
        Event.RUN_STOPPED,
        Event.RUN_PACED,
        Event.COPY_PLACED,
        Event.COPY_SETTLED,
        Event.CALL_REFUSED,
        Event.CALL_FAILED,
        Event.CLIENT_REFUSED,
        Event.WORKER_CALL_BROKEN,
        Event.ENTRY_UNREADABLE,
    }
)
# Number of events by their metric labels, including those of suppressed lines.
EVENT_COUNTS = Counter()

_sampler = LogSampler()


def log_event(event, **fields):
    """Count an event and write its log line, which may be suppressed by sampling.

    Lines are sampled by job, so that the trace of a sampled job is complete.
    """
    EVENT_COUNTS[event.value,] += 1
    suppressed = _sampler.take_suppressed()
    if suppressed:
        log.info(Event.LINES_SUPPRESSED.value, counts=suppressed)
    if event in SAMPLED and not _sampler.allows(event.value, fields.get("job", "")):
        return
    log.info(event.value, **fields)
