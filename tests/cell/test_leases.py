"""Lease that an owner states, by the pace of its renewals."""

import pytest

from cactustiller.cell.ports import OWNER_ROW, Row
from cactustiller.cell.records.claims import OwnerRecord, decode_owner, encode_owner
from cactustiller.cell.records.leases import (
    MAX_LEASE_SECONDS,
    MAX_LOADING_LEASE_SECONDS,
    LeaseEstimate,
    choose_loading_lease,
)

USUAL_MS = 1100
LOADING = OwnerRecord(3, "m1", "m1:1", 0, 10_000)


def renew(estimate, interval, count=1, is_store_available=True):
    for _ in range(count):
        estimate.record_renewal(interval, is_store_available)


def test_lease_of_an_owner_at_its_usual_pace():
    estimate = LeaseEstimate(USUAL_MS)
    renew(estimate, 0.3, 20)
    assert estimate.choose_ms(is_serving=True) == USUAL_MS


def test_lease_outlasts_slow_renewals_and_shrinks_again():
    estimate = LeaseEstimate(USUAL_MS)
    renew(estimate, 1.2)
    assert estimate.choose_ms(is_serving=True) >= 2 * 1200
    renew(estimate, 0.3, 20)
    assert estimate.choose_ms(is_serving=True) == USUAL_MS


def test_lease_is_bounded():
    estimate = LeaseEstimate(USUAL_MS)
    renew(estimate, 5.0)
    assert estimate.choose_ms(is_serving=True) == MAX_LEASE_SECONDS * 1000


def test_outage_of_the_store_does_not_lengthen_the_lease():
    estimate = LeaseEstimate(USUAL_MS)
    renew(estimate, 5.0, is_store_available=False)
    assert estimate.choose_ms(is_serving=True) == USUAL_MS
    renew(estimate, 1.0)
    renew(estimate, 5.0, is_store_available=False)
    assert estimate.choose_ms(is_serving=True) >= 2 * 1000


def test_lease_doubles_with_each_owner_that_never_served():
    leases, record = [], LOADING._replace(is_serving=True)
    for _ in range(5):
        lease_ms = choose_loading_lease(record)
        record = record._replace(lease_ms=lease_ms, is_serving=False)
        leases.append(record.lease_ms)
    most = int(MAX_LOADING_LEASE_SECONDS * 1000)
    assert leases == [2200, most, most, most, most]
    assert LeaseEstimate(4400).choose_ms(is_serving=False) == 4400


@pytest.mark.parametrize("field", ["is_serving", "is_released"])
def test_lease_is_kept_after_an_owner_that_served_or_left(field):
    previous = LOADING._replace(lease_ms=3000, **{field: True})
    assert choose_loading_lease(previous) == 3000


def test_row_of_an_owner_without_a_stated_lease_is_read():
    # Guards against members that fail on rows of the previous version.
    encoded = encode_owner(LOADING)
    row = Row(OWNER_ROW, encoded.replace(b",1100]", b"]"), 1)
    assert decode_owner(row) == LOADING
