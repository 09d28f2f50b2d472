"""Decoding of the platform's rows, listings and submissions."""

import json

import pytest

from cactustiller.cell import Admitted, ListedEnd, RunEnd, admit_call
from cactustiller.fleet.desired import decode_desired, decode_submission
from cactustiller.fleet.workers import (
    MAX_LISTED_ENDS,
    decode_listing,
    decode_worker,
)

ENTRY = {
    "Service": "recon",
    "Address": "10.128.0.9:8080",
    "Zone": "a",
    "State": "ready",
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 1},
    "Labels": ["a", "r1-3"],
    "SeqNum": 4,
    "born": 17,
}
CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-1",
            "Host": "h.example",
            "PathPrefix": "/p/",
            "Service": "recon",
            "Priority": 1,
            "MaxAttempts": 4,
            "SlackFactor": 2.2,
            "TargetLatencyMs": 1000,
            "Recommendation": {"DecideMs": 480.0, "PeriodMs": 6.9, "ValidMs": 2000},
        },
        {
            "Name": "r-2",
            "Host": "h.example",
            "PathPrefix": "/p/q/",
            "Service": "recon",
            "Public": True,
        },
    ],
    "Services": [{"Name": "recon", "AdmissionCheck": False}],
    "Tenants": [
        {"Name": "t", "ApiKeys": ["k1"], "Weight": 19, "Cap": {"Cpu": 437888}},
    ],
}


def make_desired():
    return decode_desired(json.dumps(CONFIG).encode())


def test_worker_entry_is_decoded():
    info = decode_worker("i-1", json.dumps(ENTRY).encode())
    assert info.capacity == (16000, 32768, 1)
    assert (info.rack, info.born_ms, info.is_draining) == ("r1-3", 17, False)


@pytest.mark.parametrize(
    "change",
    [
        {"State": "confused"},
        {"State": None},
        {"Address": 7},
        {"Capacity": None},
        {"Service": ["x"]},
        {"Labels": [1]},
    ],
)
def test_invalid_worker_entry_is_skipped(change):
    assert decode_worker("i-1", json.dumps(ENTRY | change).encode()) is None


@pytest.mark.parametrize("value", [b"", b"\xff\x00", b"[]", b"7", b"{}"])
def test_unreadable_worker_entry_is_skipped(value):
    assert decode_worker("i-1", value) is None


def test_desired_state_is_decoded():
    desired = make_desired()
    assert desired.version == 7
    rules = desired.queues["r-1"].rules
    assert (rules.priority, rules.max_attempts, rules.needs_approval) == (1, 4, True)
    assert desired.teams["t"].limit == (437888, 0, 0)
    assert desired.keys == {"k1": "t"}


@pytest.mark.parametrize("value", [b"{}", b"[]", b'{"Version":1,"Routes":[{}]}'])
def test_invalid_desired_state_is_refused(value):
    with pytest.raises(ValueError, match="desired state"):
        decode_desired(value)


def test_longest_path_prefix_selects_the_queue():
    desired = make_desired()
    admitted = admit_call(desired, "h.example", "/p/q/0", "")
    assert isinstance(admitted, Admitted)
    assert (admitted.queue.name, admitted.subpath) == ("r-2", "0")
    assert admit_call(desired, "h.example", "/p/0", "nokey").value == "unknownKey"
    assert admit_call(desired, "other", "/p/0", "k1").value == "noQueue"


def test_submission_is_decoded():
    admitted = admit_call(make_desired(), "h.example", "/p/" + "0" * 16, "k1")
    body = {
        "Spec": "text",
        "Steps": [
            {"Count": 4, "Cpu": 500, "MemMb": 256, "EstimateMs": 900, "Gang": True},
            {"Count": 2, "After": [0], "AntiAffinity": 1, "Affinity": "r1-3"},
        ],
    }
    spec = decode_submission("0" * 16, admitted, json.dumps(body).encode(), 5)
    first, second = spec.steps
    assert (first.count, first.amounts, first.is_gang) == (4, (500, 256, 0), True)
    assert (second.after, second.max_per_worker) == ((0,), 1)
    assert second.data_rack == "r1-3"
    assert (spec.team, spec.accepted_ms) == ("t", 5)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"Steps":[]}', b'{"Steps":[7]}'])
def test_invalid_submission_is_refused(body):
    admitted = admit_call(make_desired(), "h.example", "/p/" + "0" * 16, "k1")
    with pytest.raises(ValueError):
        decode_submission("0" * 16, admitted, body, 5)


def test_listing_is_decoded():
    listing = decode_listing(
        {
            "ClockMs": 482113,
            "born": 3,
            "ActiveRuns": [["j.0.1.17", 2, "cp", 41], ["j.0.1.18", 2, "", 0, 7]],
            "EndedRuns": [[58, "j.0.1.9", 1, "broken", ""]],
        }
    )
    assert listing.active[0].progress == 41
    assert listing.active[1].load == 7
    assert listing.ended == (ListedEnd(58, "j.0.1.9", 1, RunEnd.GANG_BROKEN, ""),)


def test_listing_with_as_many_ends_as_fit_is_incomplete():
    # Guards against runs that count as missing since their ends are in a later listing.
    rows = [[n, f"j.0.0.{n}", 1, "done", ""] for n in range(1, MAX_LISTED_ENDS + 1)]
    content = {"ClockMs": 1, "EndedRuns": rows}
    assert not decode_listing(content).is_complete
    assert decode_listing(content | {"EndedRuns": rows[1:]}).is_complete
