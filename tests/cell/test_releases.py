"""Evidence on which the runs of a worker are released."""

from structlog.testing import capture_logs

from tests.cell.release_builders import (
    BORN_MS,
    FORMER_BORN_MS,
    NOW,
    START_SENT_AT,
    list_runs,
    make_sent_run,
)


def test_log_lines_of_a_release_tell_its_evidence():
    # Guards against a release in the log that can't be told from one for another cause.
    engine, worker, _ = make_sent_run(is_reported=True)
    with capture_logs() as lines:
        engine.apply_listing(worker, list_runs(), NOW, NOW)
    restart, loss = (
        next(line for line in lines if line["event"] == event)
        for event in ("worker_reborn", "run_lost")
    )
    assert restart["evidence"] == "report"
    assert restart["former_born_ms"] == FORMER_BORN_MS
    assert restart["born_ms"] == BORN_MS
    assert loss["silent_seconds"] == NOW - START_SENT_AT
