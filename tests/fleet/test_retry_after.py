"""Retry-After of the HTTP interface, and what it passes on about the caller."""

import asyncio
from types import SimpleNamespace
from unittest.mock import Mock

import pytest
from aiohttp import StreamReader
from aiohttp.test_utils import make_mocked_request

from cactustiller.cell import Acceptance, DesiredState
from cactustiller.cell.members.intake import SubmitAnswer
from cactustiller.cell.reporting.metrics import Metrics
from cactustiller.fleet.api import ApiHandler, read_deadline_ms
from standins.fleet import make_queue

pytestmark = pytest.mark.looptime

BODY = b'{"Count": 1, "Cpu": 100, "Memory": 100, "EstimateMs": 50}'


class RecordingIntake:
    """Answers each submission alike and keeps the callers."""

    def __init__(self, answer):
        self.answer = answer
        self.callers = []

    async def accept(self, spec, caller):
        self.callers.append(caller)
        return self.answer


def make_member(intake):
    async def confirm():
        return True

    queue = make_queue()
    return SimpleNamespace(
        desired_state=DesiredState(1, {queue.name: queue}, {}, {"key": "team"}),
        desired_replica=SimpleNamespace(
            wait_until_confirmed=confirm, is_confirmed=lambda: True
        ),
        intake=intake,
        record_answer=lambda *values: None,
        metrics=Metrics(list),
    )


async def submit(intake, monkeypatch, **headers):
    monkeypatch.setattr(
        "cactustiller.fleet.api.decode_submission", lambda *values: None
    )
    payload = StreamReader(Mock(_reading_paused=False), 2**16)
    payload.feed_data(BODY)
    payload.feed_eof()
    request = make_mocked_request(
        "POST",
        f"/urgent/{1:016x}",
        headers={"Host": "host", "X-Credential": "key", **headers},
        payload=payload,
    )
    return await ApiHandler(make_member(intake)).handle(request)


async def test_the_answer_of_the_intake_sets_retry_after(monkeypatch):
    intake = RecordingIntake(SubmitAnswer(Acceptance.REFUSED, 2))
    response = await submit(intake, monkeypatch)
    assert (response.status, response.headers["Retry-After"]) == (503, "2")


async def test_an_accepted_job_has_no_retry_after(monkeypatch):
    intake = RecordingIntake(SubmitAnswer(Acceptance.ACCEPTED))
    response = await submit(intake, monkeypatch)
    assert response.status == 200
    assert "Retry-After" not in response.headers


async def test_the_time_of_the_caller_is_passed_on(monkeypatch):
    intake = RecordingIntake(SubmitAnswer(Acceptance.ACCEPTED))
    await submit(intake, monkeypatch, **{"X-Deadline-Ms": "1500"})
    await submit(intake, monkeypatch)
    now = asyncio.get_running_loop().time()
    stated, unstated = intake.callers
    # 0.2 s are left for the way of the answer.
    assert stated.is_time_known
    assert stated.answer_by - now == pytest.approx(1.3, abs=0.01)
    assert not unstated.is_time_known
    assert unstated.answer_by - now == pytest.approx(2.8, abs=0.01)


@pytest.mark.parametrize(
    ("text", "expected"),
    [("250", 250), ("", None), ("-5", None), ("1e3", None), ("soon", None)],
)
def test_an_unreadable_deadline_counts_as_none(text, expected):
    assert read_deadline_ms({"X-Deadline-Ms": text}) == expected
