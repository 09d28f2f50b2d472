"""Round trips of the rows that a cell writes."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.owner.loading import JobLoader
from cactustiller.cell.records.progress import (
    decode_progress,
    decode_state,
    encode_progress,
)
from cactustiller.cell.records.runs import JobRun, RunPhase
from cactustiller.cell.records.specs import (
    JobSpec,
    QueueRules,
    StepSpec,
    decode_job,
    encode_job,
)
from cactustiller.model import Amounts, JobState
from standins.fleet import make_job

numbers = st.integers(0, 10**6)
steps = st.builds(
    StepSpec,
    count=st.integers(1, 5),
    amounts=st.builds(Amounts, numbers, numbers, numbers),
    estimate_ms=numbers,
    after=st.lists(st.integers(0, 3)).map(tuple),
    is_gang=st.booleans(),
    required_label=st.text(max_size=5),
    max_per_worker=numbers,
    fills=st.booleans(),
)


def keep_earlier(steps):
    """Return the steps without references to later ones, which are refused."""
    return tuple(
        replace(step, after=tuple(n for n in step.after if n < position))
        for position, step in enumerate(steps)
    )


jobs = st.builds(
    JobSpec,
    job=st.just("0" * 16),
    queue=st.text(max_size=5),
    team=st.text(max_size=5),
    payload=st.text(max_size=50),
    steps=st.lists(steps, min_size=1, max_size=4).map(keep_earlier),
    rules=st.builds(QueueRules, service=st.text(max_size=5), priority=numbers),
    accepted_ms=numbers,
    repeat_count=st.integers(0, 3),
)


@given(jobs)
def test_job_round_trip(spec):
    assert decode_job(spec.job, encode_job(spec)) == spec


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b"[1,2,3,4,5,6]", b"\xff"])
def test_malformed_job_row_is_refused(data):
    with pytest.raises(ValueError, match="row of job"):
        decode_job("0" * 16, data)


@pytest.mark.parametrize(
    "changes",
    [
        {"count": 0},
        {"count": 2001},
        {"after": (0,)},
        {"after": (7,)},
        {"after": (-1,)},
        {"cpu": -1},
        {"estimate_ms": -1},
    ],
)
def test_row_of_a_job_that_cannot_be_scheduled_is_refused(changes):
    with pytest.raises(ValueError, match=r"row of job .*(task|step)"):
        decode_job("0" * 16, encode_job(make_job(**changes)))


def test_progress_round_trip():
    job = JobRun(make_job(count=4))
    step = job.open_occurrence(0)[0]
    done, running, lost, _ = step.tasks
    done.phase, done.run = RunPhase.SUCCEEDED, 1
    running.phase, running.run, running.worker = RunPhase.RUNNING, 2, "w1"
    running.checkpoint, running.failures = "cp", 1
    lost.run, lost.failures = 3, 2
    step.pending_count, step.succeeded_count, job.has_started = 2, 1, True
    decoded = decode_progress(job.spec, encode_progress(job))
    tasks = decoded.occurrences[0][0].tasks
    assert [task.phase for task in tasks] == [
        RunPhase.SUCCEEDED,
        RunPhase.ASSIGNED,
        RunPhase.WAITING,
        RunPhase.WAITING,
    ]
    assert (tasks[1].run, tasks[1].worker, tasks[1].checkpoint) == (2, "w1", "cp")
    assert (tasks[2].run, tasks[2].failures) == (3, 2)
    assert (decoded.occurrences[0][0].pending_count, decoded.has_started) == (2, True)


def test_finished_job_stores_only_its_state():
    job = JobRun(make_job(), state=JobState.FAILED, ended_ms=7)
    assert decode_state(encode_progress(job)) is JobState.FAILED
    assert decode_progress(job.spec, encode_progress(job)).ended_ms == 7


@pytest.mark.parametrize("progress", [b"", b"[]", b"{}", b"[1]", b'["running",[[9]]]'])
def test_unreadable_progress_of_one_job_does_not_stop_a_takeover(progress):
    engine = Engine(lambda: 1.0, lambda: 1000)
    loader = JobLoader(engine, None, None)
    first, second = make_job(1), make_job(2)
    loader.add_job(first.job, encode_job(first), progress)
    loader.add_job(second.job, encode_job(second))
    assert second.job in engine.jobs
