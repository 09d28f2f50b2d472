"""Deduplication of requests with an idempotency key: each runs at most once.

A request's record is a row of the table service, the only storage that outlives a
gateway and is shared by all gateways. It is claimed before the request is sent.
"""

import asyncio
import base64
import secrets
import time
from enum import StrEnum
from hashlib import blake2b

import structlog
from pydantic import Field

from cactustiller.model import ErrorCode, Failure, FailureError, Outcome, Record, Role
from cactustiller.model.supervision import keep_running
from cactustiller.ports import Check, Put, Read, Scan, Write, decode_row

from .errors import make_refusal
from .forwarding import ServiceResponse

ROW_PREFIX = "request/"
RETENTION_SECONDS = 600.0
SWEEP_INTERVAL_SECONDS = 60.0
SWEEP_ROWS = 500
MAX_STORED_BODY_BYTES = 65_536
MAX_WAIT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.2
COMMIT_TIMEOUT_SECONDS = 2.0
STEP = "look up Idempotency-Key"

log = structlog.get_logger(__name__)


class RequestState(StrEnum):
    """State of a recorded request."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    FAILED = "failed"
    UNKNOWN = "unknown"


class RequestRecord(Record):
    """Row of one request; `at` is its wall-clock time in seconds."""

    state: RequestState
    token: str
    request: str
    digest: str
    at: float
    status: int = Field(default=0, ge=0, le=599)
    body: str = ""
    content_type: str = Field(default="", pattern=r"^[ -~]*$")
    executor: str = ""
    failure: Failure | None = None


class RequestRecordStore:
    """Claims, completes and looks up request records.

    Parameters
    ----------
    member : Member
    """

    def __init__(self, member):
        self._member = member
        self._unreadable = set()
        self._task = None

    def start(self):
        """Start removing old records in the background."""
        self._task = asyncio.create_task(
            keep_running("sweep request records", self._sweep_regularly)
        )

    async def stop(self):
        """Stop removing old records."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def run_once(self, scope, request, run):
        """Run a request at most once and return its `ServiceResponse`.

        Parameters
        ----------
        scope : tuple of str
            Team and idempotency key.
        request : ServiceRequest
        run : callable
            Coroutine function that sends the request.

        Raises
        ------
        FailureError
            With the outcome of this attempt or of an earlier one with the same key.
        """
        key = ROW_PREFIX + _digest(*scope, request.service)
        record = RequestRecord(
            state=RequestState.CLAIMED,
            token=secrets.token_hex(8),
            request=request.id,
            digest=blake2b(request.body, digest_size=16).hexdigest(),
            at=time.time(),
        )
        version = await self._claim(key, record)
        if version is None:
            answer = await self._wait_for_earlier(key, record, request)
            # Without a row, the earlier request did not run, so this one may.
            return answer or await self.run_once(scope, request, run)
        return await self._run_claimed(key, version, record, run)

    async def sweep(self):
        """Remove records older than `RETENTION_SECONDS`, one page at a time."""
        scan = Scan(prefix=ROW_PREFIX, limit=SWEEP_ROWS)
        while True:
            answer = await self._member.table.read(Read(gets=[], scans=[scan]))
            if answer.is_err():
                return
            page = answer.unwrap().scans[0]
            cutoff = time.time() - RETENTION_SECONDS
            old = [row for row in page.rows if self._is_older(row, cutoff)]
            if old:
                checks = [Check(key=row.key, version=row.version) for row in old]
                write = Write(checks=checks, deletes=[row.key for row in old])
                await self._commit(write)
            if not page.next:
                return
            scan = scan.with_changes(after=page.next)

    def _is_older(self, row, cutoff):
        """Return whether a record is older than a time; False if it is malformed."""
        step = "sweep request records"
        record = decode_row(row, RequestRecord, step, reported=self._unreadable)
        return record is not None and record.at < cutoff

    async def _claim(self, key, record):
        """Insert the row; return its version, ``None`` if it already exists."""
        write = Write(
            checks=[Check(key=key, version=0)],
            puts=[Put(key=key, value=record.model_dump(mode="json"))],
        )
        answer = await self._commit(write)
        if answer.is_ok():
            return answer.unwrap()
        failure = answer.unwrap_err()
        if failure.code is ErrorCode.CONFLICT:
            return None
        # A request that is not recorded is not sent, so it has not run.
        reason = f"the request cannot be recorded: {failure.reason}"
        raise make_refusal(ErrorCode.UNAVAILABLE, STEP, reason, retry_after_ms=1000)

    async def _run_claimed(self, key, version, record, run):
        final_record = record.with_changes(state=RequestState.UNKNOWN)
        try:
            answer = await run()
        except FailureError as error:
            failure = error.failure
            if failure.outcome is Outcome.NOT_RUN:
                final_record = None
            elif failure.outcome is Outcome.FAILED:
                final_record = record.with_changes(
                    state=RequestState.FAILED, failure=failure
                )
            raise
        else:
            final_record = _complete(record, answer)
            return answer
        finally:
            # Completes even if the caller disconnects, so that a retry at another
            # gateway finds the outcome.
            await asyncio.shield(self._finish(key, version, final_record))

    async def _finish(self, key, version, record):
        checks = [Check(key=key, version=version)]
        if record is None:
            write = Write(checks=checks, deletes=[key])
        else:
            put = Put(key=key, value=record.model_dump(mode="json"))
            write = Write(checks=checks, puts=[put])
        answer = await self._commit(write)
        if answer.is_err():
            log.warning("request_record_not_ended", reason=str(answer.unwrap_err()))

    async def _wait_for_earlier(self, key, record, request):
        """Wait for the earlier request's response; ``None`` if its row is gone."""
        loop = asyncio.get_running_loop()
        until = loop.time() + min(MAX_WAIT_SECONDS, request.timeout_seconds / 2)
        while True:
            answer = await self._member.table.read_row(key)
            if answer.is_ok() and answer.unwrap().value is None:
                return None
            if answer.is_ok():
                found = decode_row(
                    answer.unwrap(), RequestRecord, STEP, reported=self._unreadable
                )
                if found is None:
                    raise _build_unknown_outcome(f"the row {key} cannot be read")
                _check_same_body(found, record)
                if found.state is not RequestState.CLAIMED:
                    return _replay(found)
            if loop.time() + POLL_INTERVAL_SECONDS >= until:
                raise _build_unknown_outcome("the earlier request has not completed")
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _commit(self, write):
        return await self._member.committer.commit(
            write, "requests", COMMIT_TIMEOUT_SECONDS
        )

    async def _sweep_regularly(self):
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            gateways = self._member.list_members(Role.GATEWAY)
            first = next((item for item in gateways if not item.leaving), None)
            if first is not None and first.member == self._member.member:
                await self.sweep()


def _complete(record, response):
    if len(response.body) > MAX_STORED_BODY_BYTES:
        return record.with_changes(state=RequestState.UNKNOWN)
    return record.with_changes(
        state=RequestState.ANSWERED,
        status=response.status,
        body=base64.b64encode(response.body).decode(),
        content_type=response.content_type,
        executor=response.executor,
    )


def _check_same_body(found, record):
    if found.digest != record.digest:
        reason = "Idempotency-Key: belongs to a request with another body"
        raise make_refusal(ErrorCode.CONFLICT, STEP, reason)


def _replay(found):
    if found.failure is not None:
        raise FailureError(found.failure)
    if found.state is RequestState.UNKNOWN:
        raise _build_unknown_outcome("the response to the earlier request is unknown")
    try:
        body = base64.b64decode(found.body, validate=True)
    except ValueError:
        reason = "the stored response to the earlier request cannot be read"
        raise _build_unknown_outcome(reason) from None
    return ServiceResponse(
        found.status, body, found.content_type, found.executor, False
    )


def _build_unknown_outcome(reason):
    return FailureError(
        Failure(
            code=ErrorCode.TIMEOUT,
            step=STEP,
            reason=f"{reason}; the request is not sent again",
            outcome=Outcome.UNKNOWN,
            retry_after_ms=1000,
        )
    )


def _digest(*parts):
    # The length prefixes distinguish ("ab", "c") from ("a", "bc").
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return blake2b(text.encode(), digest_size=16).hexdigest()
