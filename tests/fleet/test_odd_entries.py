"""Odd entries of other writers in the list of executors."""

import asyncio

import orjson
import pytest

from cactustiller.cell import RowKey, admit_call
from cactustiller.cell.members.followers import WorkerRegistry
from cactustiller.fleet.client import HttpClient
from cactustiller.fleet.desired import decode_submission
from cactustiller.fleet.fields import MAX_NUMBER
from cactustiller.fleet.workers import (
    MAX_REASON_CHARACTERS,
    REGISTRY_PART,
    REGISTRY_TABLE,
    decode_worker,
)
from cactustiller.model import ErrorCode
from standins.fleet.store import Store, StoreClient

from .test_decoding import ENTRY, make_desired

# Levels around the limits of the JSON parser (1,024) and of Python (1,000).
DEPTHS = (100, 950, 990, 1000, 1010, 1020, 1030, 10_000)
LARGE_NUMBERS = (b"9" * 400, b"1e999", b"1e308", b"18446744073709551616")
FIELDS = ("Service", "Address", "Zone", "State", "Capacity", "Labels", "born")
ODD_ADDRESSES = (
    "10.0.0.1:99999",
    "10.0.0.1:65536",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0.1:80/path",
    "10.0.0.1:\uff18\uff10",
    "user@10.0.0.1:80",
    "name.example:80",
    "10.0.0.1",
    ":80",
    "[::1:80",
)


def nest(levels):
    """Return a JSON array with that many levels."""
    return b"[" * levels + b"]" * levels


def replace_field(field, value):
    """Return an entry with a field replaced by JSON text."""
    fields = {name: orjson.dumps(item) for name, item in ENTRY.items()} | {field: value}
    members = (b'"%b":%b' % (name.encode(), item) for name, item in fields.items())
    return b"{%b}" % b",".join(members)


def make_odd_entries():
    """Return odd entries as ``(id, value)``."""
    deep = [
        (f"{field}-{levels}-levels", replace_field(field, nest(levels)))
        for field in FIELDS
        for levels in DEPTHS
    ]
    large = [
        (f"{field}-{number[:12].decode()}", replace_field(field, number))
        for field in ("born", "ColdLeftMs", "Capacity")
        for number in LARGE_NUMBERS
    ]
    amounts = [
        (
            f"amount-{number[:12].decode()}",
            replace_field("Capacity", b'{"Cpu":%b}' % number),
        )
        for number in (*LARGE_NUMBERS, b"%d" % MAX_NUMBER)
    ]
    addresses = [
        (f"address-{index}", replace_field("Address", orjson.dumps(address)))
        for index, address in enumerate(ODD_ADDRESSES)
    ]
    whole = [(f"whole-{levels}-levels", nest(levels)) for levels in DEPTHS]
    return [*deep, *large, *amounts, *addresses, *whole, ("no-utf-8", b"\xff{")]


ODD_ENTRIES = make_odd_entries()


@pytest.mark.parametrize(
    "value",
    [entry[1] for entry in ODD_ENTRIES],
    ids=[entry[0] for entry in ODD_ENTRIES],
)
def test_odd_entry_names_no_worker(value):
    # Guards against an exception of the decoder, and against calls to an address that
    # is none.
    assert decode_worker("i-1", value) is None


@pytest.mark.looptime
async def test_odd_entries_do_not_stop_the_list_of_workers():
    # Guards against a list that is not followed any more, or never read by a new owner,
    # since one of its entries cannot be decoded.
    store = Store()
    for name, value in ODD_ENTRIES:
        store.put(RowKey(REGISTRY_TABLE, REGISTRY_PART, name), value)
    store.put(RowKey(REGISTRY_TABLE, REGISTRY_PART, "i-1"), orjson.dumps(ENTRY))
    registry = WorkerRegistry(
        StoreClient(store), REGISTRY_TABLE, REGISTRY_PART, decode_worker, lambda: None
    )
    registry.start()
    async with asyncio.timeout(5.0):
        await registry.wait_until_read()
    assert list(registry.workers) == ["i-1"]
    store.put(RowKey(REGISTRY_TABLE, REGISTRY_PART, "i-2"), orjson.dumps(ENTRY))
    await asyncio.sleep(1.0)
    assert sorted(registry.workers) == ["i-1", "i-2"]
    await registry.stop()


@pytest.mark.looptime
async def test_unexpected_error_of_the_decoder_hides_only_its_entry():
    # Guards against the next kind of odd entry that the decoder does not foresee.
    def decode(key, value):
        if key == "odd":
            raise RecursionError
        return decode_worker(key, value)

    store = Store()
    for key in ("odd", "i-1"):
        store.put(RowKey(REGISTRY_TABLE, REGISTRY_PART, key), orjson.dumps(ENTRY))
    registry = WorkerRegistry(
        StoreClient(store), REGISTRY_TABLE, REGISTRY_PART, decode, lambda: None
    )
    registry.start()
    async with asyncio.timeout(5.0):
        await registry.wait_until_read()
    assert list(registry.workers) == ["i-1"]
    await registry.stop()


def test_reason_of_an_odd_entry_is_short(capsys):
    # Guards against log lines of 64 KiB, each time that another entry changes.
    decode_worker("i-1", replace_field("State", orjson.dumps("x" * 60_000)))
    assert len(capsys.readouterr().out) < 2 * MAX_REASON_CHARACTERS


@pytest.mark.parametrize("levels", DEPTHS)
def test_deeply_nested_answer_is_a_failure(levels):
    # Guards against an exception where the content of a refusal is quoted.
    content = []
    for _ in range(levels):
        content = [content]
    failure = HttpClient("10.0.0.1:80", 1).make_protocol_failure("hold", 500, content)
    assert failure.unwrap_err().code is ErrorCode.PROTOCOL


@pytest.mark.parametrize("levels", DEPTHS)
def test_deeply_nested_job_is_refused(levels):
    # Guards against an exception in the handler of a request.
    admitted = admit_call(make_desired(), "h.example", "/p/" + "0" * 16, "k1")
    with pytest.raises(ValueError, match=r"."):
        decode_submission("0" * 16, admitted, b'{"Spec":%b}' % nest(levels), 5)
