"""Start, health and clean stop of a stand-in's HTTP server."""

import asyncio
import signal

from aiohttp import web

MAX_BODY_BYTES = 64 * 1024 * 1024
SHUTDOWN_SECONDS = 0.2


async def answer_health(request):
    """Answer ``GET /healthz``."""
    return web.json_response({"ok": True})


def build_application(routes, middlewares=()):
    """Return an application with the routes and ``GET /healthz``."""
    application = web.Application(
        middlewares=middlewares, client_max_size=MAX_BODY_BYTES
    )
    application.add_routes([web.get("/healthz", answer_health), *routes])
    return application


async def start_server(application, host, port, cancel_abandoned=False):
    """Serve the application; returns the runner, whose `cleanup` stops it.

    With `cancel_abandoned` a request ends when its caller's connection does.
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        shutdown_timeout=SHUTDOWN_SECONDS,
        handler_cancellation=cancel_abandoned,
    )
    await runner.setup()
    await web.TCPSite(runner, host, port, backlog=1024).start()
    return runner


async def wait_for_signal():
    """Return when SIGTERM or SIGINT arrives."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def serve_until_signal(application, host, port):
    """Serve the application until SIGTERM or SIGINT."""
    runner = await start_server(application, host, port)
    try:
        await wait_for_signal()
    finally:
        await runner.cleanup()
