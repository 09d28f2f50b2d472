"""Senseless messages of peers: answered by a failure or ignored, others go on."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from pydantic import ValidationError
from structlog.testing import capture_logs

from cactustiller.model import Failure, FailureError, JobState
from cactustiller.model.codec import Frame, decode_frame, encode_frame
from cactustiller.model.messages import MESSAGES, Hello
from cactustiller.ownership import home_of_team
from tests.fleet.malformed import malform
from tests.scheduler.builders import MemoryCell, build_spec

pytestmark = pytest.mark.looptime
fuzz = settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
HOME = home_of_team("free")
SIZE = {"cpu_millis": 100, "memory_mib": 10, "accelerators": 0}
KEY = {"job": "j1", "index": 0, "attempt": 1}
RUN = KEY | {
    "home": HOME,
    "team": "free",
    "worker": "w00",
    "template": {"resources": SIZE, "run_seconds": 1.0},
    "kind": "batch",
}
REPORT = {"run": KEY, "state": "succeeded", "worker": "w00", "run_seconds": 1.0}
KEPT = {"worker": "w00", "tasks": 1, "amounts": SIZE}
CLAIM = {"job": "j9", "since": 1.0, "starts_in_seconds": 5.0, "kept": [KEPT]}
USAGE = {"team": "other", "used": SIZE, "waiting": SIZE}
VIEW = {"worker": "w00", "shard": "shard-r0", "free": SIZE, "usable": True}
PERMIT = {"number": 1, "executor": "x1", "epoch": 1}
VALID = {
    "SubmitJob": {
        "home": HOME,
        "job": "j7",
        "key": "k",
        "spec": build_spec().model_dump(mode="json"),
    },
    "GetJob": {"home": HOME, "job": "j1", "detail": True},
    "ExplainJob": {"home": HOME, "job": "j1"},
    "ListJobs": {"home": HOME, "team": "free"},
    "CancelJob": {"home": HOME, "job": "j8"},
    "ReportRuns": {"home": HOME, "shard": "shard-r0", "epoch": 1, "reports": [REPORT]},
    "ReserveRuns": {"shard": "shard-r0", "hold_ms": 100, "runs": [RUN]},
    "ReleaseRuns": {"shard": "shard-r0", "runs": [KEY]},
    "StartRuns": {"shard": "shard-r0", "epoch": 1, "runs": [RUN]},
    "StopRuns": {"shard": "shard-r0", "runs": [KEY], "reason": "test"},
    "PublishWorkers": {"member": "s2", "full": True, "workers": [VIEW]},
    "PublishUsage": {
        "member": "s2",
        "full": True,
        "teams": [USAGE],
        "claims": [CLAIM],
    },
    "AcquirePermits": {
        "service": "prices",
        "count": 1,
        "zone": "a",
        "gateway": "g1",
        "sequence": 1,
        "held": [PERMIT],
    },
    "AnnounceSettings": {"version": 2, "origin": "s2"},
    "GetSettings": {"known_version": 0},
}
HELLO = Hello(member="s2", role="scheduler", zone="a", incarnation="i")
CLASSES = {message.__name__: message for message in MESSAGES}


@st.composite
def draw_messages(draw):
    """Draw up to six messages that a frame can carry."""
    messages = []
    for _ in range(draw(st.integers(1, 6))):
        name = draw(st.sampled_from(sorted(VALID)))
        content = draw(st.one_of(st.just(VALID[name]), malform(VALID[name])))
        try:
            message = CLASSES[name].model_validate(content)
            messages.append(decode_frame(encode_frame(Frame(1, False, message))))
        except (ValidationError, ValueError):
            continue
    return [frame.message for frame in messages]


def list_batches():
    """Return the drawn lists of messages; a coroutine cannot be a property test."""
    batches = []

    @fuzz
    @given(draw_messages())
    def collect(batch):
        batches.append(batch)

    collect()
    return batches


async def deliver(incarnation, message):
    """Return the unexpected exceptions of a handler, with the message's type."""
    try:
        reply = await incarnation.handlers.handle(message, HELLO)
        if isinstance(reply, Failure):
            assert reply.step
            assert reply.reason
        encode_frame(Frame(1, True, reply))
    except FailureError as error:
        assert error.failure.step
    except Exception as error:
        return [(type(message).__name__, repr(error))]
    return []


@pytest.mark.parametrize("name", sorted(VALID))
def test_valid_contents_are_messages(name):
    CLASSES[name].model_validate(VALID[name])


async def test_senseless_messages_end_no_task_and_no_other_job():
    batches = list_batches()
    cell = MemoryCell(schedulers=2, racks=1, workers_per_rack=2)
    await cell.start()
    owner = cell.find_owner(HOME)
    incarnations = [daemon.incarnation for daemon in cell.daemons]
    await cell.submit("j1", build_spec(run_seconds=30.0))
    unexpected = []
    with capture_logs() as lines:
        for batch in batches:
            for message in batch:
                for daemon in cell.daemons:
                    unexpected += await deliver(daemon.incarnation, message)
            # The background tasks act on each batch.
            await asyncio.sleep(0.3)
    assert not set(unexpected)
    await cell.submit("last", build_spec(run_seconds=1.0))

    def has_ended():
        entry = cell.find_entry("last")
        return entry is not None and entry.find_state() is JobState.SUCCEEDED

    await cell.wait_for(has_ended, 120.0)
    assert [daemon.incarnation for daemon in cell.daemons] == incarnations
    assert owner is cell.find_owner(HOME)
    assert not [line for line in lines if line["log_level"] == "error"]
    await cell.stop()
