"""HTTP stand-in for the platform's transactional table and object store.

`GET /v1/rows?prefix=P&since=R` returns the rows under prefix P that changed after
revision R. `POST /v1/transactions` writes rows if all conditions hold. Each commit
increments the revision, which becomes the version of the rows that it writes. `PUT
/v1/faults` delays calls, refuses them, or drops connections before a transaction is
applied or after it took effect.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import time
from typing import NamedTuple

from aiohttp import web


class StoredRow(NamedTuple):
    """A row; `expires_at` is a time on the clock that callers pass as `now`."""

    version: int
    value: dict[str, object]
    expires_at: float | None


class Faults:
    """Faults in effect, set by their names over HTTP.

    Attributes:
        down: Whether calls are refused with status 503.
        delay_s: Delay of each call, in seconds.
        lose_answers: Number of coming commits that take effect without a response.
        lose_requests: Number of coming transactions that are dropped unapplied.

    """

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.lose_requests = 0


class Table:
    """Table of rows with expiry and one revision counter."""

    def __init__(self) -> None:
        self.revision = 0
        self.rows: dict[str, StoredRow] = {}

    def read(
        self, prefix: str, since_revision: int, now: float
    ) -> list[dict[str, object]]:
        """Return the unexpired rows under a prefix that changed after a revision."""
        return [
            _encode_row(key, row)
            for key, row in self.rows.items()
            if key.startswith(prefix)
            and row.version > since_revision
            and (row.expires_at is None or now < row.expires_at)
        ]

    def version(self, key: str, now: float) -> int:
        """Return the version of a row; 0 if it is absent or expired."""
        row = self.rows.get(key)
        if row is None or (row.expires_at is not None and now >= row.expires_at):
            return 0
        return row.version

    def write(self, key: str, value: object, ttl_s: float | None, now: float) -> None:
        """Write a row at the current revision; a value of None deletes it."""
        if not isinstance(value, dict):
            self.rows.pop(key, None)
            return
        expires_at = None if ttl_s is None else now + ttl_s
        self.rows[key] = StoredRow(self.revision, value, expires_at)


class PlatformStandIn:
    """HTTP service of the stand-in.

    Attributes:
        reads: Number of reads of rows.
        writes: Number of transactions, conflicts included.

    """

    def __init__(self) -> None:
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.faults = Faults()
        self.reads = 0
        self.writes = 0

    def build_application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_get("/v1/rows", self._read)
        app.router.add_post("/v1/transactions", self._transact)
        app.router.add_put("/v1/objects/{name:.+}", self._put_object)
        app.router.add_get("/v1/objects/{name:.+}", self._get_object)
        app.router.add_put("/v1/faults", self._set_faults)
        app.router.add_get("/v1/operations", self._report_operations)
        return app

    async def _read(self, request: web.Request) -> web.StreamResponse:
        await self._apply_faults(request)
        self.reads += 1
        since_revision = int(request.query.get("since", "0"))
        rows = self.table.read(
            request.query["prefix"], since_revision, time.monotonic()
        )
        return web.json_response({"revision": self.table.revision, "rows": rows})

    async def _transact(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if self.faults.lose_requests > 0:
            self.faults.lose_requests -= 1
            return _abort_connection(request)
        await self._apply_faults(request)
        self.writes += 1
        now = time.monotonic()
        for key, version in body["conditions"]:
            if self.table.version(key, now) != version:
                return self._build_conflict(body, now)
        self.table.revision += 1
        for key, value, ttl_s in body["writes"]:
            self.table.write(key, value, ttl_s, now)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _abort_connection(request)
        versions = {key: self.table.revision for key, _, _ in body["writes"]}
        return web.json_response({"versions": versions})

    def _build_conflict(
        self, body: dict[str, list[list[object]]], now: float
    ) -> web.Response:
        keys = [str(key) for key, _ in body["conditions"]]
        rows = [
            _encode_row(key, self.table.rows[key])
            for key in keys
            if self.table.version(key, now)
        ]
        return web.json_response({"rows": rows}, status=409)

    async def _put_object(self, request: web.Request) -> web.StreamResponse:
        await self._apply_faults(request)
        self.objects[request.match_info["name"]] = await request.read()
        return web.json_response({})

    async def _get_object(self, request: web.Request) -> web.StreamResponse:
        await self._apply_faults(request)
        found = self.objects.get(request.match_info["name"])
        return web.Response(body=found, status=404 if found is None else 200)

    async def _set_faults(self, request: web.Request) -> web.StreamResponse:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response(vars(self.faults))

    async def _report_operations(self, request: web.Request) -> web.StreamResponse:
        return web.json_response({"reads": self.reads, "writes": self.writes})

    async def _apply_faults(self, request: web.Request) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise web.HTTPServiceUnavailable(text="down")


def _encode_row(key: str, row: StoredRow) -> dict[str, object]:
    return {"key": key, "version": row.version, "value": row.value}


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def serve(port: int) -> None:
    """Serve on loopback until SIGTERM or SIGINT."""
    runner = web.AppRunner(PlatformStandIn().build_application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    await runner.cleanup()


def main() -> None:
    """Run the stand-in for the platform."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(serve(parser.parse_args().port))


if __name__ == "__main__":
    main()
