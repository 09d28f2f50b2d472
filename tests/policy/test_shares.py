"""Fair shares, the memory of what is owed, and shares of peers' teams."""

import numpy as np
import pytest

from cactustiller.policy import TeamSnapshot
from cactustiller.policy.shares import ShareLedger, compute_fair_shares

from .builders import NOW, make_job, make_planner, make_resources, make_worker


def test_entitlements_follow_weights_and_leave_nothing_unused():
    demands = np.array([[1.0, 0.1, 0], [1.0, 0.1, 0], [0.1, 0.01, 0]])
    found = compute_fair_shares(np.array([1.0, 2.0, 1.0]), demands)
    assert found == pytest.approx([0.3, 0.6, 0.1], abs=1e-3)


def test_dominant_resources_share_what_the_other_leaves():
    demands = np.array([[1.0, 0.2, 0], [0.2, 1.0, 0]])
    found = compute_fair_shares(np.ones(2), demands)
    assert found == pytest.approx([1 / 1.2] * 2, abs=1e-3)


def test_full_cell_is_shared_by_weight():
    jobs = [make_job("a", "t-0", 20), make_job("b", "t-1", 20)]
    teams = [TeamSnapshot("t-0", 1.0), TeamSnapshot("t-1", 3.0)]
    plan = make_planner([make_worker()], jobs, teams).plan(NOW)
    placed = [item.job for item in plan.placements]
    assert (placed.count("a"), placed.count("b")) == (2, 6)


def test_team_that_was_short_is_made_up_to_and_then_forgotten():
    ledger = ShareLedger()
    teams = {
        "short": (1.0, (0, 0, 0), (100, 0, 0)),
        "long": (1.0, (100, 0, 0), (100, 0, 0)),
    }
    ledger.advance(0.0, 600.0, teams, np.array([100, 100, 1]))
    ledger.advance(300.0, 600.0, teams, np.array([100, 100, 1]))
    assert ledger.deficits["short"] == pytest.approx(0.5 * (1 - np.exp(-0.5)))
    assert ledger.deficits["long"] == pytest.approx(-ledger.deficits["short"])
    even = {name: (1.0, (50, 0, 0), (100, 0, 0)) for name in teams}
    ledger.advance(6000.0, 600.0, even, np.array([100, 100, 1]))
    assert abs(ledger.deficits["short"]) < 0.001


def test_owed_share_decides_who_goes_first():
    jobs = [make_job("a", "t-0", 8), make_job("b", "t-1", 8)]
    teams = [TeamSnapshot("t-0"), TeamSnapshot("t-1", deficit=0.5)]
    planner = make_planner([make_worker()], jobs, teams)
    planner.state.ledger.deficits["t-1"] = 0.5
    placed = [item.job for item in planner.plan(NOW).placements]
    assert placed.count("b") >= 6


def test_capacity_is_left_for_a_team_of_another_member():
    jobs = [make_job("a", "t-0", 8)]
    remote = TeamSnapshot("t-1", waiting=make_resources(8000, 8192), is_remote=True)
    plan = make_planner([make_worker()], jobs, [remote]).plan(NOW)
    assert len(plan.placements) == 4
    assert "owed more" in plan.waits[0].reason


def test_team_beyond_its_share_waits_a_while_for_teams_of_peers():
    jobs = [make_job("a", "t-0", 8)]
    stale = TeamSnapshot(
        "t-1",
        used=make_resources(4000, 4096),
        waiting=make_resources(8000, 8192),
        is_remote=True,
    )
    planner = make_planner([make_worker()], jobs, [stale])
    assert len(planner.plan(NOW).placements) == 4
    assert not planner.plan(NOW + 1.0).placements
    assert len(planner.plan(NOW + 3.0).placements) == 4
