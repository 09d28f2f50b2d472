import asyncio

import pytest
from result import Err, Ok

from cactustiller.cli import GatewayClient, JobSubmission
from cactustiller.cli.transport import Call, Refusal, Transport
from cactustiller.model import ErrorCode, Failure, Outcome
from tests.cli.fakes import Answer, refuse

JOB = JobSubmission(
    name="j", team="red", queue="q", template={"resources": {"cpu_millis": 1}}
)
ACCEPTED = Answer({"job": "j1", "state": "waiting"}, 202)
DROPPED = Answer(drops=True)
JOBS = ("POST", "/v1/jobs")
REQUESTS = ("POST", "/v1/requests/prices")
UNUSED_ADDRESS = "127.0.0.1:1"


def open_client(gateways, **options):
    addresses = [getattr(gateway, "address", gateway) for gateway in gateways]
    return GatewayClient(addresses, "key", **options)


async def submit(*gateways, **options):
    async with open_client(gateways, **options) as client:
        return await client.submit_job(JOB)


async def send(*gateways, **options):
    async with open_client(gateways) as client:
        return await client.send_request("prices", b"body", **options)


async def test_not_run_refusal_goes_to_the_next_gateway(gateways):
    first, second = gateways
    first.script(*REQUESTS, refuse("unavailable", 503))
    second.script(*REQUESTS, Answer(b"done"))
    answer = (await send(first, second)).unwrap()
    assert answer.body == b"done"
    assert second.received[0].headers["X-Request-Id"] == answer.request


async def test_unreachable_gateway_is_passed_over(gateways):
    gateways[0].script(*REQUESTS, Answer(b"done"))
    assert (await send(UNUSED_ADDRESS, gateways[0])).unwrap().body == b"done"


async def test_unreachable_gateways_did_not_run():
    failure = (await submit(UNUSED_ADDRESS)).unwrap_err()
    assert failure.outcome is Outcome.NOT_RUN
    assert failure.peer == UNUSED_ADDRESS


@pytest.mark.parametrize(
    "answer",
    [DROPPED, refuse("unavailable", 503, "unknown"), Answer(b"<html>", 503)],
)
async def test_request_is_not_resent_after_unknown(gateways, answer):
    first, second = gateways
    first.script(*REQUESTS, answer)
    failure = (await send(first, second)).unwrap_err()
    assert failure.outcome is Outcome.UNKNOWN
    assert len(first.received) == 1
    assert second.received == []


async def test_idempotent_request_is_resent_with_the_same_id(gateways):
    first, second = gateways
    first.script(*REQUESTS, DROPPED)
    second.script(*REQUESTS, Answer(b"done"))
    assert (await send(first, second, idempotent=True)).is_ok()
    ids = [gateway.received[0].headers["X-Request-Id"] for gateway in gateways]
    assert ids[0] == ids[1]


async def test_submission_is_resent_with_the_same_token(gateways):
    first, second = gateways
    first.script(*JOBS, DROPPED)
    second.script(*JOBS, ACCEPTED)
    assert (await submit(first, second)).unwrap().job == "j1"
    tokens = [gateway.received[0].headers["Idempotency-Key"] for gateway in gateways]
    assert tokens[0] == tokens[1]


async def test_refusal_after_unknown_stays_unknown(gateways):
    first, second = gateways
    first.script(*JOBS, DROPPED)
    second.script(*JOBS, refuse("overloaded", 429))
    failure = (await submit(first, second)).unwrap_err()
    assert failure.outcome is Outcome.UNKNOWN
    assert first.received[0].headers["Idempotency-Key"] in failure.reason


async def test_refusal_for_the_team_is_not_tried_elsewhere(gateways):
    first, second = gateways
    first.script(*JOBS, refuse("overloaded", 429))
    failure = (await submit(first, second)).unwrap_err()
    assert failure.code is ErrorCode.OVERLOADED
    assert second.received == []


async def test_replacement_is_not_resent_on_a_kept_connection(gateways):
    first, second = gateways
    first.script("GET", "/v1/settings", Answer({"version": 1, "tree": {}}))
    first.script("PUT", "/v1/settings", DROPPED)
    async with open_client([first, second]) as client:
        version = (await client.get_settings()).unwrap().version
        failure = (await client.put_settings(version, {})).unwrap_err()
    assert failure.outcome is Outcome.UNKNOWN
    assert [call.method for call in first.received] == ["GET", "PUT"]
    assert second.received == []


async def test_answer_in_another_form_is_a_protocol_failure(gateways):
    gateways[0].script(*JOBS, Answer({"job": "j1"}))
    failure = (await submit(gateways[0])).unwrap_err()
    assert failure.code is ErrorCode.PROTOCOL
    assert failure.outcome is Outcome.UNKNOWN


class RefusingTransport(Transport):
    """Refuses the first attempt and notes the times of all."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.times = []

    async def _try_gateway(self, call, gateway, ends_at):
        self.times.append(asyncio.get_running_loop().time())
        if len(self.times) > 1:
            return Ok("done")
        return Err(Refusal(make_overload(retry_after_ms=60_000), 429))


def make_overload(**fields):
    return Failure(code="overloaded", step="admit", reason="full", **fields)


@pytest.mark.looptime
@pytest.mark.parametrize(("deadline", "times"), [(59, [0]), (90, [0, 60])])
async def test_retry_waits_for_retry_after_within_the_deadline(deadline, times):
    transport = RefusingTransport(["g"], deadline_seconds=deadline, retries=1)
    result = await transport.send(Call("submit", "POST", "/v1/jobs"))
    assert transport.times == times
    assert result.is_ok() == (len(times) > 1)


async def test_retry_after_header_is_read(gateways):
    gateways[0].script(*JOBS, refuse("overloaded", 429, retry_after=60))
    assert (await submit(gateways[0])).unwrap_err().retry_after_ms == 60_000
