"""Mutually authenticated WebSocket link between two nodes.

Each end proves that it knows a fleet secret by sending an HMAC over the other end's
nonce. Until then, no other message is accepted. The Sans-I/O layer of `websockets` runs
inside an asyncio protocol, so that handling a message needs neither a task nor a queue.
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
MAX_UNAUTHENTICATED_MESSAGE_BYTES = 1024


class LinkPhase(Enum):
    """Phase of a link's connection and authentication."""

    CONNECTING = "connecting"
    UNAUTHENTICATED = "unproved"
    AUTHENTICATED = "proved"
    CLOSED = "closed"


class Identity(NamedTuple):
    """Host, incarnation and fleet secrets of one end of a link.

    Attributes:
        secrets: Accepted fleet secrets; the first one signs the proofs of this end.

    """

    host: HostId
    incarnation: Incarnation
    secrets: tuple[bytes, ...]


class LinkOwner(Protocol):
    """Receives the events of a link."""

    def link_authenticated(self, link: Link) -> None:
        """Handle the authentication of a link's peer."""

    def link_message(self, link: Link, message: tuple[Any, ...]) -> None:
        """Handle a message from an authenticated link."""

    def link_closed(self, link: Link) -> None:
        """Handle the end of a link's connection."""

    def link_rejected(self, link: Link, problem: str) -> None:
        """Handle the failed authentication or a protocol violation of a peer."""


class Link(asyncio.Protocol):
    """One end of a link.

    Args:
        identity: Identity of this end.
        owner: Receives the events of the link.
        is_initiator: Whether this end opened the connection.
        expected_host: Host that the peer must have; None accepts any host.

    """

    def __init__(
        self,
        *,
        identity: Identity,
        owner: LinkOwner,
        is_initiator: bool,
        expected_host: HostId | None = None,
    ) -> None:
        self.phase = LinkPhase.CONNECTING
        self.peer: HostId | None = None
        self.peer_incarnation: Incarnation | None = None
        self._identity = identity
        self._owner = owner
        self._is_initiator = is_initiator
        self._expected_host = expected_host
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._peer_hello: Hello | None = None
        self._transport: asyncio.Transport | None = None
        self._handshake_timer: asyncio.TimerHandle | None = None
        self._websocket: ClientProtocol | ServerProtocol
        self._frame_payloads: list[bytes] = []
        if is_initiator:
            uri = parse_uri("ws://node/")
            self._websocket = ClientProtocol(uri, max_size=MAX_MESSAGE_BYTES)
        else:
            self._websocket = ServerProtocol(max_size=MAX_MESSAGE_BYTES)

    def send(self, message: tuple[Any, ...]) -> bool:
        """Send a message; return False if the link is not open."""
        if self.phase is LinkPhase.CLOSED or self._transport is None:
            return False
        try:
            self._websocket.send_binary(encode(message))
        except InvalidState:
            return False
        self._flush()
        return True

    def close(self) -> None:
        """Close the connection after flushing buffered data."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._handshake_timer = loop.call_later(
            HANDSHAKE_TIMEOUT_S, self._expire_handshake
        )
        if isinstance(self._websocket, ClientProtocol):
            self._websocket.send_request(self._websocket.connect())
            self._flush()

    def data_received(self, data: bytes) -> None:
        """Process received bytes; called by asyncio."""
        self._websocket.receive_data(data)
        for event in self._websocket.events_received():
            if self.phase is LinkPhase.CLOSED:
                return
            self._handle_event(event)
        self._flush()

    def eof_received(self) -> bool:
        """Process the end of the received stream; called by asyncio."""
        self._websocket.receive_eof()
        self._flush()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the owner; called by asyncio."""
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        self.phase = LinkPhase.CLOSED
        self._owner.link_closed(self)

    def _handle_event(self, event: object) -> None:
        if isinstance(event, Request):
            assert isinstance(self._websocket, ServerProtocol)
            self._websocket.send_response(self._websocket.accept(event))
            self._send_hello()
        elif isinstance(event, Response):
            self._send_hello()
        elif isinstance(event, Frame):
            self._handle_frame(event)

    def _send_hello(self) -> None:
        if self._websocket.state is not OPEN:
            self._reject("WebSocket handshake failed")
            return
        self.phase = LinkPhase.UNAUTHENTICATED
        identity = self._identity
        self.send(
            Hello(PROTOCOL_VERSION, identity.host, identity.incarnation, self._nonce)
        )

    def _handle_frame(self, frame: Frame) -> None:
        if frame.opcode in (Opcode.BINARY, Opcode.CONT):
            self._frame_payloads.append(bytes(frame.data))
            size = sum(map(len, self._frame_payloads))
            authenticated = self.phase is LinkPhase.AUTHENTICATED
            if size > (
                MAX_MESSAGE_BYTES
                if authenticated
                else MAX_UNAUTHENTICATED_MESSAGE_BYTES
            ):
                self._reject("message exceeds the size limit")
            elif frame.fin:
                data = b"".join(self._frame_payloads)
                self._frame_payloads.clear()
                self._decode_message(data)
        elif frame.opcode is Opcode.TEXT:
            self._reject("text message received; expected a binary message")

    def _decode_message(self, data: bytes) -> None:
        match decode(data):
            case Success(message):
                self._handle_message(message)
            case Failure(error):
                self._reject(error.problem)

    def _handle_message(self, message: tuple[Any, ...]) -> None:
        if self.phase is LinkPhase.AUTHENTICATED:
            self._owner.link_message(self, message)
        elif isinstance(message, Hello) and self._peer_hello is None:
            self._handle_hello(message)
        elif isinstance(message, Proof) and self._peer_hello is not None:
            self._handle_proof(message)
        else:
            self._reject("message received before authentication")

    def _handle_hello(self, hello: Hello) -> None:
        if hello.version != PROTOCOL_VERSION:
            self._reject(f"unsupported protocol version {hello.version}")
            return
        if self._expected_host is not None and hello.host != self._expected_host:
            self._reject(f"peer is host {hello.host}; expected {self._expected_host}")
            return
        self._peer_hello = hello
        identity = self._identity
        tag = _compute_proof_tag(
            identity.secrets[0],
            self._is_initiator,
            identity.host,
            hello.nonce,
            self._nonce,
        )
        self.send(Proof(tag))

    def _handle_proof(self, proof: Proof) -> None:
        assert self._peer_hello is not None
        hello = self._peer_hello
        authenticated = any(
            hmac.compare_digest(
                proof.tag,
                _compute_proof_tag(
                    secret, not self._is_initiator, hello.host, self._nonce, hello.nonce
                ),
            )
            for secret in self._identity.secrets
        )
        if not authenticated:
            self._reject("proof does not match any fleet secret")
            return
        self.phase = LinkPhase.AUTHENTICATED
        self.peer = hello.host
        self.peer_incarnation = hello.incarnation
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        self._owner.link_authenticated(self)

    def _reject(self, problem: str) -> None:
        self._owner.link_rejected(self, problem)
        if self._transport is not None:
            self._transport.abort()
        self.phase = LinkPhase.CLOSED

    def _expire_handshake(self) -> None:
        self._reject("peer did not authenticate in time")

    def _flush(self) -> None:
        transport = self._transport
        if transport is None:
            return
        for data in self._websocket.data_to_send():
            if data:
                transport.write(data)
            else:
                transport.close()


def _compute_proof_tag(
    secret: bytes, is_initiator: bool, host: str, challenge: bytes, prover_nonce: bytes
) -> bytes:
    role = b"dials" if is_initiator else b"accepts"
    content = b"|".join([b"link", role, host.encode(), challenge, prover_nonce])
    return hmac.new(secret, content, hashlib.sha256).digest()
