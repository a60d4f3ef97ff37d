"""HTTP stand-in for the platform's metadata store, with fault injection."""

from __future__ import annotations

import asyncio
import random
import socket
from base64 import b64decode, b64encode
from collections import deque
from dataclasses import dataclass
from functools import cache
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

import orjson
from lavenderway_relay.messages import Request, Response
from lavenderway_relay.refusals import refuse_malformed_input
from lavenderway_relay.server import HttpServer

if TYPE_CHECKING:
    from lavenderway_relay.model import Address

MAX_PAGE_ROWS = 500
LOST_S = 3600.0  # longer than any call waits for its response


@dataclass
class StoreFaults:
    """Faults in effect for the calls to one address.

    Attributes:
        refuse_with: Status of the response to every call; 0 to serve calls.
        silent: Whether calls get no response, those that are pending included.
        silences: Number of times that `silent` was set.
        delay_s: Delay of each response, in seconds.
        responses_to_lose: Number of coming commits that take effect without a response.

    """

    refuse_with: int = 0
    delay_s: float = 0.0
    responses_to_lose: int = 0
    silences: int = 0
    _silent: bool = False

    @property
    def silent(self) -> bool:
        """Whether calls get no response."""
        return self._silent

    @silent.setter
    def silent(self, silent: bool) -> None:
        self.silences += silent
        self._silent = silent


class StoreCopy(NamedTuple):
    """Copy of a store's contents at one moment.

    Attributes:
        version: Version of the last write.
        rows: Version and value of each row, by table and key.
        history: Version, table and key of each write that feeds can still return.
        compacted_version: Version before which the history is discarded.

    """

    version: int
    rows: dict[tuple[str, str], tuple[int, bytes]]
    history: list[tuple[int, str, str]]
    compacted_version: int


class MetadataStore:
    """Tables of rows with one version counter and a change feed.

    Attributes:
        version: Version of the last write.
        era: Number of times that the store was restored from a copy.
        calls: Number of calls received.

    """

    def __init__(self) -> None:
        self.version = 0
        self.era = 0
        self.calls = 0
        self._rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._history: list[tuple[int, str, str]] = []
        self._compacted_version = 0
        self._changed = asyncio.Event()

    async def listen(self, address: Address, faults: StoreFaults) -> HttpServer:
        """Serve the store at an address, with faults for it; return the listener."""

        async def serve(request: Request) -> Response:
            return await self._serve(request, faults)

        server = HttpServer(
            loop=asyncio.get_running_loop(), serve=serve, refuse=refuse_malformed_input
        )
        await server.listen(address)
        return server

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row and notify all waiting feed calls; return the new version."""
        self.version += 1
        self._rows[table, key] = (self.version, value)
        self._history.append((self.version, table, key))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Remove a row and notify all waiting feed calls."""
        self.version += 1
        self._rows.pop((table, key), None)
        self._history.append((self.version, table, key))
        self._changed.set()
        self._changed = asyncio.Event()

    def get(self, table: str, key: str) -> bytes | None:
        """Return the value of a row; None if there is no such row."""
        row = self._rows.get((table, key))
        return None if row is None else row[1]

    def compact(self) -> None:
        """Discard the history; feeds from older versions get status 410."""
        self._history.clear()
        self._compacted_version = self.version

    def save_copy(self) -> StoreCopy:
        """Return a copy of the present contents."""
        return StoreCopy(
            self.version,
            self._rows.copy(),
            self._history.copy(),
            self._compacted_version,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Replace the contents by those of an earlier copy, and begin a new era.

        All later writes are lost, and their versions are given out again. Feed calls
        that are waiting get status 503.
        """
        self.era += 1
        self.version = copy.version
        self._rows = copy.rows.copy()
        self._history = copy.history.copy()
        self._compacted_version = copy.compacted_version
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, request: Request, faults: StoreFaults) -> Response:
        silences = faults.silences
        response = await self._serve_call(request, faults)
        if faults.silences > silences:
            await asyncio.sleep(LOST_S)
        era = (b"store-era", b"%d" % self.era)
        return response._replace(headers=[*response.headers, era])

    async def _serve_call(self, request: Request, faults: StoreFaults) -> Response:
        self.calls += 1
        if faults.silent:
            await asyncio.sleep(LOST_S)
        if faults.refuse_with:
            return Response(faults.refuse_with, [], b"")
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        parts = urlsplit(request.target.decode())
        query = dict(parse_qsl(parts.query))
        if parts.path == "/v1/rows-get":
            return self._read_rows(query)
        if parts.path == "/v1/rows-feed":
            return await self._wait_for_changes(query)
        if parts.path == "/v1/rows-tx":
            return await self._commit_rows(orjson.loads(request.body), faults)
        return Response(404, [], b"")

    def _read_rows(self, query: dict[str, str]) -> Response:
        start = query.get("from", "")
        keys = sorted(k for t, k in self._rows if t == query["table"] and k >= start)
        page = keys[: int(query.get("limit", MAX_PAGE_ROWS))]
        rows = [self._encode_row(query["table"], key) for key in page]
        more = len(keys) > len(page)
        return self._respond({"rows": rows, "has-more": more})

    async def _wait_for_changes(self, query: dict[str, str]) -> Response:
        table, after = query["table"], int(query["after"])
        deadline = asyncio.get_running_loop().time() + int(query["wait-ms"]) / 1000
        era = self.era
        while True:
            if era != self.era:
                return Response(503, [], b"")
            if not self._compacted_version <= after <= self.version:
                return Response(410, [], b"{}")
            keys = {k for v, t, k in self._history if v > after and t == table}
            left_s = deadline - asyncio.get_running_loop().time()
            if keys or left_s <= 0:
                rows = [self._encode_row(table, key) for key in keys]
                return self._respond({"rows": rows})
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _commit_rows(self, body: dict[str, Any], faults: StoreFaults) -> Response:
        for row in body["expected"]:
            current = self._rows.get((row["table"], row["key"]), (0, b""))
            if current[0] != row["ver"]:
                found = [
                    self._encode_row(condition["table"], condition["key"])
                    for condition in body["expected"]
                    if (condition["table"], condition["key"]) in self._rows
                ]
                return self._respond({"rows": found}, status=412)
        for row in body["set-keys"]:
            self.put(row["table"], row["key"], b64decode(row["value"]))
        if faults.responses_to_lose > 0:
            faults.responses_to_lose -= 1
            await asyncio.sleep(LOST_S)
        return self._respond({})

    def _encode_row(self, table: str, key: str) -> dict[str, Any]:
        if (table, key) not in self._rows:
            return {"table": table, "part": "", "key": key, "ver": 0, "removed": True}
        version, value = self._rows[table, key]
        encoded = b64encode(value).decode()
        return {
            "table": table,
            "part": "",
            "key": key,
            "value": encoded,
            "ver": version,
        }

    def _respond(self, fields: dict[str, Any], *, status: int = 200) -> Response:
        body = orjson.dumps({**fields, "ver": self.version, "now": "0ms"})
        return Response(status, [(b"content-type", b"application/json")], body)


FIRST_PORT = 10_000  # below the ephemeral port range of the system
PORTS_PER_PROCESS = 1_000
PORT_RANGE_COUNT = 20
FIRST_LOCK_PORT = 9_900  # one per range, bound by the process that owns the range

# Bounded, so that ports returned long ago may be returned again.
_recent_ports: deque[int] = deque(maxlen=PORTS_PER_PROCESS * 9 // 10)
_range_locks: list[socket.socket] = []


def _claim_port_range() -> range:
    """Reserve a range of ports for this process by binding its lock port.

    A restarted node needs its former ports again, so no other run on this machine may
    take them while the node is down.

    Raises:
        RuntimeError: All ranges are reserved by other processes.

    """
    indexes = list(range(PORT_RANGE_COUNT))
    random.SystemRandom().shuffle(indexes)
    for index in indexes:
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", FIRST_LOCK_PORT + index))
        except OSError:
            lock.close()
            continue
        _range_locks.append(lock)
        first = FIRST_PORT + index * PORTS_PER_PROCESS
        return range(first, first + PORTS_PER_PROCESS)
    raise RuntimeError(
        f"all {PORT_RANGE_COUNT} port ranges are in use; end other test runs"
    )


@cache
def _get_process_ports() -> range:
    return _claim_port_range()


def allocate_port() -> int:
    """Return a free port of this process's range that was not returned recently."""
    ports = _get_process_ports()
    while True:
        port = random.SystemRandom().choice(ports)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if port in _recent_ports or probe.connect_ex(("127.0.0.1", port)) == 0:
                continue
        _recent_ports.append(port)
        return port
