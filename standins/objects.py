"""Object store: named byte strings in memory."""

import asyncio

import typer
from aiohttp import web

from .faults import (
    FaultSwitch,
    StoreFaults,
    build_fault_routes,
    build_store_middleware,
)
from .server import build_application, serve_until_signal


def build_objects(objects, switch):
    """Return the HTTP application over a mapping of name to bytes."""

    async def put(request):
        objects[request.match_info["name"]] = await request.read()
        return web.Response(status=204)

    async def get(request):
        body = objects.get(request.match_info["name"])
        return web.Response(status=404) if body is None else web.Response(body=body)

    async def delete(request):
        objects.pop(request.match_info["name"], None)
        return web.Response(status=204)

    path = "/v1/objects/{name:.+}"
    routes = [
        web.put(path, put),
        web.get(path, get),
        web.delete(path, delete),
        *build_fault_routes(switch),
    ]
    return build_application(routes, [build_store_middleware(switch)])


def main(host: str = "127.0.0.1", port: int = 21002):
    """Run the object store until SIGTERM or SIGINT."""
    application = build_objects({}, FaultSwitch(StoreFaults()))
    asyncio.run(serve_until_signal(application, host, port))


if __name__ == "__main__":
    typer.run(main)
