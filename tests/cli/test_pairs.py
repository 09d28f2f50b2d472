import json

import pytest

from cactustiller.cli.pairs import PairState, find_pairs
from cactustiller.cli.story import read_lines

from .log_lines import make_line

LEARNED, DROPPED = "interference_learned", "interference_dropped"


def make_pair_line(second, event, affected="decode", interfering="index", **fields):
    fields = {"slowdown": 1.8, "confidence": 5.1, "samples": 24} | fields
    return make_line(
        second, event, affected=affected, interfering=interfering, **fields
    )


def find(*text):
    return find_pairs(list(read_lines(text)))


def test_a_learned_pair_is_listed_with_its_age():
    (pair,) = find(make_pair_line(10, LEARNED), make_line(14.5, "run_ended"))
    assert (pair.affected, pair.interfering) == ("decode", "index")
    assert (pair.slowdown, pair.samples, pair.age_seconds) == (1.8, 24, 4.5)
    assert pair.state is PairState.KNOWN


def test_the_latest_line_decides_whatever_the_order_of_the_files():
    dropped = make_pair_line(20, DROPPED, reason="no effect")
    (pair,) = find(dropped, make_pair_line(10, LEARNED))
    assert (pair.state, pair.reason) == (PairState.DROPPED, "no effect")


def test_pairs_of_an_earlier_owner_are_forgotten():
    # A new owner learns anew, so these pairs are not kept apart any more.
    lines = [
        make_pair_line(10, LEARNED),
        make_pair_line(11, LEARNED, affected="train"),
        make_line(12, "takeover", "m1", epoch=2),
        make_pair_line(30, LEARNED, affected="train"),
    ]
    states = {pair.affected: pair.state for pair in find(*lines)}
    assert states == {"decode": PairState.FORGOTTEN, "train": PairState.KNOWN}


def test_the_two_directions_of_a_pair_are_two_pairs():
    lines = [
        make_pair_line(10, LEARNED, "a", "b"),
        make_pair_line(11, LEARNED, "b", "a"),
    ]
    assert len(find(*lines)) == 2


def test_a_line_without_figures_is_listed():
    (pair,) = find(make_line(10, LEARNED, affected="a", interfering="b"))
    assert pair.slowdown is None


@pytest.fixture
def log_file(tmp_path):
    path = tmp_path / "m0.log"
    lines = [
        make_pair_line(10, LEARNED, "a", "b"),
        "no line of a log",
        make_pair_line(11, LEARNED, "c", "d"),
        make_pair_line(12, DROPPED, "c", "d", reason="no evidence"),
    ]
    path.write_text("\n".join(lines))
    return path


def test_known_pairs_are_printed(run, log_file):
    result = run("interference", str(log_file))
    assert result.exit_code == 0
    assert "1.8" in result.stdout
    assert "no evidence" not in result.stdout


def test_dropped_pairs_are_printed_on_request(run, log_file):
    result = run("interference", str(log_file), "--all", "--json")
    states = {
        pair["affected"]: pair["state"] for pair in json.loads(result.stdout)["pairs"]
    }
    assert states == {"a": "known", "c": "dropped"}


def test_a_log_without_pairs_is_no_error(run, tmp_path):
    path = tmp_path / "m0.log"
    path.write_text(make_line(1, "started"))
    result = run("interference", str(path))
    assert (result.exit_code, result.stdout) == (0, "no pair is known\n")


def test_a_missing_file_is_a_usage_error(run, tmp_path):
    assert run("interference", str(tmp_path / "none.log")).exit_code == 2
