"""Tests of single requests at and over each limit of the desired state."""

import orjson
import pytest

from standins.fleet.processes import ProcessCell

from .requests import make_chunked_request, make_head, make_request, pad_body, send

pytestmark = pytest.mark.timeout(60)

HEADER_BYTES = 16_384
BODY_BYTES = 262_144
CLIENT_LIMITS = {
    "MaxHeaderBytes": HEADER_BYTES,
    "MaxBodyBytes": BODY_BYTES,
    "HeaderTimeoutMs": 3_000,
    "IdleTimeoutMs": 15_000,
}


def make_id(number):
    return f"{number:016x}"


def fill_head(job, line):
    """Return header lines that fill the head of a submission to its limit."""
    used = len(make_request(job, body=b"").partition(b"\r\n")[2])
    # A body of 100 bytes, or more, has a length of two digits more.
    room = HEADER_BYTES - used - 2
    return [line] * (room // (len(line) + 2))


@pytest.fixture
async def cell(tmp_path):
    async with ProcessCell(
        tmp_path, members=1, workers=2, task_seconds=0.1, client_limits=CLIENT_LIMITS
    ) as cell:
        await cell.wait_for_owner()
        yield cell


async def send_all(cell, requests):
    """Return the statuses of requests, one after another."""
    return [(await send(cell.frontends["m0"], request))[0] for request in requests]


async def test_requests_at_the_limits_are_served(cell):
    (long_line,) = [f"X-Long: {'a' * 15_000}"]
    requests = [
        make_request(make_id(1), long_line),
        make_request(make_id(2), *fill_head(make_id(2), "a:")),
        make_request(make_id(3), body=pad_body(BODY_BYTES)),
        make_chunked_request(make_id(4), pad_body(BODY_BYTES), 4096),
        make_chunked_request(make_id(5), pad_body(BODY_BYTES), 1),
        b"\r\n\r\n" + make_request(make_id(6)),
    ]
    assert await send_all(cell, requests) == [200] * len(requests)
    for number in range(1, len(requests) + 1):
        await cell.wait_for_state(make_id(number), "completed")


async def test_jobs_over_the_limits_are_refused_and_never_run(cell):
    refused = [
        {"Spec": "a" * 4001, "Steps": [{"Count": 1, "Cpu": 100}]},
        # Fits into a request, but not into a row of the store.
        {"Steps": [{"Count": 1, "Cpu": 100, "Image": "a" * 70_000}]},
        {"Steps": [{"Count": 1, "Cpu": 100}, {"After": [0] * 40_000}]},
    ]
    requests = [
        make_request(make_id(number), body=orjson.dumps(job))
        for number, job in enumerate(refused, 1)
    ]
    assert await send_all(cell, requests) == [400] * len(requests)
    for number in range(1, len(requests) + 1):
        assert (await cell.call("GET", make_id(number), "m0"))[0] == 410


async def test_requests_over_the_limits_are_refused_and_never_run(cell):
    refused = {
        make_request(make_id(1), f"X-Long: {'a' * HEADER_BYTES}"): 431,
        make_request(make_id(2), *(["a: b"] * 4000)): 431,
        make_request(make_id(3), body=pad_body(BODY_BYTES + 1)): 413,
        make_chunked_request(make_id(4), pad_body(BODY_BYTES + 1), 4096): 413,
        make_request(make_id(5), "Content-Encoding: gzip"): 415,
        make_request(make_id(6), "Transfer-Encoding: chunked"): 400,
        make_head(make_id(7), "Content-Length: 1", "Content-Length: 2")
        + b"\r\n\r\n{}": (400),
        make_head(make_id(8), "Transfer-Encoding: chunked") + b"\r\n\r\nxyz\r\n": 400,
        b"\r\n" * HEADER_BYTES + make_request(make_id(9)): 431,
    }
    assert await send_all(cell, refused) == list(refused.values())
    for number in range(1, len(refused) + 1):
        assert (await cell.call("GET", make_id(number), "m0"))[0] == 410
