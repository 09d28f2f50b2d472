import json

import pytest

from cactustiller.cli.exits import Exit
from tests.cli.fakes import Answer, refuse

ROW = {"zone": "b", "evacuated": True, "members": 2, "workers": 3, "executors": 1}
STATE = {"version": 7, "zone": "b", "evacuated": True, "workers": 3, "executors": 1}


def test_zones_are_listed(run, gateways):
    """Guards against a listing that hides which zones are evacuated."""
    gateways[0].script("GET", "/v1/zones", Answer({"zones": [ROW]}))
    assert json.loads(run("zones", "--json").stdout) == {"zones": [ROW]}
    header, row = run("zones").stdout.splitlines()
    assert header.split() == ["zone", "evacuated", "members", "workers", "executors"]
    assert row.split() == ["b", "true", "2", "3", "1"]


@pytest.mark.parametrize("verb", ["evacuate", "restore"])
def test_zone_is_changed_with_a_note(run, gateways, verb):
    """Guards against a verb that calls the other route or drops the note."""
    gateways[0].script("POST", f"/v1/zones/b/{verb}", Answer(STATE))
    result = run(verb, "b", "--note", "power work", "--json")
    assert json.loads(result.stdout) == STATE
    (call,) = gateways[0].received
    assert json.loads(call.body) == {"note": "power work"}


def test_change_is_repeated_at_the_next_gateway(run, gateways):
    """Guards against an unknown outcome of a change that may be repeated."""
    gateways[0].script("POST", "/v1/zones/b/evacuate", Answer(drops=True))
    gateways[1].script("POST", "/v1/zones/b/evacuate", Answer(STATE))
    assert run("evacuate", "b").exit_code == 0


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (refuse("notFound", 404), Exit.NOT_FOUND),
        (refuse("invalid", 400), Exit.USAGE),
        (refuse("forbidden", 403), Exit.DENIED),
        (refuse("conflict", 409), Exit.CONFLICT),
        (refuse("unavailable", 504, "unknown"), Exit.UNKNOWN),
    ],
)
def test_exit_code_follows_the_failure(run, gateways, answer, code):
    """Guards against an evacuation that failed and looks confirmed."""
    for gateway in gateways:
        gateway.script("POST", "/v1/zones/b/evacuate", answer)
    result = run("evacuate", "b")
    assert result.exit_code == code
    assert result.stdout == ""
