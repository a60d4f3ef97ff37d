"""HTTP stand-in for an upstream, with slots, service times and fault injection.

It announces itself to the node of its host, counts executions by request ID and records
the header fields that it receives. Each request takes a slot for the service time; the
end of its path selects the response:

- `/call` first calls each path given by `--next` through the node.
- `/echo` and all other paths return the body of the request, or a greeting.
- `/bytes/N` returns N bytes; `/chunks/N` returns N chunks.
- `/empty` returns status 204.
- `/leak` sets a response header field that only nodes may set.
- `/die` breaks the connection after three chunks, `/close` before the response.
- `/crossed` sends an unsolicited second response after the first.
- `/status-CODE` responds with that status code, whether it is valid or not.
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
UNSOLICITED_DELAY_S = 0.01
MAX_RECORDED_FIELDS = 200_000


class Behavior:
    """Behavior that can be changed over HTTP, by the names of its attributes.

    Attributes:
        slots: Number of requests that run concurrently.
        service_ms: Mean service time, in milliseconds.
        slow_factor: Factor on the service time.
        frozen: Whether requests that hold a slot make no progress.
        draining: Whether announcements say that the upstream is draining.
        shedding: Whether all requests are rejected with status 503.
        queue_limit: Number of waiting requests at which further ones are rejected.

    """

    def __init__(self, *, slots: int, service_ms: float) -> None:
        self.slots = slots
        self.service_ms = service_ms
        self.slow_factor = 1.0
        self.frozen = False
        self.draining = False
        self.shedding = False
        self.queue_limit = 10_000


class UpstreamStandIn:
    """HTTP service of the stand-in.

    Args:
        behavior: Initial behavior.
        next_paths: Paths that each `/call` request calls; empty for a leaf service.
        node: Address of the node's listener for callers.
        seed: Seed of the service times.
        cold_start_s: Seconds after the start during which requests take longer.

    Attributes:
        executions: Number of requests received, by request ID.
        fields: Distinct header fields received.
        targets: Request targets in order of arrival.

    """

    def __init__(
        self,
        *,
        behavior: Behavior,
        next_paths: list[str],
        node: str,
        seed: int,
        cold_start_s: float,
    ) -> None:
        self.behavior = behavior
        self.executions: Counter[str] = Counter()
        self.cancelled = 0
        self.completed = 0
        self.fields: set[str] = set()
        self.targets: list[str] = []
        self._next_paths = next_paths
        self._node = node
        self._random = random.Random(seed)
        self._started_at = time.monotonic()
        self._cold_start_s = cold_start_s
        self._in_use = 0
        self._waiting: list[asyncio.Future[None]] = []
        self._session: aiohttp.ClientSession | None = None

    def build_application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_get("/control/record", self._report_record)
        app.router.add_put("/control/behaviour", self._change_behavior)
        app.router.add_get("/health", self._report_health)
        app.router.add_route("*", "/{path:.*}", self._serve)
        app.on_cleanup.append(self._close)
        return app

    async def _close(self, app: web.Application) -> None:
        if self._session is not None:
            await self._session.close()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self._record_request(request)
        if self.behavior.shedding or len(self._waiting) >= self.behavior.queue_limit:
            return web.Response(status=503, text="shed by the upstream")
        try:
            return await self._run(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    def _record_request(self, request: web.Request) -> None:
        self.executions[request.headers.get("Lavenderway-Request-Id", "-")] += 1
        if len(self.fields) < MAX_RECORDED_FIELDS:
            self.fields.update(
                f"{name}: {value}" for name, value in request.headers.items()
            )
            self.targets.append(request.raw_path)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        await self._take_slot()
        try:
            while self.behavior.frozen:
                await asyncio.sleep(0.02)
            await asyncio.sleep(self._draw_service_time_s())
            failed = await self._call_next(request)
            self.completed += 1
            return failed or await self._respond(request)
        finally:
            self._release_slot()

    async def _take_slot(self) -> None:
        if self._in_use < self.behavior.slots:
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

    def _draw_service_time_s(self) -> float:
        mean_s = self.behavior.service_ms * self.behavior.slow_factor / 1000
        if time.monotonic() - self._started_at < self._cold_start_s:
            mean_s *= 5
        return mean_s * self._random.uniform(0.7, 1.3)

    async def _call_next(self, request: web.Request) -> web.Response | None:
        """Call the next services; return an error response if one of them fails."""
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

    async def _respond(self, request: web.Request) -> web.StreamResponse:
        path = request.path
        last_segment = path.rsplit("/", 1)[-1]
        if path.endswith("/empty"):
            return web.Response(status=204)
        if "/bytes/" in path:
            return web.Response(
                body=(CHUNK * (int(last_segment) // len(CHUNK) + 1))[
                    : int(last_segment)
                ]
            )
        if "/chunks/" in path:
            return await self._send_chunks(request, int(last_segment), abort=False)
        if path.endswith("/die"):
            return await self._send_chunks(request, 3, abort=True)
        if path.endswith("/leak"):
            return web.Response(headers={"Lavenderway-Outcome": "not-run"}, text="x")
        if path.endswith("/crossed") and request.transport is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(UNSOLICITED_DELAY_S, request.transport.write, UNSOLICITED)
        if path.endswith("/close"):
            return _abort_connection(request)
        if (status := path.rpartition("/status-")[2]) != path:
            return _send_raw_status(request, status)
        body = await request.read()
        return web.Response(
            body=body or b"hello\n", headers={"X-Method": request.method}
        )

    async def _send_chunks(
        self, request: web.Request, count: int, *, abort: bool
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        for _ in range(count):
            await response.write(CHUNK)
        if abort and request.transport is not None:
            request.transport.abort()
            return response
        await response.write_eof()
        return response

    async def _report_record(self, request: web.Request) -> web.Response:
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

    async def _change_behavior(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.behavior, name, value)
        return web.json_response(vars(self.behavior))

    async def _report_health(self, request: web.Request) -> web.Response:
        """Report a healthy state and a fixed lag, regardless of the actual state."""
        return web.json_response({"healthy": True, "load": 0.1, "lag_s": HEALTH_LAG_S})


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _send_raw_status(request: web.Request, status: str) -> web.Response:
    """Respond with a status that the framework would not send."""
    if request.transport is not None:
        head = f"HTTP/1.1 {status} Odd\r\nconnection: close\r\ncontent-length: 2"
        request.transport.write(head.encode() + b"\r\n\r\nno")
        request.transport.close()
    return web.Response()


async def announce(
    *, name: str, service: str, address: str, node: str, behavior: Behavior
) -> None:
    """Announce the upstream at intervals; deregister it when cancelled."""
    url = f"http://{node}/v1/upstreams/{name}"
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            while True:
                body = {
                    "service": service,
                    "address": address,
                    "draining": behavior.draining,
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
    """Serve on loopback until SIGTERM or SIGINT."""
    behavior = Behavior(slots=arguments.slots, service_ms=arguments.service_ms)
    standin = UpstreamStandIn(
        behavior=behavior,
        next_paths=arguments.next,
        node=arguments.node,
        seed=arguments.seed,
        cold_start_s=arguments.cold_start_s,
    )
    runner = web.AppRunner(
        standin.build_application(), access_log=None, handler_cancellation=True
    )
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", arguments.port, backlog=2048).start()
    announcing = asyncio.create_task(
        announce(
            name=arguments.name,
            service=arguments.service,
            address=f"127.0.0.1:{arguments.port}",
            node=arguments.announce,
            behavior=behavior,
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
    """Run the stand-in for an upstream."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--node", default="", help="the node's listener for callers")
    parser.add_argument(
        "--announce", required=True, help="the node's listener for upstreams"
    )
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--service-ms", type=float, default=5.0)
    parser.add_argument("--cold-start-s", type=float, default=0.0)
    parser.add_argument("--next", action="append", default=[])
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
