from pathlib import Path

from cactustiller.settings import load_instance

DATA = Path(__file__).parent / "data"


def load_reasons(path):
    errors = load_instance(path).unwrap_err()
    return {error.path: error.reason for error in errors}


def test_whole_file_loads_with_defaults():
    settings = load_instance(DATA / "instance.json").unwrap()
    assert settings.gateway.http_port == 21000
    assert settings.timing.lease_seconds == 3
    assert settings.timing.heartbeat_seconds == 0.5


def test_every_problem_is_listed_in_one_line():
    reasons = load_reasons(DATA / "faulty.json")
    assert set(reasons) == {
        "cell",
        "gateway.host",
        "gateway.http_port",
        "gateway.http_prt",
        "gateway.peer_port",
        "platform.table.0",
    }
    assert reasons["cell"] == "missing"
    assert reasons["gateway.http_prt"] == "unknown name; did you mean http_port?"
    assert "not an IP address" in reasons["gateway.host"]
    for error in load_instance(DATA / "faulty.json").unwrap_err():
        assert str(error).startswith(f"{DATA / 'faulty.json'}:{error.path}: ")
        assert "\n" not in str(error)


def test_syntax_error_has_line_and_column():
    assert list(load_reasons(DATA / "syntax.json")) == ["line 3 column 3"]


def test_absent_file_and_no_daemon_are_errors(tmp_path):
    (absent,) = load_instance(tmp_path / "absent.json").unwrap_err()
    assert str(absent).startswith(f"{tmp_path / 'absent.json'}: cannot be read")
    text = (DATA / "instance.json").read_text()
    lines = [line for line in text.splitlines() if '"host"' not in line]
    (tmp_path / "none.json").write_text("\n".join(lines))
    assert load_reasons(tmp_path / "none.json")[""] == (
        "gateway or scheduler must be present"
    )


def test_empty_table_list_is_refused(tmp_path):
    text = (DATA / "instance.json").read_text()
    path = tmp_path / "empty.json"
    path.write_text(text.replace('"127.0.0.1:21010", "[::1]:21011"', ""))
    assert load_reasons(path) == {"platform.table": "must not be empty"}


def test_lease_shorter_than_two_heartbeats_is_refused(tmp_path):
    text = (DATA / "instance.json").read_text()
    path = tmp_path / "short.json"
    path.write_text(text.replace('"lease_seconds": 3', '"lease_seconds": 0.9'))
    assert "heartbeat" in load_reasons(path)["timing"]
