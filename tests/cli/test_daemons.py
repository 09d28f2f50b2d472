import asyncio
import json
import os
import signal

import pytest
import structlog
import typer
from typer.testing import CliRunner

from cactustiller.cli import daemons
from cactustiller.cli.logs import configure_logs


@pytest.fixture(autouse=True)
def reset_logs():
    yield
    structlog.reset_defaults()


def test_each_settings_error_is_one_line(tmp_path):
    file = tmp_path / "instance.json"
    file.write_text('{"instance": 3, "zoned": "a"}')
    app = typer.Typer()
    app.command()(daemons.serve_gateway_daemon)
    result = CliRunner().invoke(app, ["--settings", str(file)])
    lines = result.stderr.splitlines()
    assert result.exit_code == 2
    assert any("zoned: unknown name" in line for line in lines)
    assert all(line.startswith(f"{file}:") for line in lines)


async def test_first_signal_stops_and_second_exits():
    exits = asyncio.Queue()

    async def serve(settings, stop):
        os.kill(os.getpid(), signal.SIGTERM)
        await stop.wait()
        assert exits.empty()
        os.kill(os.getpid(), signal.SIGINT)
        assert await exits.get() == 128 + signal.SIGINT

    await daemons.serve_until_signal(serve, None, exits.put_nowait)
    assert exits.empty()


def test_log_lines_are_json_and_name_the_member(capsys):
    configure_logs("i1/gateway", "info")
    structlog.get_logger().debug("hidden")
    structlog.get_logger().info("placed", worker="w1")
    line = json.loads(capsys.readouterr().err)
    assert line.pop("time")
    assert line == {
        "level": "info",
        "event": "placed",
        "member": "i1/gateway",
        "worker": "w1",
    }
