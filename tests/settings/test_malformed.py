"""Malformed settings files: errors with the file's name, never an exception."""

import json
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cactustiller.settings import check_file, load_instance, parse_tree
from cactustiller.settings.parsing import parse_json
from tests.fleet.malformed import malform

DATA = Path(__file__).parent / "data"
fuzz = settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


def read(name):
    return parse_json((DATA / name).read_text(), name).unwrap()


def write(directory, data):
    path = directory / "settings.json"
    path.write_bytes(data)
    return path


def check_errors(answer, path):
    if answer.is_ok():
        return
    assert answer.unwrap_err()
    assert all(str(path) in str(error) for error in answer.unwrap_err())


def check_all(path):
    check_errors(load_instance(path), path)
    check_errors(check_file(path), path)


@fuzz
@given(content=malform(read("instance.json")))
def test_malformed_instance_file_is_an_error(tmp_path, content):
    check_all(write(tmp_path, json.dumps(content).encode()))


@fuzz
@given(content=malform(read("tree.json")))
def test_malformed_tree_is_an_error(tmp_path, content):
    check_all(write(tmp_path, json.dumps(content).encode()))
    check_errors(parse_tree(json.dumps(content), "body"), "body")


@fuzz
@given(data=st.binary(max_size=200))
def test_bytes_are_an_error(tmp_path, data):
    check_all(write(tmp_path, data))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe\x00",
        b"[" * 100_000,
        b'{"a":' * 50_000,
        b'{"a": 1e999}',
        b'{"a": ' + b"9" * 10_000 + b"}",
        b'{"a": "\\ud800"}',
        b'{"\\ud800": 1}',
        b"/* no end",
        b"NaN",
    ],
)
def test_odd_file_is_an_error(tmp_path, data):
    check_all(write(tmp_path, data))
    check_errors(parse_tree(data.decode(errors="replace"), "body"), "body")


@pytest.mark.parametrize("name", ["instance.json", "tree.json"])
def test_truncated_file_is_an_error(tmp_path, name):
    text = (DATA / name).read_bytes()
    for length in range(0, len(text), 7):
        check_all(write(tmp_path, text[:length]))
