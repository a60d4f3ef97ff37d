"""Stand-in of an application server beside a node."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import time
from typing import TYPE_CHECKING

from standins.http import Message, encode_request, encode_response, read_message

if TYPE_CHECKING:
    from collections.abc import Callable

HEARTBEAT_S = 1.5
ATTEMPT = "lavenderway-attempt-id"
DEADLINE = "lavenderway-deadline-ms"


class Server:
    """A sound server: runs a request for as long as its path says.

    A path ends with the milliseconds of work: `/archive/400` takes 0.4 s. With
    `/order/3x400` the server makes three calls, one after the other, to `/stock/400`. A
    run ends when its connection closes.

    Attributes:
        leaving: Whether all answers name `Server-Leaving`.
        shed_every: Rejects each request of this number, as a grey server; 0 for none.
        copy_every: Of so many answers at most one is spoiled; 0 for none. On a
            connection that has carried a rejection, a second copy of it then arrives
            where the next answer is due, in front of that answer, without a length, and
            ends with the connection.
        state: State that the heartbeats name.
        on_event: Called with what happened, and with the request.
        on_call: Called with the id of a call, and with its status; 0 as it is sent.

    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        port: int,
        control_port: int,
        outbound_port: int,
        slots: int,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.port = port
        self.control_port = control_port
        self.outbound_port = outbound_port
        self.slots = slots
        self.leaving = False
        self.state = "ready"
        self.shed_every = 0
        self.copy_every = 0
        self.on_event: Callable[[str, Server, Message], None] = lambda *_: None
        self.on_call: Callable[[str, int | None], None] = lambda *_: None
        self._born = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        self._running = 0
        self._requests = 0
        self._answers = 0
        self._copied_at = 0
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to serve and to send heartbeats."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats; go on serving."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    async def heartbeat(self) -> int:
        """Send a heartbeat; return the status of its response, 0 without one."""
        body = {
            "address": f"127.0.0.1:{self.port}",
            "born": self._born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "capacity": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": next(self._sequence),
                "warmup-left": "0ms",
            },
        }
        return await self._tell(f"/v1/Instances.Heartbeat/{self.name}", body)

    async def deregister(self) -> int:
        """Deregister; return the status of the response, 0 without one."""
        path = f"/v1/Instances.Deregister/{self.name}"
        return await self._tell(path, {"born": self._born})

    async def _send_heartbeats(self) -> None:
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _tell(self, path: str, body: dict[str, object]) -> int:
        data = encode_request(
            "POST",
            path,
            [("Host", "control"), ("Content-Type", "application/json")],
            json.dumps(body).encode(),
        )
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.control_port
                )
                writer.write(data)
                response = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError):
            return 0
        return response.status if response is not None else 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        rejection = b""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                self._requests += 1
                if self.shed_every and self._requests % self.shed_every == 0:
                    rejection = self._reject(request)
                    self.on_event("rejected", self, request)
                    writer.write(rejection)
                    continue
                response = await self._run(request, reader)
                if response is None:
                    break
                self._answers += 1
                if rejection and self._may_copy():
                    self.on_event("second answer to another request", self, request)
                    copy = rejection.replace(b"Content-Length: 0\r\n", b"")
                    writer.write(copy + response)
                    await writer.drain()
                    break
                writer.write(response)
                await writer.drain()
        writer.close()

    def _reject(self, request: Message) -> bytes:
        headers = [*self._headers(request), ("Lavenderway-Not-Executed", "1")]
        return encode_response(503, headers)

    def _may_copy(self) -> bool:
        if not self.copy_every or self._answers - self._copied_at < self.copy_every:
            return False
        self._copied_at = self._answers
        return True

    async def _run(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        expected = request.header("lavenderway-expected-instance")
        if expected is not None and expected != self.name:
            return encode_response(421, self._headers(request))
        if self._running >= 2 * self.slots:
            return self._reject(request)
        self._running += 1
        self.on_event("run", self, request)
        closed = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self._work(request))
        try:
            await asyncio.wait({closed, work}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._running -= 1
            closed.cancel()
            work.cancel()
        if closed.done() and not closed.cancelled():
            self.on_event("dropped", self, request)
            return None
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        status = work.result()
        self.on_event("ran", self, request)
        headers = self._headers(request)
        headers.append(("Lavenderway-Server-Signature", f"sig-{self.name}"))
        # The response to HEAD has no body.
        body = b"" if request.first[0] == "HEAD" else b"served " + self.name.encode()
        return encode_response(status, headers, body)

    async def _work(self, request: Message) -> int:
        """Run a request; return the status of its answer."""
        work = request.first[1].rpartition("/")[2]
        calls, _, work_ms = work.rpartition("x")
        if not calls:
            await asyncio.sleep(int(work_ms) / 1000)
            return 200
        ends_at = time.monotonic() + int(request.header(DEADLINE) or 0) / 1000
        for number in range(int(calls)):
            attempt = f"{request.header(ATTEMPT)}.{number + 1:x}"
            if await self._call(attempt, f"/stock/{work_ms}", ends_at) != 200:
                return 500
        return 200

    async def _call(self, attempt: str, path: str, ends_at: float) -> int | None:
        """Make a call through the own node; return the status, None without one.

        It expires at the deadline of the request that makes it.
        """
        self.on_call(attempt, 0)
        response: Message | None = None
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.outbound_port
            )
            left_ms = int(1000 * (ends_at - time.monotonic()))
            headers = [
                ("Host", "app.example"),
                ("Lavenderway-Attempt-Id", attempt),
                ("Lavenderway-Deadline-Ms", str(max(1, left_ms))),
            ]
            writer.write(encode_request("GET", path, headers))
            response = await read_message(reader)
            writer.close()
        status = None if response is None else response.status
        self.on_call(attempt, status)
        return status

    def _headers(self, request: Message) -> list[tuple[str, str]]:
        """Return the headers that all answers carry."""
        headers = [("Lavenderway-Attempt-Id", request.header(ATTEMPT) or "")]
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        return headers
