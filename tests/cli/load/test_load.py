import asyncio
import json
from pathlib import Path
from types import SimpleNamespace

import pytest
from result import Ok

from cactustiller.cli.load import Replay, plan_arrivals, read_workload, summarize
from cactustiller.cli.load.outcomes import Result
from cactustiller.cli.load.picture import REMEDY, PictureError, load_pyplot
from cactustiller.cli.load.preparation import add_workload
from cactustiller.cli.replies import JobStatus

EXAMPLES = Path(__file__).parents[3] / "examples"
TREE = {"values": {}, "sites": {"demo": {"cells": {"main": {"teams": {}}}}}}


def build_workload(**changes):
    job = {"name": "build", "teams": ["red", "blue"], "per_minute": 600, **changes}
    text = {
        "name": "small",
        "duration_seconds": 10,
        "drain_seconds": 1,
        "teams": [{"name": "red"}, {"name": "blue"}],
        "jobs": [job],
    }
    return read_workload(json.dumps(text), "test").unwrap()


class SlowCell:
    """Answers each submission after `seconds`."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.sent_at = []
        self.cancelled = []

    async def submit_job(self, job):
        self.sent_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.seconds)
        return Ok(SimpleNamespace(job=f"j-{len(self.sent_at)}"))

    async def get_job(self, job):
        return Ok(
            JobStatus(
                job=job,
                state="succeeded",
                submitted_at=100.0,
                ended_at=104.0,
                first_start_seconds=1.0,
                last_start_seconds=2.0,
            )
        )

    async def cancel_job(self, job):
        self.cancelled.append(job)
        return Ok(None)

    async def get_stats(self):
        return Ok(SimpleNamespace())


@pytest.mark.looptime
async def test_slow_cell_does_not_slow_the_arrivals():
    workload = build_workload(deadline_seconds=6.0).with_changes(drain_seconds=5)
    arrivals = plan_arrivals(workload)
    cell = SlowCell(3.0)
    replay = Replay(cell, cell, arrivals, workload)
    await replay.run()
    begin = cell.sent_at[0] - arrivals[0].at
    due = [arrival.at for arrival in arrivals]
    assert [at - begin for at in cell.sent_at] == pytest.approx(due, abs=0.01)
    figures = summarize(workload, replay, {})["loads"]["build"]
    # Counted from when the job was due: 3 s to the answer, then 1 s to the start.
    assert figures["first_start_ms"]["p50"] == pytest.approx(4000, rel=0.01)
    assert figures["missed_deadlines"] == len(arrivals)


@pytest.mark.looptime
async def test_answer_that_never_comes_is_pending_not_lost():
    workload = build_workload()
    cell = SlowCell(1000.0)
    replay = Replay(cell, cell, plan_arrivals(workload), workload)
    await replay.run()
    figures = summarize(workload, replay, {})["loads"]["build"]
    assert figures["results"] == {Result.PENDING: len(replay.tracked)}


@pytest.mark.looptime
async def test_cancels_when_due():
    workload = build_workload(cancelled=1.0, cancel_after_seconds=0.5)
    cell = SlowCell(0.1)
    await Replay(cell, cell, plan_arrivals(workload), workload).run()
    assert len(cell.cancelled) == len(cell.sent_at)


def test_same_seed_same_arrivals_and_rates_as_described():
    workload = build_workload(skew=1.0, wrong_estimates=0.5, wrong_factor=3)
    arrivals = plan_arrivals(workload)
    assert arrivals == plan_arrivals(workload)
    assert arrivals != plan_arrivals(workload.with_changes(seed=1))
    assert 70 < len(arrivals) < 130
    red = sum(arrival.team == "red" for arrival in arrivals)
    assert 0.5 < red / len(arrivals) < 0.85
    wrong = sum("actual_seconds" in a.job.template.payload for a in arrivals)
    assert 0.3 < wrong / len(arrivals) < 0.7


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.json")), ids=lambda p: p.stem)
def test_examples_can_be_read_and_planned(path):
    workload = read_workload(path.read_text(), path).unwrap()
    assert plan_arrivals(workload)


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("{", "load.json"),
        ('{"name": "x", "duration_seconds": 0, "teams": []}', "duration_seconds"),
        (
            '{"name": "x", "duration_seconds": 1, "teams": [{"name": "a"}],'
            ' "jobs": [{"name": "j", "teams": ["b"], "per_minute": 1}]}',
            "b used but not described",
        ),
        (
            '{"name": "x", "duration_seconds": 1, "teams": [{"name": "a"}],'
            ' "jobs": [{"name": "j", "teams": ["a"], "per_minute": 1,'
            ' "tasks": [4, 2]}]}',
            "jobs.0.tasks",
        ),
    ],
)
def test_faulty_file_is_named_with_the_place(text, place):
    lines = read_workload(text, "load.json").unwrap_err()
    assert any(place in line for line in lines)


def test_what_stands_in_the_settings_is_kept():
    cell = {"teams": {"red": {"values": {"limit_tasks": 3}, "queues": {"own": {}}}}}
    tree = {"sites": {"demo": {"cells": {"main": cell}}}, "values": {"share_weight": 2}}
    changed = add_workload(tree, build_workload()).unwrap()
    teams = changed["sites"]["demo"]["cells"]["main"]["teams"]
    assert teams["red"]["values"] == {"limit_tasks": 3, "share_weight": 1.0}
    assert set(teams["red"]["queues"]) == {"own", "build"}
    assert changed["values"] == {"share_weight": 2}
    assert add_workload(changed, build_workload()).unwrap() == changed


def test_several_cells_are_refused():
    tree = {"sites": {"demo": {"cells": {"a": {}, "b": {}}}}}
    assert "2 cells" in add_workload(tree, build_workload()).unwrap_err().reason


def test_picture_without_matplotlib_names_the_remedy(monkeypatch):
    monkeypatch.setitem(__import__("sys").modules, "matplotlib", None)
    with pytest.raises(PictureError) as error:
        load_pyplot()
    assert str(error.value) == REMEDY
