"""Tests of the limits of a process, from the resources of its machine."""

import pytest

from cactustiller.serving.limits import (
    BASE_MEMORY_BYTES,
    CONNECTION_BYTES,
    FILE_DESCRIPTORS,
    make_process_limits,
)

MEBIBYTE = 1024 * 1024


def list_listeners(limits):
    return [limits.frontend, limits.ready, limits.metrics, limits.peers]


@pytest.mark.parametrize("memory_mb", [160, 200, 300, 552])
@pytest.mark.parametrize("descriptors", [500, 1638, 4100, 10_250])
def test_clients_fit_into_the_machine_all_at_once(memory_mb, descriptors):
    limits = make_process_limits(memory_mb * MEBIBYTE, descriptors)
    listeners = list_listeners(limits)
    connections = sum(listener.max_connections for listener in listeners)
    memory = sum(listener.max_memory_bytes for listener in listeners)
    memory += connections * CONNECTION_BYTES + limits.job_bytes
    assert BASE_MEMORY_BYTES + memory <= memory_mb * MEBIBYTE
    assert connections <= 0.8 * (descriptors - FILE_DESCRIPTORS)


def test_a_tiny_machine_still_serves():
    for listener in list_listeners(make_process_limits(16 * MEBIBYTE, 100)):
        assert listener.max_connections >= 1
        assert listener.max_memory_bytes > 0
