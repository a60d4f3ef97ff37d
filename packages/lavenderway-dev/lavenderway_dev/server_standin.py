"""HTTP stand-in for an application server of the users' platform."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, Protocol

import orjson
from lavenderway_relay.messages import Request, Response, encode_request
from lavenderway_relay.model import Limits
from lavenderway_relay.pools import ConnectError, ConnectionBrokenError, ConnectionPool
from lavenderway_relay.refusals import refuse_malformed_input
from lavenderway_relay.server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_relay.model import Address

REQUEST_ID = b"lavenderway-attempt-id"
CALLING_SERVER = b"x-calling-server"  # names the server that makes a call
CALL_TIMEOUT_S = 5.0
LIMITS = Limits(body_bytes=67_108_864)  # nodes enforce the limits of the configuration


@dataclass(kw_only=True)
class Call:
    """A call to another service that a server makes while it runs a request.

    Attributes:
        authority: Authority of the called service.
        path: Path of the call.
        times: Number of consecutive calls.

    """

    authority: str
    path: str
    times: int = 1


class CallResult(NamedTuple):
    """Result of one call.

    Attributes:
        sent_at: Time of the event loop, in seconds.
        response: The response; None without a complete one.
        error: How the connection broke before the response ended; None if it did not.

    """

    id: str
    path: str
    sent_at: float
    response: Response | None
    error: ConnectionBrokenError | None


@dataclass(kw_only=True)
class ServerPlan:
    """Plan of an application server.

    Attributes:
        service: Service that the server belongs to.
        slots: Announced number of concurrent requests; the server accepts two more.
        service_time_s: Time to run one request without its calls, in seconds.
        calls: Calls made by each request, by path prefix of the request.
        service_times_s: Times that replace `service_time_s`, by path, in seconds.
        padding_bytes: Bytes appended to response bodies, by path.

    """

    service: str
    slots: int = 8
    service_time_s: float = 0.005
    calls: dict[str, list[Call]] = field(default_factory=dict)
    service_times_s: dict[str, float] = field(default_factory=dict)
    padding_bytes: dict[str, int] = field(default_factory=dict)


class Listener(Protocol):
    """Serves in place of a server, which still announces itself."""

    async def start(self, address: Address) -> asyncio.Server:
        """Start listening."""


class Server:
    """An application server that announces itself to the node of its host.

    Args:
        name: Instance ID of this incarnation.
        plan: Plan of the server.
        address: Address to listen on.
        zone: Failure domain that heartbeats report.
        node_outbound: Address of the node for calls to other services.
        node_control: Address of the node for heartbeats.
        advertised: Address that heartbeats report; the listening address by default.

    Attributes:
        state: State that heartbeats report.
        runs: Requests that the server has started to run.
        notices: Headers that all responses carry, such as a limit that the server
            names.
        on_arrival: Called with the server and each request that it accepts or rejects.
        on_run: Called with the server and each request that it starts to run.
        on_end: Called with the server, each request that ran, and whether it completed.
        on_call: Called with the server and the result of each call that it made.
        rejected: Number of requests rejected because the server was full.
        warmup_left_s: Time for which the server stays cold, as heartbeats report it,
            in seconds.
        error_status: Status of all responses; 0 to report the actual result.
        response_fault: `unsigned` omits the signature of the server, `foreign`
            returns the ID of another request; empty for none.
        responses_to_lose: Number of coming requests that run without a response.
        cancelled: Number of requests cancelled while they ran.

    """

    def __init__(
        self,
        *,
        name: str,
        plan: ServerPlan,
        address: Address,
        zone: str,
        node_outbound: Address,
        node_control: Address,
        advertised: Address | None = None,
    ) -> None:
        self.name = name
        self.plan = plan
        self.address = address
        self.state = "ready"
        self.advertised = advertised or address
        self.runs: list[Request] = []
        self.notices: list[tuple[bytes, bytes]] = []
        self.on_arrival: Callable[[Server, Request], None] = lambda *_: None
        self.on_run: Callable[[Server, Request], None] = lambda *_: None
        self.on_end: Callable[[Server, Request, bool], None] = lambda *_: None
        self.on_call: Callable[[Server, CallResult], None] = lambda *_: None
        self.rejected = 0
        self.error_status = 0
        self.response_fault = ""
        self.responses_to_lose = 0
        self.cancelled = 0
        self.warmup_left_s = 0.0
        self.started_ms = int(time.time() * 1000)
        self._zone = zone
        self._node_outbound = node_outbound
        self._node_control = node_control
        self._running = 0
        self._sequence = itertools.count(1)
        self._call_ids = itertools.count(1)
        loop = asyncio.get_running_loop()
        self._pool = ConnectionPool(loop=loop, connect_timeout_s=1.0)
        self._listener = HttpServer(
            loop=loop,
            serve=self._serve,
            refuse=refuse_malformed_input,
            limits=lambda: LIMITS,
        )
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._replacement: asyncio.Server | None = None

    async def start(self, *, interval_s: float = 0.3) -> None:
        """Start listening and sending heartbeats."""
        await self._listener.listen(self.address)
        self._heartbeat_task = asyncio.get_running_loop().create_task(
            self._send_heartbeats(interval_s)
        )

    def stop_heartbeats(self) -> None:
        """Stop sending heartbeats, and continue to serve."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()

    async def replace_listener(self, replacement: Listener) -> None:
        """Let something else serve from now on, in place of this server."""
        self._close_listener()
        self._replacement = await replacement.start(self.address)

    def stop(self) -> None:
        """Stop heartbeats and abort all connections."""
        self.stop_heartbeats()
        self._close_listener()
        if self._replacement is not None:
            self._replacement.close()

    def _close_listener(self) -> None:
        self._listener.close()
        for connection in tuple(self._listener.connections):
            connection.abort()

    async def leave(self) -> int:
        """Announce draining; return the status of the acknowledgement."""
        self.state = "draining"
        return await self.send_heartbeat()

    async def send_heartbeat(self, *, sequence: int | None = None) -> int:
        """Send one heartbeat; return the status of its acknowledgement.

        Args:
            sequence: Sequence number to send; the next one by default.

        """
        body = {
            "address": str(self.advertised),
            "born": self.started_ms,
            "info": {
                "service": self.plan.service,
                "version": "v1",
                "zone": self._zone,
                "capacity": self.plan.slots,
            },
            "status": {
                "state": self.state,
                "sequence": next(self._sequence) if sequence is None else sequence,
                "warmup-left": f"{int(self.warmup_left_s * 1e3)}ms",
            },
        }
        return await self._control(f"/v1/Instances.Heartbeat/{self.name}", body)

    async def deregister(self) -> int:
        """Deregister this incarnation; return the status of the acknowledgement."""
        body: dict[str, object] = {"born": self.started_ms}
        return await self._control(f"/v1/Instances.Deregister/{self.name}", body)

    async def _control(self, path: str, body: dict[str, object]) -> int:
        request = Request(
            b"POST",
            path.encode(),
            [(b"host", b"control"), (b"content-type", b"application/json")],
            orjson.dumps(body),
        )
        try:
            async with asyncio.timeout(1.0):
                data = encode_request(request)
                return (await self._pool.exchange(self._node_control, data)).status
        except (ConnectError, ConnectionBrokenError, TimeoutError):
            return 0

    async def _send_heartbeats(self, interval_s: float) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(interval_s)

    async def _serve(self, request: Request) -> Response:
        request_id = request.header(REQUEST_ID) or b""
        expected = request.header(b"lavenderway-expected-instance")
        if expected is not None and expected != self.name.encode():
            return Response(421, [], b"")
        self.on_arrival(self, request)
        if self._running >= self.plan.slots + 2:
            self.rejected += 1
            headers = [(b"lavenderway-not-executed", b"1"), *self.notices]
            return Response(503, headers, b"")
        self._running += 1
        self.runs.append(request)
        self.on_run(self, request)
        path = request.target.decode()
        completed = False
        try:
            await asyncio.sleep(
                self.plan.service_times_s.get(path, self.plan.service_time_s)
            )
            calls_succeeded = await self._call_services(request, request_id)
            completed = True
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self._running -= 1
            self.on_end(self, request, completed)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            await asyncio.sleep(3600)
        status = self.error_status or (200 if calls_succeeded else 500)
        headers = [(REQUEST_ID, request_id)]
        if self.response_fault != "unsigned":
            headers.append((b"lavenderway-server-signature", self.name.encode()))
        if self.response_fault == "foreign":
            headers[0] = (REQUEST_ID, b"another")
        headers += self.notices
        padding = bytes(self.plan.padding_bytes.get(path, 0))
        return Response(status, headers, b"served " + request.target + padding)

    async def _call_services(self, request: Request, request_id: bytes) -> bool:
        for prefix, calls in self.plan.calls.items():
            if not request.target.startswith(prefix.encode()):
                continue
            for call in calls:
                for _ in range(call.times):
                    if not await self._call(call, request_id):
                        return False
        return True

    async def _call(self, call: Call, parent_id: bytes) -> bool:
        call_id = b"%b.%x" % (parent_id, next(self._call_ids))
        headers = [
            (b"host", call.authority.encode()),
            (REQUEST_ID, call_id),
            (CALLING_SERVER, self.name.encode()),
        ]
        request = Request(b"GET", call.path.encode(), headers, b"")
        sent_at = asyncio.get_running_loop().time()
        response: Response | None = None
        broken: ConnectionBrokenError | None = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                data = encode_request(request)
                response = await self._pool.exchange(self._node_outbound, data)
        except (ConnectError, TimeoutError):
            pass
        except ConnectionBrokenError as error:
            broken = error
        self.on_call(
            self, CallResult(call_id.decode(), call.path, sent_at, response, broken)
        )
        return response is not None and response.status == 200
