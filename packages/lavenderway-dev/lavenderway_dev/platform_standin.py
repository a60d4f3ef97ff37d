"""Stand-in for the platform: a transactional table and an object store over HTTP.

`GET /v1/rows?prefix=P&since=R` returns the rows under a prefix that have changed after
revision R. `POST /v1/transactions` writes rows if all conditions hold. Each commit
raises one revision, which becomes the version of the rows it writes. `PUT /v1/faults`
makes the stand-in slow or absent, or has it lose answers after the write took effect.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import time
from typing import NamedTuple

from aiohttp import web


class StoredRow(NamedTuple):
    """A row; `expires` is in seconds of the monotonic clock."""

    version: int
    value: dict[str, object]
    expires: float | None


class Faults:
    """Faults that are in effect."""

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.lose_requests = 0


class Table:
    """Transactional table with one revision."""

    def __init__(self) -> None:
        self.revision = 0
        self.rows: dict[str, StoredRow] = {}

    def read(self, prefix: str, since: int, now: float) -> list[dict[str, object]]:
        """Return the rows under a prefix that changed after `since`."""
        return [
            _describe(key, row)
            for key, row in self.rows.items()
            if key.startswith(prefix)
            and row.version > since
            and (row.expires is None or now < row.expires)
        ]

    def version(self, key: str, now: float) -> int:
        """Return the version of a row, 0 when there is none."""
        row = self.rows.get(key)
        if row is None or (row.expires is not None and now >= row.expires):
            return 0
        return row.version

    def write(self, key: str, value: object, ttl_s: float | None, now: float) -> None:
        """Set a row at the present revision, or delete it."""
        if not isinstance(value, dict):
            self.rows.pop(key, None)
            return
        expires = None if ttl_s is None else now + ttl_s
        self.rows[key] = StoredRow(self.revision, value, expires)


class PlatformStandIn:
    """The stand-in's HTTP service."""

    def __init__(self) -> None:
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.faults = Faults()
        self.reads = 0
        self.writes = 0

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_get("/v1/rows", self._read)
        app.router.add_post("/v1/transactions", self._transact)
        app.router.add_put("/v1/objects/{name:.+}", self._put_object)
        app.router.add_get("/v1/objects/{name:.+}", self._get_object)
        app.router.add_put("/v1/faults", self._set_faults)
        app.router.add_get("/v1/operations", self._count)
        return app

    async def _read(self, request: web.Request) -> web.StreamResponse:
        await self._suffer(request)
        self.reads += 1
        since = int(request.query.get("since", "0"))
        rows = self.table.read(request.query["prefix"], since, time.monotonic())
        return web.json_response({"revision": self.table.revision, "rows": rows})

    async def _transact(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if self.faults.lose_requests > 0:
            self.faults.lose_requests -= 1
            return _drop(request)
        await self._suffer(request)
        self.writes += 1
        now = time.monotonic()
        for key, version in body["conditions"]:
            if self.table.version(key, now) != version:
                return self._conflict(body, now)
        self.table.revision += 1
        for key, value, ttl_s in body["writes"]:
            self.table.write(key, value, ttl_s, now)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _drop(request)
        versions = {key: self.table.revision for key, _, _ in body["writes"]}
        return web.json_response({"versions": versions})

    def _conflict(
        self, body: dict[str, list[list[object]]], now: float
    ) -> web.Response:
        keys = [str(key) for key, _ in body["conditions"]]
        rows = [
            _describe(key, self.table.rows[key])
            for key in keys
            if self.table.version(key, now)
        ]
        return web.json_response({"rows": rows}, status=409)

    async def _put_object(self, request: web.Request) -> web.StreamResponse:
        await self._suffer(request)
        self.objects[request.match_info["name"]] = await request.read()
        return web.json_response({})

    async def _get_object(self, request: web.Request) -> web.StreamResponse:
        await self._suffer(request)
        found = self.objects.get(request.match_info["name"])
        return web.Response(body=found, status=404 if found is None else 200)

    async def _set_faults(self, request: web.Request) -> web.StreamResponse:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response(vars(self.faults))

    async def _count(self, request: web.Request) -> web.StreamResponse:
        return web.json_response({"reads": self.reads, "writes": self.writes})

    async def _suffer(self, request: web.Request) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise web.HTTPServiceUnavailable(text="down")


def _describe(key: str, row: StoredRow) -> dict[str, object]:
    return {"key": key, "version": row.version, "value": row.value}


def _drop(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def serve(port: int) -> None:
    """Serve on loopback until a signal comes."""
    runner = web.AppRunner(PlatformStandIn().build(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    await runner.cleanup()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(serve(parser.parse_args().port))


if __name__ == "__main__":
    main()
