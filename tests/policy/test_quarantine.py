"""Blame for failures: workers that fail everything, jobs that fail everywhere."""

from cactustiller.policy import Health, WorkerHealth
from cactustiller.policy.quarantine import FIRST_QUARANTINE_SECONDS

from .builders import NOW, make_job


def note(health, worker, job, failed=True, now=NOW, program="build"):
    return health.record_end(worker, make_job(program=program).spec, job, failed, now)


def test_worker_that_fails_distinct_jobs_is_quarantined_with_evidence():
    health = WorkerHealth()
    note(health, "good", "j-0", failed=False)
    assert not note(health, "bad", "j-1")
    assert not note(health, "bad", "j-1")
    assert not note(health, "bad", "j-2")
    assert note(health, "bad", "j-3")
    assert health.list_quarantined(NOW) == ["bad"]
    assert "j-1 0 s ago, j-2" in health.describe("bad", NOW)


def test_job_that_fails_everywhere_blames_no_worker():
    health = WorkerHealth()
    for number in range(12):
        note(health, f"w-{number % 3}", f"j-{number}", program="broken")
    assert health.list_quarantined(NOW) == []


def test_probation_ends_with_a_success_and_doubles_with_a_failure():
    health = WorkerHealth()
    note(health, "good", "j-0", failed=False)
    for number in range(3):
        note(health, "bad", f"j-{number}")
    later = NOW + FIRST_QUARANTINE_SECONDS + 1
    assert health.find_health("bad", later) is Health.PROBATION
    note(health, "bad", "j-8", now=later)
    again = later + FIRST_QUARANTINE_SECONDS + 1
    assert health.find_health("bad", again) is Health.QUARANTINED
    assert health.find_health("bad", again + 60) is Health.PROBATION
    note(health, "bad", "j-9", failed=False, now=again + 60)
    assert health.find_health("bad", again + 60) is Health.GOOD
