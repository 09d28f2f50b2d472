import pytest

from tests.gateway.builders import Cell


@pytest.fixture
async def cell():
    cell = Cell()
    await cell.start()
    yield cell
    await cell.stop()
