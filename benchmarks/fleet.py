"""Cells, keys and load processes that the benchmarks of the gateway share."""

import asyncio
import json
import os
import sys
from typing import NamedTuple

import aiohttp

from cactustiller.ownership.metrics import create_histogram
from demo.histories import read_json
from demo.layout import BACKENDS_OFFSET

SERVICE = "echo"
TEAM = "bench"
CHANGES = {"start": 1, "end": -1, "refused": 0}


class LoadResult(NamedTuple):
    """Merged results of load processes; times in milliseconds."""

    requests_per_second: float
    p50_ms: float
    p99_ms: float
    statuses: dict


async def run_load(urls, headers, callers, seconds, processes=1, warm_up_seconds=1.0):
    """Run load processes that share the callers; return their `LoadResult`."""
    counts = [callers // processes] * processes
    counts[0] += callers - sum(counts)
    outputs = await asyncio.gather(
        *(_run_process(urls, headers, n, seconds, warm_up_seconds) for n in counts)
    )
    histogram = create_histogram("request")
    statuses = {}
    for output in outputs:
        histogram.decode_and_add(output["histogram"])
        for status, count in output["statuses"].items():
            statuses[status] = statuses.get(status, 0) + count
    return LoadResult(
        histogram.get_total_count() / seconds,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        statuses,
    )


async def _run_process(urls, headers, callers, seconds, warm_up_seconds):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.load",
        ",".join(urls),
        *("--callers", str(callers)),
        *("--seconds", str(seconds)),
        *("--warm-up-seconds", str(warm_up_seconds)),
        *("--headers", json.dumps(headers)),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return json.loads(output)


class Operator:
    """Operator's calls to one gateway."""

    def __init__(self, cell):
        self.gateways = [
            address
            for name, address in cell.addresses.items()
            if name.startswith("gateway")
        ]
        self._headers = {"Authorization": f"Bearer {cell.operator_key}"}
        self._session = None

    async def __aenter__(self):
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *exception):
        await self._session.close()

    async def call(self, method, path, body=None):
        """Return the JSON answer; raises `RuntimeError` if it is refused."""
        url = f"http://{self.gateways[0]}{path}"
        async with self._session.request(
            method, url, json=body, headers=self._headers
        ) as response:
            answer = await response.json()
            if response.status >= 300:
                raise RuntimeError(f"{method} {path}: {answer}")
            return answer

    async def add_team(self):
        """Create the team; return the headers of its first key."""
        await self.call("POST", "/v1/teams", {"team": TEAM, "values": {}})
        return await self.add_key("first")

    async def add_key(self, name):
        """Create a key that is in force everywhere; return its headers."""
        created = await self.call("POST", "/v1/keys", {"team": TEAM, "name": name})
        headers = {"Authorization": f"Bearer {created['key']}"}
        self.key_id = created["key_id"]
        while not all([await self.is_accepted(g, headers) for g in self.gateways]):
            await asyncio.sleep(0.05)
        return headers

    async def is_accepted(self, gateway, headers):
        """Return whether a gateway accepts a request under a key."""
        url = make_url(gateway)
        async with self._session.post(url, data=b"x", headers=headers) as response:
            await response.read()
            return response.status not in (401, 403)


def make_url(gateway):
    """Return the address for requests at a gateway."""
    return f"http://{gateway}/v1/requests/{SERVICE}"


def list_executor_urls(cell):
    """Return the addresses of all executors, for calls without a gateway."""
    base = cell.options.base_port + BACKENDS_OFFSET
    return [
        f"http://127.0.0.1:{base + number}/v1/run"
        for number in range(cell.options.backends)
    ]


async def read_history(cell):
    """Return the events of the backend stand-in."""
    answer = await read_json(cell.addresses["backends"], "/history")
    return answer["events"]


def measure_busy_slots(events, started, ended):
    """Return the mean number of busy slots between two times of the history."""
    busy, total, last = 0, 0.0, started
    for event in sorted(events, key=lambda event: event["at"]):
        at = min(max(event["at"], started), ended)
        total += busy * (at - last)
        last = at
        busy += CHANGES[event["event"]]
    return (total + busy * (ended - last)) / (ended - started)


def describe_machine():
    """Return the conditions of the measurement."""
    load = os.getloadavg()
    return {"processors": os.cpu_count(), "load_1m": round(load[0], 1)}
