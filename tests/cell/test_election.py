import pytest

from cactustiller.cell.election import OwnerRecord, should_claim

RECORD = OwnerRecord(3, "m1", "m1:1", 9, renewed_ms=10_000)
SEEN = (5, 0.0)


@pytest.mark.parametrize(
    ("now_ms", "first_seen", "read_seconds", "is_suspect", "claims"),
    [
        (10_500, SEEN, 0.0, False, False),
        (11_200, SEEN, 0.0, False, True),
        # The row changed 0.1 s ago, although its renewal time is old.
        (11_200, (5, 9.9), 0.0, False, False),
        (11_200, (4, 0.0), 0.0, False, False),
        # With a slow store, renewals take longer as well.
        (11_200, SEEN, 0.3, False, False),
        (12_500, SEEN, 0.3, False, True),
        (10_700, SEEN, 0.0, True, True),
    ],
)
def test_member_takes_over_when_renewals_stop(
    now_ms, first_seen, read_seconds, is_suspect, claims
):
    assert (
        should_claim(RECORD, 5, first_seen, now_ms, 10.0, read_seconds, is_suspect)
        is claims
    )


def test_owner_without_announcements_is_replaced_sooner_on_a_slow_store():
    arguments = (RECORD, 5, SEEN, 11_700, 10.0, 0.25)
    assert not should_claim(*arguments)
    assert should_claim(*arguments, is_unannounced=True)


def test_released_cell_is_claimed_immediately():
    assert should_claim(RECORD._replace(is_released=True), 5, (-1, 0), 10_001, 0.0)
