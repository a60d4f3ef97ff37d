"""Clients of a soak run, which differ in how they use their connections."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from collections import deque
from functools import lru_cache
from typing import TYPE_CHECKING, NamedTuple, cast

import httptools
from lavenderway_relay.messages import Request, Response, encode_request
from lavenderway_relay.pools import ConnectError, ConnectionBrokenError, ConnectionPool

from lavenderway_dev.soak_checks import ClientRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable
    from typing import Any

    from lavenderway_relay.model import Address

    from lavenderway_dev.relay_fleet import RelayFleet
    from lavenderway_dev.server_standin import CallResult
    from lavenderway_dev.soak_checks import Observations

CLIENT_MEAN_PAUSE_S = 0.08  # between two requests of a client
KEPT_MEAN_PAUSE_S = 0.03  # on a connection that is used until it is closed
BASE_HOSTS = 6  # with more hosts, each client sends proportionally fewer requests
CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.1  # after a refused connection
RESPONSE_MARGIN_S = 1.0  # clients wait this much longer than the deadline
MAX_PIPELINE_DEPTH = 4  # requests of one connection that await their responses
SLOW_READER_BUFFER_BYTES = 4096
SLOW_READER_PAUSE_S = 0.6  # per response, before the client reads it
LEAVING_CLIENT_PAUSE_S = 0.5  # between two requests that the client gives up
BIG_BODY_BYTES = 400_000  # does not fit in the socket buffers of a slow reader
SLOW_RUN_S = 0.3
LONG_RUN_S = 2.5
CALL_TIMEOUT_S = 1.5  # shortest timeout that a configuration gives the called route
API_KEYS = {"small": "key-small", "large": "key-large", "former": "key-former"}


class Workload(NamedTuple):
    """One type of client request.

    Attributes:
        deadline_s: Time that the client will wait, in seconds.
        limit_s: The deadline or the shortest timeout that a configuration gives the
            route, whichever is less, in seconds.
        body_bytes: Size of the response body beyond its first line.

    """

    path: str
    workspace: str | None = None
    at_most_once: bool = False
    deadline_s: float = 2.0
    limit_s: float = 1.5
    body_bytes: int = 0


MIXED_WORKLOADS = (
    Workload("/front/x", "small"),
    Workload("/front/y", "large"),
    Workload("/front/z", "former"),
    Workload("/order/x", "large", at_most_once=True),
    Workload("/back/x"),
)
KEPT_WORKLOADS = (
    Workload("/front/y", "large"),
    Workload("/order/x", "large", at_most_once=True),
    Workload("/order/slow", "large", at_most_once=True),
    Workload("/back/x"),
    Workload("/back/slow"),
)
PIPELINED_WORKLOADS = (
    Workload("/front/y", "large"),
    Workload("/back/x"),
    Workload("/back/slow"),
    Workload("/back/slow"),
)
LONG_WORKLOAD = Workload("/long/x", deadline_s=6.0, limit_s=5.0)
BIG_WORKLOAD = Workload("/big/x", body_bytes=BIG_BODY_BYTES)


class _Pending(NamedTuple):
    request: ClientRequest
    done: asyncio.Future[None]


class CallerConnection(asyncio.Protocol):
    """A client connection that may carry several unanswered requests.

    Args:
        loop: The event loop.

    Attributes:
        closed: Whether the connection accepts no further request.
        unanswered: Requests that had no response when the connection closed.

    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._parser = httptools.HttpResponseParser(self)
        self._pending: deque[_Pending] = deque()
        self._transport: asyncio.Transport
        self._body: list[bytes] = []
        self._headers: list[tuple[bytes, bytes]] = []
        self.closed = False
        self.unanswered: list[ClientRequest] = []

    @property
    def depth(self) -> int:
        """Number of unanswered requests."""
        return len(self._pending)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def send(self, request: ClientRequest, data: bytes) -> asyncio.Future[None]:
        """Send a request; the returned future is done when its result is known."""
        done: asyncio.Future[None] = self._loop.create_future()
        request.sent_at = self._loop.time()
        request.behind = bool(self._pending)
        self._pending.append(_Pending(request, done))
        self._transport.write(data)
        return done

    def write(self, data: bytes) -> None:
        """Send bytes that are not a complete request."""
        self._transport.write(data)

    async def wait_for_first(self) -> None:
        """Wait for the result of the first unanswered request.

        Raises:
            TimeoutError: The client waited longer than the deadline.

        """
        request, done = self._pending[0]
        left_s = request.sent_at + request.deadline_s - self._loop.time()
        async with asyncio.timeout(left_s + RESPONSE_MARGIN_S):
            await asyncio.wait([done])

    def abort(self) -> None:
        """Close the connection and give up its unanswered requests."""
        self.closed = True
        self._pending.clear()
        self._transport.abort()

    def pause_reading(self) -> None:
        """Stop reading responses."""
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading responses."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a response to no request closes the connection."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Reset the state of the response being read."""
        self._body = []
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        """Append a fragment of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Assign the response to the first unanswered request."""
        if not self._pending:
            self._transport.abort()
            return
        request, done = self._pending.popleft()
        request.status = self._parser.get_status_code()
        request.body = _share_body(b"".join(self._body))
        request.headers = self._headers
        request.ended_at = self._loop.time()
        if not done.done():
            done.set_result(None)
        if not self._parser.should_keep_alive():
            self._end(reset=False)
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the unanswered requests have lost their connection."""
        self._end(reset=exc is not None)

    def _end(self, *, reset: bool) -> None:
        self.closed = True
        while self._pending:
            request, done = self._pending.popleft()
            self.unanswered.append(request)
            request.connection_broken = True
            request.connection_reset = reset
            request.ended_at = self._loop.time()
            if not done.done():
                done.set_result(None)


_CLIENTS: list[Callable[[Clients, str], Awaitable[None]]] = []


def _register_client(
    client: Callable[[Clients, str], Awaitable[None]],
) -> Callable[[Clients, str], Awaitable[None]]:
    """Register a client that runs once per host until the run ends."""
    _CLIENTS.append(client)
    return client


class Clients:
    """All clients of a soak run and the calls of its upstreams.

    Args:
        fleet: The fleet that the clients send to.
        observations: Receives all requests and their results.
        rng: Random number generator.

    Attributes:
        is_ending: Whether the clients end after their present request.

    """

    def __init__(
        self, *, fleet: RelayFleet, observations: Observations, rng: random.Random
    ) -> None:
        self.is_ending = False
        self.rng = rng
        self._fleet = fleet
        self._observations = observations
        self._loop = asyncio.get_running_loop()
        self._request_numbers = itertools.count(1)
        self._tasks: list[asyncio.Future[None]] = []

    def start(self) -> None:
        """Start one client of each type per host."""
        self._tasks = [
            asyncio.ensure_future(client(self, host))
            for host in self._fleet.hosts
            for client in _CLIENTS
        ]

    async def stop(self) -> None:
        """Wait until all clients have ended."""
        self.is_ending = True
        await asyncio.gather(*self._tasks)

    @property
    def scale(self) -> float:
        """Factor by which the clients of a large fleet send more slowly."""
        return max(1.0, len(self._fleet.hosts) / BASE_HOSTS)

    async def pause(self, mean_s: float) -> None:
        """Pause between two requests for a random time, longer in large fleets."""
        await asyncio.sleep(self.rng.expovariate(1 / (mean_s * self.scale)))

    def create_request(
        self, host: str, workload: Workload
    ) -> tuple[ClientRequest, bytes]:
        """Record a new request to a host; return it with its encoded form."""
        request = ClientRequest(
            id=f"{next(self._request_numbers):016x}",
            host=host,
            path=workload.path,
            workspace=workload.workspace,
            at_most_once=workload.at_most_once,
            sent_at=self._loop.time(),
            deadline_s=workload.deadline_s,
            limit_s=workload.limit_s,
            body_bytes=workload.body_bytes,
        )
        self._observations.sent[request.id] = request
        headers = [
            (b"host", b"app.example"),
            (b"lavenderway-attempt-id", request.id.encode()),
            (b"lavenderway-deadline-ms", b"%d" % (workload.deadline_s * 1000)),
        ]
        if workload.workspace is not None:
            key = API_KEYS[workload.workspace].encode()
            headers.append((b"authorization", b"Bearer " + key))
        method = b"POST" if workload.at_most_once else b"GET"
        path = workload.path.encode()
        return request, encode_request(Request(method, path, headers, b""))

    async def connect(self, host: str, **options: Any) -> CallerConnection | None:
        """Open a connection to a host; return None if that fails."""
        address: Address = self._fleet.hosts[host].callers
        sock = socket.socket()
        sock.setblocking(False)
        for option, value in options.items():
            sock.setsockopt(socket.SOL_SOCKET, getattr(socket, option), value)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.sock_connect(sock, address)
                _, connection = await self._loop.create_connection(
                    lambda: CallerConnection(loop=self._loop), sock=sock
                )
        except (OSError, TimeoutError):
            sock.close()
            await asyncio.sleep(RECONNECT_PAUSE_S)
            return None
        return connection

    async def request(
        self, host: str, workload: Workload, *, pool: ConnectionPool
    ) -> int | None:
        """Send a request on a pooled connection; return its status, None without."""
        request, data = self.create_request(host, workload)
        with contextlib.suppress(ConnectError, TimeoutError):
            try:
                async with asyncio.timeout(workload.deadline_s + RESPONSE_MARGIN_S):
                    address = self._fleet.hosts[host].callers
                    response = await pool.exchange(address, data)
                request.status, request.body = response.status, bytes(response.body)
                request.headers = response.headers
            except ConnectionBrokenError as error:
                request.connection_broken = True
                request.connection_reset = _is_reset(error)
            request.ended_at = self._loop.time()
        return request.status

    def record_call(self, host: str, call: CallResult) -> None:
        """Record the result of a call of an upstream."""
        response: Response | None = call.response
        self._observations.sent[call.id] = ClientRequest(
            id=call.id,
            host=host,
            path=call.path,
            workspace=None,
            at_most_once=False,
            sent_at=call.sent_at,
            deadline_s=CALL_TIMEOUT_S,
            limit_s=CALL_TIMEOUT_S,
            status=None if response is None else response.status,
            body=b"" if response is None else bytes(response.body),
            headers=[] if response is None else response.headers,
            connection_broken=call.error is not None,
            connection_reset=call.error is not None and _is_reset(call.error),
            ended_at=self._loop.time(),
        )


@_register_client
@_register_client
async def _use_pooled_connections(clients: Clients, host: str) -> None:
    """Send one request at a time on a connection that may be idle in between."""
    pool = ConnectionPool(
        loop=asyncio.get_running_loop(), connect_timeout_s=CONNECT_TIMEOUT_S
    )
    while not clients.is_ending:
        await clients.pause(CLIENT_MEAN_PAUSE_S)
        workload = clients.rng.choice(MIXED_WORKLOADS)
        await clients.request(host, workload, pool=pool)
    pool.close()


@_register_client
async def _keep_connection(clients: Clients, host: str) -> None:
    """Send requests on one connection until the node closes it."""
    while not clients.is_ending:
        connection = await clients.connect(host)
        while connection is not None and not connection.closed:
            workload = clients.rng.choice(KEPT_WORKLOADS)
            connection.send(*clients.create_request(host, workload))
            if not await _wait_for_first(connection) or clients.is_ending:
                connection.abort()
            else:
                await clients.pause(KEPT_MEAN_PAUSE_S)


@_register_client
@_register_client
async def _pipeline(clients: Clients, host: str) -> None:
    """Keep several requests unanswered; send those again that got no response."""
    workloads = {workload.path: workload for workload in PIPELINED_WORKLOADS}
    unanswered: list[ClientRequest] = []
    while not clients.is_ending:
        connection = await clients.connect(host)
        while connection is not None and not connection.closed:
            if unanswered:
                workload = workloads[unanswered.pop(0).path]
            else:
                workload = clients.rng.choice(PIPELINED_WORKLOADS)
            connection.send(*clients.create_request(host, workload))
            if connection.depth >= clients.rng.randint(2, MAX_PIPELINE_DEPTH):
                if not await _wait_for_first(connection):
                    connection.abort()
            elif connection.depth > 1 or clients.scale > 1.0:
                await clients.pause(KEPT_MEAN_PAUSE_S)
            if clients.is_ending:
                while connection.depth and await _wait_for_first(connection):
                    continue
                connection.abort()
        if connection is not None:
            unanswered = connection.unanswered


@_register_client
async def _connect_for_each_request(clients: Clients, host: str) -> None:
    """Open a connection for each request, also while the node is stopping."""
    while not clients.is_ending:
        connection = await clients.connect(host)
        if connection is not None:
            workload = clients.rng.choice(KEPT_WORKLOADS)
            connection.send(*clients.create_request(host, workload))
            await _wait_for_first(connection)
            connection.abort()
        await clients.pause(CLIENT_MEAN_PAUSE_S)


@_register_client
async def _send_long_requests(clients: Clients, host: str) -> None:
    """Send requests that run for a large part of the grace period."""
    while not clients.is_ending:
        connection = await clients.connect(host)
        while connection is not None and not connection.closed:
            connection.send(*clients.create_request(host, LONG_WORKLOAD))
            if not await _wait_for_first(connection) or clients.is_ending:
                connection.abort()
            else:
                await clients.pause(CLIENT_MEAN_PAUSE_S)


@_register_client
async def _read_slowly(clients: Clients, host: str) -> None:
    """Leave large responses unread for a time."""
    while not clients.is_ending:
        connection = await clients.connect(host, SO_RCVBUF=SLOW_READER_BUFFER_BYTES)
        while connection is not None and not connection.closed:
            request, data = clients.create_request(host, BIG_WORKLOAD)
            request.unread_s = SLOW_READER_PAUSE_S
            connection.send(request, data)
            connection.pause_reading()
            await asyncio.sleep(SLOW_READER_PAUSE_S)
            connection.resume_reading()
            if not await _wait_for_first(connection) or clients.is_ending:
                connection.abort()
            elif clients.scale > 1.0:
                await clients.pause(CLIENT_MEAN_PAUSE_S)


@_register_client
async def _leave_early(clients: Clients, host: str) -> None:
    """Close connections within a request head or before the response."""
    while not clients.is_ending:
        connection = await clients.connect(host)
        if connection is not None:
            workload = clients.rng.choice(KEPT_WORKLOADS)
            request, data = clients.create_request(host, workload)
            if clients.rng.random() < 0.5:
                connection.write(data[: clients.rng.randrange(1, len(data))])
            else:
                connection.send(request, data)
            await asyncio.sleep(clients.rng.uniform(0.0, SLOW_RUN_S))
            connection.abort()
        await clients.pause(LEAVING_CLIENT_PAUSE_S)


@lru_cache(maxsize=64)
def _share_body(body: bytes) -> bytes:
    """Return one object for all equal bodies, which saves memory."""
    return body


def _is_reset(error: ConnectionBrokenError) -> bool:
    """Return whether a connection of a pool was reset rather than closed."""
    return str(error) != "connection lost"


async def _wait_for_first(connection: CallerConnection) -> bool:
    """Wait for the first unanswered request; return whether it was in time."""
    if not connection.depth:
        return True
    try:
        await connection.wait_for_first()
    except TimeoutError:
        return False
    return True
