"""A link between two nodes: a WebSocket whose two ends prove the fleet secret.

The WebSocket protocol comes from the Sans-I/O layer of `websockets`, driven from an
asyncio protocol, so that a message costs no task and no queue.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import secrets
from enum import Enum
from typing import Any, NamedTuple, Protocol

from lavenderway_core.ids import HostId, Incarnation
from returns.result import Failure, Success
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidState
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import OPEN
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from lavenderway_node.codec import MAX_MESSAGE_BYTES, decode, encode
from lavenderway_node.frames import PROTOCOL_VERSION, Hello, Proof

HANDSHAKE_TIMEOUT_S = 2.0
NONCE_BYTES = 16
MAX_UNPROVED_BYTES = 1024


class LinkPhase(Enum):
    """Phase of a link."""

    CONNECTING = "connecting"
    UNPROVED = "unproved"
    PROVED = "proved"
    CLOSED = "closed"


class Identity(NamedTuple):
    """What an end of a link proves itself with."""

    host: HostId
    incarnation: Incarnation
    secrets: tuple[bytes, ...]


class LinkOwner(Protocol):
    """Takes what a link reports."""

    def link_proved(self, link: Link) -> None:
        """Take note of a link whose other end is proved."""

    def link_message(self, link: Link, message: tuple[Any, ...]) -> None:
        """Take a message from a proved link."""

    def link_closed(self, link: Link) -> None:
        """Take note of a link that has closed."""

    def link_rejected(self, link: Link, problem: str) -> None:
        """Take note of a link that is dropped for a bad message."""


class Link(asyncio.Protocol):
    """One end of a link.

    Args:
        identity: What this end proves itself with.
        owner: Takes what the link reports.
        dials: Whether this end opened the connection.
        expected: Host that must answer, if it is known.

    """

    def __init__(
        self,
        *,
        identity: Identity,
        owner: LinkOwner,
        dials: bool,
        expected: HostId | None = None,
    ) -> None:
        self.phase = LinkPhase.CONNECTING
        self.peer: HostId | None = None
        self.peer_incarnation: Incarnation | None = None
        self._identity = identity
        self._owner = owner
        self._dials = dials
        self._expected = expected
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._hello: Hello | None = None
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._websocket: ClientProtocol | ServerProtocol
        self._parts: list[bytes] = []
        if dials:
            uri = parse_uri("ws://node/")
            self._websocket = ClientProtocol(uri, max_size=MAX_MESSAGE_BYTES)
        else:
            self._websocket = ServerProtocol(max_size=MAX_MESSAGE_BYTES)

    def send(self, message: tuple[Any, ...]) -> bool:
        """Send a message; return False when the link has closed."""
        if self.phase is LinkPhase.CLOSED or self._transport is None:
            return False
        try:
            self._websocket.send_binary(encode(message))
        except InvalidState:
            return False
        self._flush()
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the handshake; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HANDSHAKE_TIMEOUT_S, self._time_out)
        if isinstance(self._websocket, ClientProtocol):
            self._websocket.send_request(self._websocket.connect())
            self._flush()

    def data_received(self, data: bytes) -> None:
        """Take in bytes; called by asyncio."""
        self._websocket.receive_data(data)
        for event in self._websocket.events_received():
            if self.phase is LinkPhase.CLOSED:
                return
            self._take_event(event)
        self._flush()

    def eof_received(self) -> bool:
        """Take in the end of the stream; called by asyncio."""
        self._websocket.receive_eof()
        self._flush()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the link; called by asyncio."""
        if self._timer is not None:
            self._timer.cancel()
        self.phase = LinkPhase.CLOSED
        self._owner.link_closed(self)

    def _take_event(self, event: object) -> None:
        if isinstance(event, Request):
            assert isinstance(self._websocket, ServerProtocol)
            self._websocket.send_response(self._websocket.accept(event))
            self._greet()
        elif isinstance(event, Response):
            self._greet()
        elif isinstance(event, Frame):
            self._take_frame(event)

    def _greet(self) -> None:
        if self._websocket.state is not OPEN:
            self._reject("not a WebSocket peer")
            return
        self.phase = LinkPhase.UNPROVED
        own = self._identity
        self.send(Hello(PROTOCOL_VERSION, own.host, own.incarnation, self._nonce))

    def _take_frame(self, frame: Frame) -> None:
        if frame.opcode in (Opcode.BINARY, Opcode.CONT):
            self._parts.append(bytes(frame.data))
            size = sum(map(len, self._parts))
            proved = self.phase is LinkPhase.PROVED
            if size > (MAX_MESSAGE_BYTES if proved else MAX_UNPROVED_BYTES):
                self._reject("message over the size limit")
            elif frame.fin:
                data = b"".join(self._parts)
                self._parts.clear()
                self._take_message(data)
        elif frame.opcode is Opcode.TEXT:
            self._reject("text message")

    def _take_message(self, data: bytes) -> None:
        match decode(data):
            case Success(message):
                self._take_decoded(message)
            case Failure(error):
                self._reject(error.problem)

    def _take_decoded(self, message: tuple[Any, ...]) -> None:
        if self.phase is LinkPhase.PROVED:
            self._owner.link_message(self, message)
        elif isinstance(message, Hello) and self._hello is None:
            self._take_hello(message)
        elif isinstance(message, Proof) and self._hello is not None:
            self._take_proof(message)
        else:
            self._reject("message before the proof")

    def _take_hello(self, hello: Hello) -> None:
        if hello.version != PROTOCOL_VERSION:
            self._reject(f"protocol version {hello.version}")
            return
        if self._expected is not None and hello.host != self._expected:
            self._reject(f"host {hello.host} in place of {self._expected}")
            return
        self._hello = hello
        own = self._identity
        tag = _tag(own.secrets[0], self._dials, own.host, hello.nonce, self._nonce)
        self.send(Proof(tag))

    def _take_proof(self, proof: Proof) -> None:
        assert self._hello is not None
        hello = self._hello
        proved = any(
            hmac.compare_digest(
                proof.tag,
                _tag(secret, not self._dials, hello.host, self._nonce, hello.nonce),
            )
            for secret in self._identity.secrets
        )
        if not proved:
            self._reject("wrong proof")
            return
        self.phase = LinkPhase.PROVED
        self.peer = hello.host
        self.peer_incarnation = hello.incarnation
        if self._timer is not None:
            self._timer.cancel()
        self._owner.link_proved(self)

    def _reject(self, problem: str) -> None:
        self._owner.link_rejected(self, problem)
        if self._transport is not None:
            self._transport.abort()
        self.phase = LinkPhase.CLOSED

    def _time_out(self) -> None:
        self._reject("no proof in time")

    def _flush(self) -> None:
        transport = self._transport
        if transport is None:
            return
        for data in self._websocket.data_to_send():
            if data:
                transport.write(data)
            else:
                transport.close()


def _tag(secret: bytes, dials: bool, host: str, challenge: bytes, own: bytes) -> bytes:
    role = b"dials" if dials else b"accepts"
    content = b"|".join([b"link", role, host.encode(), challenge, own])
    return hmac.new(secret, content, hashlib.sha256).digest()
