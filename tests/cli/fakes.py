"""Gateway on a real socket that answers from a script and records its calls."""

import asyncio
import threading
from collections.abc import Mapping
from typing import NamedTuple

from aiohttp import web


class Answer(NamedTuple):
    body: object = {}
    status: int = 200
    headers: dict = {}
    drops: bool = False


class Received(NamedTuple):
    method: str
    path: str
    headers: Mapping
    body: bytes


def refuse(code, status, outcome="notRun", retry_after=None, **extra):
    error = {
        "code": code,
        "step": "admit",
        "peer": "home-1",
        "reason": f"because {code}",
        "outcome": outcome,
        "retry_after_ms": 0,
    }
    headers = {} if retry_after is None else {"Retry-After": str(retry_after)}
    return Answer({"error": error | extra}, status, headers)


class FakeGateway:
    """Serves on its own loop, so that commands may run theirs."""

    def __init__(self):
        self.answers = {}
        self.received = []
        self.address = ""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def script(self, method, path, *answers):
        self.answers[method, path] = list(answers)

    def start(self):
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._serve(), self._loop).result()

    def stop(self):
        asyncio.run_coroutine_threadsafe(self._runner.cleanup(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _serve(self):
        app = web.Application()
        app.router.add_route("*", "/{rest:.*}", self._answer)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def _answer(self, request):
        body = await request.read()
        self.received.append(
            Received(request.method, request.path_qs, request.headers, body)
        )
        answers = self.answers.get((request.method, request.path), [])
        answer = refuse("notFound", 404)
        if answers:
            # The last answer of a script stands for all further calls.
            answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if answer.drops:
            request.transport.close()
            return web.Response()
        if isinstance(answer.body, bytes):
            return web.Response(
                body=answer.body, status=answer.status, headers=answer.headers
            )
        return web.json_response(
            answer.body, status=answer.status, headers=answer.headers
        )
