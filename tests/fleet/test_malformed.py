"""Malformed messages and rows: one failure with step and peer, never an exception."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactustiller.cell import JobSpec, Listing, Page, WorkerInfo, admit_call
from cactustiller.cell.owner.engine import Engine
from cactustiller.fleet.approvals import HttpApprovals
from cactustiller.fleet.client import HttpClient
from cactustiller.fleet.desired import decode_desired, decode_submission
from cactustiller.fleet.store import HttpRowStore
from cactustiller.fleet.workers import HttpWorkerCalls, decode_worker
from cactustiller.model import ErrorCode

from .malformed import malform
from .test_decoding import CONFIG, ENTRY, make_desired

JOB = "0123456789abcdef"
SUBMISSION = {
    "Spec": "text",
    "Steps": [
        {"Count": 2, "Cpu": 500, "MemMb": 256, "EstimateMs": 900, "Affinity": "r1-3"},
        {
            "Count": 4,
            "Cpu": 2000,
            "MemMb": 1024,
            "Gpu": 1,
            "EstimateMs": 7000,
            "After": [0],
            "Gang": True,
            "CheckpointEnabled": True,
            "Constraints": "a",
            "AntiAffinity": 2,
        },
    ],
    "FirstRunMs": 1000,
    "IntervalMs": 100,
    "RepeatCount": 3,
}
LISTING = {
    "ClockMs": 482113,
    "born": 17,
    "ActiveRuns": [[f"{JOB}.0.1.17", 2, "00bb", 41], [f"{JOB}.0.1.18", 2, "", 1, 9]],
    "EndedRuns": [[58, f"{JOB}.0.1.9", 1, "done", ""]],
}
PAGE = {
    "rows": [{"Table": "t", "part": "", "Key": "k", "Value": "eA==", "Ver": 3}],
    "Ver": 9,
    "NowMs": 17,
    "HasMore": False,
}
APPROVAL = {"ApprovedWorkers": [["w1", "ticket"], ["w2", "ticket"]], "ValidMs": 2000}
fuzz = settings(max_examples=300, deadline=None, derandomize=True, database=None)


class FixedAnswers:
    """HTTP client whose peer answers each call with the same status and content."""

    make_protocol_failure = HttpClient.make_protocol_failure
    decode = getattr(HttpClient, "decode", None)
    _make_failure = HttpClient._make_failure

    def __init__(self, content, status=200):
        self.address = "10.0.0.9:80"
        self.content, self.status = content, status

    async def call(self, method, path, seconds, **parameters):
        from result import Ok

        return Ok((self.status, self.content))


def run(coroutine):
    """Return the result of a coroutine that never suspends."""
    with pytest.raises(StopIteration) as stopped:
        coroutine.send(None)
    return stopped.value.value


def check_answer(answer, kind):
    """Check that an answer has the decoded type, or is a failure of the protocol."""
    if answer.is_ok():
        assert isinstance(answer.unwrap(), kind)
        return
    failure = answer.unwrap_err()
    assert failure.code is ErrorCode.PROTOCOL
    assert failure.peer == "10.0.0.9:80"
    assert failure.step


@fuzz
@given(content=malform(SUBMISSION))
def test_malformed_submission_is_refused_or_can_be_scheduled(content):
    admitted = admit_call(make_desired(), "h.example", f"/p/q/{JOB}", "k1")
    try:
        spec = decode_submission(JOB, admitted, json.dumps(content).encode(), 1)
    except ValueError:
        return
    assert isinstance(spec, JobSpec)
    assert all(min(step.amounts) >= 0 for step in spec.steps)
    engine = Engine(lambda: 100.0, lambda: 100_000)
    engine.apply_desired(make_desired())
    engine.update_workers(
        {"i-1": decode_worker("i-1", json.dumps(ENTRY).encode())},
    )
    engine.add_job(spec)
    engine.plan()
    engine.collect(96)


@fuzz
@given(content=malform(ENTRY))
def test_malformed_worker_entry_is_skipped_or_decoded(content):
    info = decode_worker("i-1", json.dumps(content).encode())
    assert info is None or isinstance(info, WorkerInfo)
    if info is not None:
        assert min(info.capacity) >= 0


@fuzz
@given(content=malform(CONFIG))
def test_malformed_desired_state_is_a_value_error(content):
    try:
        desired = decode_desired(json.dumps(content).encode())
    except ValueError:
        return
    admit_call(desired, "h.example", "/p/x", "k1")


@fuzz
@given(content=malform(LISTING))
def test_malformed_listing_is_a_failure_of_its_worker(content):
    calls = HttpWorkerCalls()
    calls._get_client = lambda worker: FixedAnswers(content)
    info = decode_worker("i-1", json.dumps(ENTRY).encode())
    check_answer(run(calls.hold(info, 1, 0, None, 500)), Listing)


@fuzz
@given(
    content=malform({"ClockMs": 1, "Reason": "room"}),
    status=st.sampled_from([200, 409, 400]),
)
def test_malformed_answer_to_a_start_does_not_raise(content, status):
    calls = HttpWorkerCalls()
    calls._get_client = lambda worker: FixedAnswers(content, status)
    info = decode_worker("i-1", json.dumps(ENTRY).encode())
    run(calls.stop(info, "task", 1, 1))
    run(calls.pace(info, "task", 1, 50, 1))


@fuzz
@given(content=malform(PAGE))
def test_malformed_page_is_a_failure_of_the_store(content):
    store = HttpRowStore("10.0.0.9:80")
    store._client = FixedAnswers(content)
    check_answer(run(store.read("t", "", "", "z", 1.0)), Page)
    check_answer(run(store.follow("t", 1, 1.0)), Page)


@fuzz
@given(content=malform(APPROVAL))
def test_malformed_approval_is_a_failure_of_the_service(content):
    approvals = HttpApprovals("10.0.0.9:80")
    approvals._client = FixedAnswers(content)
    answer = run(approvals.ask("step", ["w1"]))
    check_answer(answer, object)
