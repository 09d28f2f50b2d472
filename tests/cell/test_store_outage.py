"""Decisions about callers during an outage, replayed with the load of a day."""

import random

import pytest

from cactustiller.cell.decisions.store_outage import (
    MAX_WAITING,
    MAX_WAITING_BYTES,
    OutageView,
    Reject,
    RejectReason,
    Wait,
    choose_retry_after,
    decide,
)

from .outage_replay import REPLY_WITHIN_SECONDS, reject_at_once, replay

SIZE = 2_000


@pytest.mark.parametrize(
    ("age", "remaining", "waits"),
    [
        (0.0, 2.8, True),
        (4.0, 2.8, True),
        # The outage is too old even for a caller with all its time.
        (4.5, 2.8, False),
        (20.0, 2.8, False),
        # The later of its tries, the earlier in the outage a caller has to come.
        (1.0, 0.8, True),
        (1.5, 0.8, False),
    ],
)
def test_callers_wait_early_in_an_outage_or_with_enough_time(age, remaining, waits):
    decision = decide(OutageView(age, remaining), SIZE)
    assert isinstance(decision, Wait) == waits
    if not waits:
        assert decision.reason is RejectReason.OUTAGE_TOO_OLD


def test_callers_without_time_are_rejected_at_once():
    decision = decide(OutageView(0.0, 0.1), SIZE)
    assert decision == Reject(RejectReason.NO_TIME_LEFT)


def test_callers_of_an_isolated_member_are_sent_to_others():
    decision = decide(OutageView(0.0, 2.8, is_isolated=True), SIZE)
    assert decision == Reject(RejectReason.ISOLATED)


def test_waiting_callers_are_bounded_by_count_and_bytes():
    full = Reject(RejectReason.QUEUE_FULL)
    by_count = OutageView(0.0, 2.8, waiting_count=MAX_WAITING)
    by_bytes = OutageView(0.0, 2.8, waiting_count=1, waiting_bytes=MAX_WAITING_BYTES)
    assert decide(by_count, SIZE) == full
    assert decide(by_bytes, SIZE) == full
    # A caller that tried in its turn goes back to its own place.
    assert decide(by_count._replace(has_waited=True), SIZE) != full


@pytest.mark.parametrize("is_time_known", [True, False])
def test_an_outage_of_3_s_loses_far_fewer_callers_than_before(is_time_known):
    before = replay(reject_at_once, 3.0, random.Random(1), is_time_known=is_time_known)
    after = replay(decide, 3.0, random.Random(1), is_time_known=is_time_known)
    assert (before.served, before.lost) == (80, 40)
    assert (after.served, after.lost) == (106, 14)


@pytest.mark.parametrize("seconds", [1.0, 2.0, 4.0, 5.0, 8.0, 12.0, 20.0, 30.0])
@pytest.mark.parametrize("is_time_known", [True, False])
def test_no_outage_loses_more_callers_than_before(seconds, is_time_known):
    for seed in range(5):
        before = replay(reject_at_once, seconds, random.Random(seed), 40, is_time_known)
        after = replay(decide, seconds, random.Random(seed), 40, is_time_known)
        assert after.served >= before.served


def test_an_outage_of_20_s_holds_only_the_callers_of_its_first_seconds():
    after = replay(decide, 20.0, random.Random(1))
    held = [seconds for seconds in after.held if seconds > 0.0]
    assert max(held) < REPLY_WITHIN_SECONDS
    # Callers wait up to an age of 4.2 s; all later tries are rejected at once.
    assert len(held) == 168
    assert len(after.held) > 1_000


def test_retry_after_is_spread_and_within_the_time_of_the_caller():
    generator = random.Random(1)
    drawn = [choose_retry_after(5.0, 2.8, generator.random()) for _ in range(100)]
    assert {1, 2} == set(drawn)
    assert 30 < drawn.count(1) < 70
    assert choose_retry_after(5.0, 1.9, 0.9) == 1
    assert choose_retry_after(0.4, 2.8, 0.9) == 1


def test_retry_after_is_shortest_for_callers_that_did_not_say_their_time():
    # On a second try, 2 s would exceed the 3 s that count from the first.
    assert choose_retry_after(30.0, None, 0.9) == 1
