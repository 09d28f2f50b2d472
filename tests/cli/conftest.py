import pytest
from typer.testing import CliRunner

from cactustiller.cli.main import app
from tests.cli.fakes import FakeGateway


@pytest.fixture
def gateways():
    pair = FakeGateway(), FakeGateway()
    for gateway in pair:
        gateway.start()
    yield pair
    for gateway in pair:
        gateway.stop()


@pytest.fixture
def run(gateways, monkeypatch):
    monkeypatch.setenv("CACTUSTILLER_KEY", "ct_k1_secret")
    monkeypatch.setenv(
        "CACTUSTILLER_GATEWAYS", ",".join(gateway.address for gateway in gateways)
    )

    def run(*arguments, **options):
        return CliRunner().invoke(app, list(arguments), **options)

    return run
