"""Stand-in of the platform's metadata store, with one address for each machine."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

from standins.http import Message, encode_response, read_message

if TYPE_CHECKING:
    from collections.abc import Callable


class Store:
    """Rows with one version counter and a feed of changes.

    Attributes:
        silent: Machines whose calls get no response at present. A connection on which
            a response is lost delivers nothing further.
        on_call: Called with the machine and the path and query of each call.

    """

    def __init__(self) -> None:
        self.silent: set[str] = set()
        self.on_call: Callable[[str, str], None] = lambda *_: None
        self._version = 0
        self._rows: dict[tuple[str, str], tuple[int, str]] = {}
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []

    async def listen(self, machine: str, port: int) -> None:
        """Serve the calls of one machine at its own port."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                while (call := await read_message(reader)) is not None:
                    self.on_call(machine, call.first[1])
                    response = None
                    if machine not in self.silent:
                        response = await self._serve(call)
                    if response is None or machine in self.silent:
                        await reader.read()
                        break
                    writer.write(response)
                    await writer.drain()
            writer.close()

        self._servers.append(await asyncio.start_server(serve, "127.0.0.1", port))

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row; the return is the acknowledgement."""
        async with self._changed:
            self._set(table, key, base64.b64encode(value).decode())
            self._changed.notify_all()

    def _set(self, table: str, key: str, value: str) -> None:
        self._version += 1
        self._rows[table, key] = (self._version, value)

    async def _serve(self, call: Message) -> bytes:
        parts = urlsplit(call.first[1])
        query = dict(parse_qsl(parts.query))
        if parts.path == "/v1/rows-get":
            keys = sorted(
                key
                for table, key in self._rows
                if table == query["table"] and key >= query.get("from", "")
            )
            limit = int(query.get("limit", 500))
            return self._respond(
                [self._row(query["table"], key) for key in keys[:limit]],
                more=len(keys) > limit,
            )
        if parts.path == "/v1/rows-feed":
            return await self._follow(query)
        if parts.path == "/v1/rows-tx":
            return await self._commit(json.loads(call.body))
        return encode_response(404, [])

    async def _follow(self, query: dict[str, str]) -> bytes:
        table, after = query["table"], int(query["after"])

        def changes() -> list[tuple[int, str]]:
            return sorted(
                (version, key)
                for (name, key), (version, _) in self._rows.items()
                if name == table and version > after
            )

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait-ms"]) / 1000), self._changed:
                await self._changed.wait_for(lambda: bool(changes()))
        return self._respond([self._row(table, key) for _, key in changes()])

    async def _commit(self, body: dict[str, Any]) -> bytes:
        for row in body["expected"]:
            found = self._rows.get((row["table"], row["key"]), (0, ""))
            if found[0] != row["ver"]:
                rows = [
                    self._row(each["table"], each["key"])
                    for each in body["expected"]
                    if (each["table"], each["key"]) in self._rows
                ]
                return self._respond(rows, status=412)
        async with self._changed:
            for row in body["set-keys"]:
                self._set(row["table"], row["key"], row["value"])
            self._changed.notify_all()
        return self._respond([])

    def _row(self, table: str, key: str) -> dict[str, Any]:
        version, value = self._rows[table, key]
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    def _respond(
        self, rows: list[dict[str, Any]], *, status: int = 200, more: bool = False
    ) -> bytes:
        body = {
            "rows": rows,
            "has-more": more,
            "ver": self._version,
            "now": f"{int(time.monotonic() * 1000)}ms",
        }
        return encode_response(
            status, [("Content-Type", "application/json")], json.dumps(body).encode()
        )
