"""Stand-in for an upstream: slots, service time, cold start, drain, shed and faults.

It announces itself to the node of its host, counts executions by request id, and keeps
every header field it has seen. Paths decide what it does: `/call` runs with the service
time and then calls the next service through its node, as `--next` says; `/echo` returns
the request; `/bytes/N`, `/chunks/N`, `/empty`, `/die`, `/close` and
`/crossed` (an answer that nobody asked for follows) do as their names say.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import signal
import time
from collections import Counter

import aiohttp
from aiohttp import web

CHUNK = b"0123456789abcdef" * 4096
COPIED_FIELDS = ("Lavenderway-Context", "traceparent")
ANNOUNCE_INTERVAL_S = 1.0
HEALTH_LAG_S = 5.0
UNSOLICITED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nWRONG"
UNSOLICITED_S = 0.01
MAX_KEPT = 200_000


class Behaviour:
    """What can be changed while the stand-in runs."""

    def __init__(self, *, slots: int, service_ms: float) -> None:
        self.slots = slots
        self.service_ms = service_ms
        self.slow_factor = 1.0
        self.frozen = False
        self.draining = False
        self.shedding = False
        self.queue_limit = 10_000


class UpstreamStandIn:
    """The stand-in's HTTP service.

    Args:
        behaviour: What it does at first.
        next_path: Path to call at the node, empty for a leaf of the graph.
        node: Address of the node's listener for callers.
        seed: Seed of the service times.
        cold_start_s: Seconds during which work takes longer after the start.

    """

    def __init__(
        self,
        *,
        behaviour: Behaviour,
        next_paths: list[str],
        node: str,
        seed: int,
        cold_start_s: float,
    ) -> None:
        self.behaviour = behaviour
        self.executions: Counter[str] = Counter()
        self.cancelled = 0
        self.completed = 0
        self.fields: set[str] = set()
        self.targets: list[str] = []
        self._next_paths = next_paths
        self._node = node
        self._random = random.Random(seed)
        self._started = time.monotonic()
        self._cold_start_s = cold_start_s
        self._in_use = 0
        self._waiting: list[asyncio.Future[None]] = []
        self._session: aiohttp.ClientSession | None = None

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_get("/control/record", self._record)
        app.router.add_put("/control/behaviour", self._change)
        app.router.add_get("/health", self._health)
        app.router.add_route("*", "/{path:.*}", self._serve)
        app.on_cleanup.append(self._close)
        return app

    async def _close(self, app: web.Application) -> None:
        if self._session is not None:
            await self._session.close()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self._note(request)
        if self.behaviour.shedding or len(self._waiting) >= self.behaviour.queue_limit:
            return web.Response(status=503, text="shed by the upstream")
        try:
            return await self._run(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    def _note(self, request: web.Request) -> None:
        self.executions[request.headers.get("Lavenderway-Request-Id", "-")] += 1
        if len(self.fields) < MAX_KEPT:
            self.fields.update(
                f"{name}: {value}" for name, value in request.headers.items()
            )
            self.targets.append(request.raw_path)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        await self._take_slot()
        try:
            while self.behaviour.frozen:
                await asyncio.sleep(0.02)
            await asyncio.sleep(self._service_s())
            failed = await self._call_next(request)
            self.completed += 1
            return failed or await self._answer(request)
        finally:
            self._release_slot()

    async def _take_slot(self) -> None:
        if self._in_use < self.behaviour.slots:
            self._in_use += 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._release_slot()
            else:
                self._waiting.remove(waiter)
            raise

    def _release_slot(self) -> None:
        while self._waiting:
            waiter = self._waiting.pop(0)
            if not waiter.done():
                waiter.set_result(None)
                return
        self._in_use -= 1

    def _service_s(self) -> float:
        mean_s = self.behaviour.service_ms * self.behaviour.slow_factor / 1000
        if time.monotonic() - self._started < self._cold_start_s:
            mean_s *= 5
        return mean_s * self._random.uniform(0.7, 1.3)

    async def _call_next(self, request: web.Request) -> web.Response | None:
        """Call the services this one depends on; return an answer if one fails."""
        if not request.path.endswith("/call"):
            return None
        for path in self._next_paths:
            status = await self._call(request, path)
            if status >= 400:
                return web.Response(status=502, text=f"{path} gave {status}")
        return None

    async def _call(self, request: web.Request, path: str) -> int:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        headers = {
            name: request.headers[name]
            for name in COPIED_FIELDS
            if name in request.headers
        }
        url = f"http://{self._node}{path}"
        try:
            async with self._session.get(url, headers=headers) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 599

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        path = request.path
        tail = path.rsplit("/", 1)[-1]
        if path.endswith("/empty"):
            return web.Response(status=204)
        if "/bytes/" in path:
            return web.Response(
                body=(CHUNK * (int(tail) // len(CHUNK) + 1))[: int(tail)]
            )
        if "/chunks/" in path:
            return await self._send_chunks(request, int(tail), die=False)
        if path.endswith("/die"):
            return await self._send_chunks(request, 3, die=True)
        if path.endswith("/leak"):
            return web.Response(headers={"Lavenderway-Outcome": "not-run"}, text="x")
        if path.endswith("/crossed") and request.transport is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(UNSOLICITED_S, request.transport.write, UNSOLICITED)
        if path.endswith("/close"):
            return _close(request)
        body = await request.read()
        return web.Response(
            body=body or b"hello\n", headers={"X-Method": request.method}
        )

    async def _send_chunks(
        self, request: web.Request, count: int, *, die: bool
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        for _ in range(count):
            await response.write(CHUNK)
        if die and request.transport is not None:
            request.transport.abort()
            return response
        await response.write_eof()
        return response

    async def _record(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "executions": self.executions,
                "cancelled": self.cancelled,
                "completed": self.completed,
                "fields": sorted(self.fields),
                "targets": self.targets[-1000:],
                "in_use": self._in_use,
                "waiting": len(self._waiting),
            }
        )

    async def _change(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.behaviour, name, value)
        return web.json_response(vars(self.behaviour))

    async def _health(self, request: web.Request) -> web.Response:
        """Answer as it was some seconds ago: always well."""
        return web.json_response({"healthy": True, "load": 0.1, "lag_s": HEALTH_LAG_S})


def _close(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def announce(
    *, name: str, service: str, address: str, node: str, behaviour: Behaviour
) -> None:
    """Announce the upstream to the node of its host until cancelled."""
    url = f"http://{node}/v1/upstreams/{name}"
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            while True:
                body = {
                    "service": service,
                    "address": address,
                    "draining": behaviour.draining,
                }
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with session.put(url, json=body):
                        pass
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)
        except asyncio.CancelledError:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.delete(url):
                    pass
            raise


async def serve(arguments: argparse.Namespace) -> None:
    """Serve on loopback until a signal comes."""
    behaviour = Behaviour(slots=arguments.slots, service_ms=arguments.service_ms)
    standin = UpstreamStandIn(
        behaviour=behaviour,
        next_paths=arguments.next,
        node=arguments.node,
        seed=arguments.seed,
        cold_start_s=arguments.cold_start_s,
    )
    runner = web.AppRunner(standin.build(), access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", arguments.port, backlog=2048).start()
    announcing = asyncio.create_task(
        announce(
            name=arguments.name,
            service=arguments.service,
            address=f"127.0.0.1:{arguments.port}",
            node=arguments.announce,
            behaviour=behaviour,
        )
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    announcing.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await announcing
    await runner.cleanup()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--node", default="", help="the node's listener for callers")
    parser.add_argument("--announce", required=True, help="its announcement listener")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--service-ms", type=float, default=5.0)
    parser.add_argument("--cold-start-s", type=float, default=0.0)
    parser.add_argument("--next", action="append", default=[])
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
