"""Replay of callers with retries through an outage of the store, without a cell."""

import heapq
from typing import NamedTuple

from cactustiller.cell.decisions.store_outage import (
    OutageView,
    Reject,
    choose_retry_after,
    decide,
)

CALLER_SECONDS = 3.0
REPLY_WITHIN_SECONDS = 2.8
REPLY_MARGIN_SECONDS = 0.2
MAX_TRIES = 5
ROW_BYTES = 2_000


class Replay(NamedTuple):
    """Callers served and lost, and how long each rejected try was held."""

    served: int
    lost: int
    held: list


def reject_at_once(view, size):
    """Decide by the rule before `store_outage`: each caller returns after 1 s."""
    return Reject(None)


def replay(rule, outage_seconds, generator, rate=40, is_time_known=True):
    """Replay the callers that arrive during one outage.

    Parameters
    ----------
    rule : callable
        Takes an `OutageView` and a size; returns a decision.
    outage_seconds : float
    generator : random.Random
    rate : float
        Jobs per second.
    is_time_known : bool
        Whether callers send the time that they have left.
    """
    count = int(rate * outage_seconds)
    tries = [(number / rate, number, 1, number / rate) for number in range(count)]
    heapq.heapify(tries)
    waiting_until = []
    served, held = set(), []
    while tries:
        now, number, ordinal, first = heapq.heappop(tries)
        if now >= outage_seconds:
            served.add(number)
            continue
        while waiting_until and waiting_until[0] <= now:
            heapq.heappop(waiting_until)
        left = first + CALLER_SECONDS - now
        remaining = REPLY_WITHIN_SECONDS
        if is_time_known:
            remaining = min(remaining, left - REPLY_MARGIN_SECONDS)
        waiting = len(waiting_until)
        view = OutageView(
            now,
            remaining,
            waiting_count=waiting,
            waiting_bytes=waiting * ROW_BYTES,
        )
        decision = rule(view, ROW_BYTES)
        ends = now
        if not isinstance(decision, Reject):
            # A caller that did not say how long it waits disconnects.
            ends = now + min(decision.seconds, left)
            if ends >= outage_seconds:
                served.add(number)
                heapq.heappush(waiting_until, outage_seconds)
                continue
            heapq.heappush(waiting_until, ends)
            remaining -= decision.seconds
        held.append(ends - now)
        known = remaining if is_time_known else None
        returns_at = ends + choose_retry_after(now, known, generator.random())
        is_late = returns_at >= first + CALLER_SECONDS
        if ordinal < MAX_TRIES and not is_late:
            heapq.heappush(tries, (returns_at, number, ordinal + 1, first))
    return Replay(len(served), count - len(served), held)


__all__ = ["Replay", "decide", "reject_at_once", "replay"]
