"""Calls to the owner of a partition, retried while that is safe."""

import asyncio
import random

import structlog
from result import Err

from cactustiller.model import TABLE_PEER, ErrorCode, Failure, Outcome

MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.8
ATTEMPT_TIMEOUT_SECONDS = 6.0
DEFAULT_RETRY_AFTER_MS = 1000
TRANSIENT_CODES = {
    ErrorCode.NOT_OWNER,
    ErrorCode.UNAVAILABLE,
    ErrorCode.FENCED,
    ErrorCode.TIMEOUT,
}

log = structlog.get_logger(__name__)


class OwnerClient:
    """Calls idempotent operations of partition owners.

    Parameters
    ----------
    member : Member
    seed : int
        Seed of the back-off's jitter.
    """

    def __init__(self, member, seed=0):
        self._member = member
        self._random = random.Random(seed)

    async def call(self, partition, message, timeout_seconds):
        """Return the owner's ``Ok(reply)`` or the ``Err(Failure)`` that remains.

        The message must be idempotent. The outcome is `UNKNOWN` as soon as one
        attempt's outcome is, until an owner answers.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        backoff_seconds = MIN_BACKOFF_SECONDS
        unknown_failure = None
        while True:
            seconds = min(ATTEMPT_TIMEOUT_SECONDS, deadline - loop.time())
            answer = await self._member.call_owner(partition, message, seconds)
            if answer.is_ok():
                return answer
            failure = answer.unwrap_err()
            if failure.code not in TRANSIENT_CODES:
                return answer
            if failure.outcome is Outcome.UNKNOWN:
                unknown_failure = failure
            if failure.peer == TABLE_PEER and failure.code is not ErrorCode.FENCED:
                # The owner has given up on the table service, so waiting here
                # would only hold its answer back.
                return Err(_build_final_failure(failure, unknown_failure))
            delay_seconds = self._random.uniform(backoff_seconds / 2, backoff_seconds)
            delay_seconds = max(
                delay_seconds, min(failure.retry_after_ms / 1000, backoff_seconds)
            )
            if loop.time() + delay_seconds >= deadline:
                return Err(_build_final_failure(failure, unknown_failure))
            log.info(
                "owner_call_retried",
                partition=partition,
                message=type(message).__name__,
                reason=str(failure),
            )
            await asyncio.sleep(delay_seconds)
            backoff_seconds = min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)
            await self._member.refresh()


def _build_final_failure(failure, unknown_failure):
    final = unknown_failure or failure
    retry_after_ms = final.retry_after_ms or DEFAULT_RETRY_AFTER_MS
    return Failure(
        code=final.code,
        step=final.step,
        peer=final.peer,
        reason=final.reason,
        outcome=final.outcome,
        retry_after_ms=retry_after_ms,
    )
