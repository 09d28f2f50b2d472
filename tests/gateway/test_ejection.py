import asyncio

import pytest

from cactustiller.gateway.ejection import (
    EJECTED_SECONDS,
    FAILURES_TO_EJECT,
    PROBATION_SUCCESSES,
    SLOW_SAMPLES,
    ExecutorHealth,
)

NAMES = {"x1", "x2", "x3", "x4"}
pytestmark = pytest.mark.looptime


def note(health, name, count, seconds=0.01, is_good=True):
    for _ in range(count):
        health.note_start(name)
        health.note_end(name, seconds, is_good)


async def test_failing_executor_is_ejected_then_admitted_on_probation():
    health = ExecutorHealth(lambda: NAMES)
    note(health, "x1", FAILURES_TO_EJECT, is_good=False)
    assert health.list_ejected() == ["x1"]
    assert not health.is_admitted("x1")
    await asyncio.sleep(EJECTED_SECONDS)
    assert health.is_admitted("x1")
    health.note_start("x1")
    assert not health.is_admitted("x1")
    health.note_end("x1", 0.01, True)
    note(health, "x1", PROBATION_SUCCESSES - 1)
    health.note_start("x1")
    assert health.is_admitted("x1")


async def test_failure_on_probation_ejects_for_longer():
    health = ExecutorHealth(lambda: NAMES)
    note(health, "x1", FAILURES_TO_EJECT, is_good=False)
    await asyncio.sleep(EJECTED_SECONDS)
    assert health.is_admitted("x1")
    note(health, "x1", 1, is_good=False)
    await asyncio.sleep(EJECTED_SECONDS)
    assert health.is_ejected("x1")
    await asyncio.sleep(EJECTED_SECONDS)
    assert not health.is_ejected("x1")


async def test_never_more_than_half_are_ejected():
    health = ExecutorHealth(lambda: NAMES)
    for name in sorted(NAMES):
        note(health, name, 2 * FAILURES_TO_EJECT, is_good=False)
    assert len(health.list_ejected()) == len(NAMES) // 2


async def test_slow_executor_is_ejected():
    health = ExecutorHealth(lambda: NAMES)
    for name in ("x2", "x3", "x4"):
        note(health, name, SLOW_SAMPLES, seconds=0.1)
    note(health, "x1", SLOW_SAMPLES, seconds=0.4)
    assert health.list_ejected() == ["x1"]


async def test_single_failures_do_not_eject():
    health = ExecutorHealth(lambda: NAMES)
    for _ in range(FAILURES_TO_EJECT):
        note(health, "x1", FAILURES_TO_EJECT - 1, is_good=False)
        note(health, "x1", 1)
    assert health.list_ejected() == []
