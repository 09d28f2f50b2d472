"""Routes of the HTTP interface, one module for each group of paths."""

from . import health, instances, jobs, keys, requests, settings

FAMILY = (health, jobs, requests, settings, keys, instances)


def list_routes():
    """Return the routes of every group."""
    return [route for group in FAMILY for route in group.ROUTES]
