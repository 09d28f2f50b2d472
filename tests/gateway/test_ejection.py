import asyncio

import pytest

from cactustiller.gateway.ejection import (
    FAILURES_TO_EJECT,
    INITIAL_EJECTION_SECONDS,
    PROBATION_SUCCESSES,
    SAMPLES_PER_SLOW_CHECK,
    ExecutorHealth,
)

NAMES = {"x1", "x2", "x3", "x4"}
pytestmark = pytest.mark.looptime


def record_results(health, name, count, seconds=0.01, is_success=True):
    for _ in range(count):
        health.record_start(name)
        health.record_result(name, seconds, is_success)


async def test_failing_executor_is_ejected_then_admitted_on_probation():
    health = ExecutorHealth(lambda: NAMES)
    record_results(health, "x1", FAILURES_TO_EJECT, is_success=False)
    assert health.list_ejected() == ["x1"]
    assert not health.is_admitted("x1")
    await asyncio.sleep(INITIAL_EJECTION_SECONDS)
    assert health.is_admitted("x1")
    health.record_start("x1")
    assert not health.is_admitted("x1")
    health.record_result("x1", 0.01, True)
    record_results(health, "x1", PROBATION_SUCCESSES - 1)
    health.record_start("x1")
    assert health.is_admitted("x1")


async def test_failure_on_probation_ejects_for_longer():
    health = ExecutorHealth(lambda: NAMES)
    record_results(health, "x1", FAILURES_TO_EJECT, is_success=False)
    await asyncio.sleep(INITIAL_EJECTION_SECONDS)
    assert health.is_admitted("x1")
    record_results(health, "x1", 1, is_success=False)
    await asyncio.sleep(INITIAL_EJECTION_SECONDS)
    assert health.is_ejected("x1")
    await asyncio.sleep(INITIAL_EJECTION_SECONDS)
    assert not health.is_ejected("x1")


async def test_never_more_than_half_are_ejected():
    health = ExecutorHealth(lambda: NAMES)
    for name in sorted(NAMES):
        record_results(health, name, 2 * FAILURES_TO_EJECT, is_success=False)
    assert len(health.list_ejected()) == len(NAMES) // 2


async def test_slow_executor_is_ejected():
    health = ExecutorHealth(lambda: NAMES)
    for name in ("x2", "x3", "x4"):
        record_results(health, name, SAMPLES_PER_SLOW_CHECK, seconds=0.1)
    record_results(health, "x1", SAMPLES_PER_SLOW_CHECK, seconds=0.4)
    assert health.list_ejected() == ["x1"]


async def test_single_failures_do_not_eject():
    health = ExecutorHealth(lambda: NAMES)
    for _ in range(FAILURES_TO_EJECT):
        record_results(health, "x1", FAILURES_TO_EJECT - 1, is_success=False)
        record_results(health, "x1", 1)
    assert health.list_ejected() == []
