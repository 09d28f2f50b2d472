"""Health and readiness checks for the load balancer."""

from aiohttp import web

from ..context import Phase, get_gateway


async def check_health(request):
    """Respond 200 while requests are accepted, else 503."""
    is_serving = get_gateway(request).phase is Phase.SERVING
    return web.json_response({"ok": is_serving}, status=200 if is_serving else 503)


async def check_ready(request):
    """Respond 200 while serving, with fresh settings and known partition owners."""
    gateway = get_gateway(request)
    checks = {
        "serving": gateway.phase is Phase.SERVING,
        "settings": gateway.replica.is_fresh,
        "owners": bool(gateway.member.ownership.owners),
    }
    return web.json_response(checks, status=200 if all(checks.values()) else 503)


ROUTES = (
    web.get("/healthz", check_health),
    web.get("/readyz", check_ready),
)
