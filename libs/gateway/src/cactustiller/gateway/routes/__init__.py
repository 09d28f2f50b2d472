"""Routes of the HTTP interface, one module per group of paths."""

from . import health, instances, jobs, keys, requests, settings, zones

ROUTE_GROUPS = (health, jobs, requests, settings, keys, instances, zones)


def list_routes():
    """Return the routes of every group."""
    return [route for group in ROUTE_GROUPS for route in group.ROUTES]
