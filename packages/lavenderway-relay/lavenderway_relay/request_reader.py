"""Collects the parts of a request as the parser of `httptools` reports them."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from lavenderway_relay.memory_ledger import BUFFER_GROWTH
from lavenderway_relay.messages import SHARED_BODY_BYTES, Request

if TYPE_CHECKING:
    from lavenderway_relay.messages import Headers
    from lavenderway_relay.model import Limits

HEADER_OVERHEAD_BYTES = 4  # colon, space, CR and LF
# Memory of a header beside its bytes, for the objects that hold name and value.
HEADER_OBJECT_BYTES = 160
# Allowed for the sizes and extensions of chunks; one byte in a chunk needs 5 of them.
MAX_FRAMING_PER_BODY_BYTE = 16
# A chunked body announces no length and reserves memory in steps of this size.
RESERVATION_STEP_BYTES = 65_536


class RequestReader:
    """The request that a connection is receiving.

    Attributes:
        in_body: Whether its head is complete.
        expects_continue: Whether the client waits for `100 Continue`.

    """

    __slots__ = (
        "_announced_bytes",
        "_body",
        "_framing_bytes",
        "_head_bytes",
        "_headers",
        "_partial_head_bytes",
        "_target",
        "expects_continue",
        "in_body",
    )

    def __init__(self) -> None:
        self._headers: Headers = []
        self._target = b""
        self._body = bytearray()
        self._announced_bytes = 0
        self._framing_bytes = 0
        self._head_bytes = 0
        self._partial_head_bytes = 0
        self.expects_continue = False
        self.in_body = False

    @property
    def body_bytes(self) -> int:
        """Bytes of the body received so far."""
        return len(self._body)

    @property
    def expected_body_bytes(self) -> int:
        """Bytes that are left of a body of announced length; 0 for others."""
        if not self.in_body:
            return 0
        return max(0, self._announced_bytes - len(self._body))

    @property
    def held_bytes(self) -> int:
        """Memory that the received part takes."""
        head_bytes = self._partial_head_bytes + self._head_bytes + len(self._target)
        objects_bytes = len(self._headers) * HEADER_OBJECT_BYTES
        return head_bytes + objects_bytes + int(len(self._body) * BUFFER_GROWTH)

    @property
    def needed_bytes(self) -> int:
        """Memory that the request takes once its next part has been received."""
        body_bytes = max(self._announced_bytes, len(self._body))
        if self.in_body and not self._announced_bytes:
            body_bytes += RESERVATION_STEP_BYTES
            body_bytes -= body_bytes % RESERVATION_STEP_BYTES
        received_bytes = int(len(self._body) * BUFFER_GROWTH)
        return self.held_bytes - received_bytes + int(body_bytes * BUFFER_GROWTH)

    def add_target(self, target: bytes) -> None:
        """Append a fragment of the request target."""
        self._target += target

    def add_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        name = name.lower()
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if name == b"expect":
            self.expects_continue = True
        elif name == b"content-length" and value.isdigit():
            self._announced_bytes = int(value)

    def complete_head(self, limits: Limits) -> HTTPStatus | None:
        """Begin the body; return the status of the refusal if a limit is exceeded."""
        self.in_body = True
        self._partial_head_bytes = 0
        if self._head_bytes + len(self._target) > limits.head_bytes:
            return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        if self._announced_bytes > limits.body_bytes:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return None

    def add_body(self, body: bytes) -> int:
        """Append to the body; return its size, in bytes."""
        received = self._body
        received += body
        return len(received)

    def add_partial_head(self, byte_count: int, limits: Limits) -> bool:
        """Count bytes of an incomplete head; return whether they are too many."""
        self._partial_head_bytes += byte_count
        return self._partial_head_bytes > limits.head_bytes

    def add_framing(self, byte_count: int, limits: Limits) -> bool:
        """Count bytes between those of the body; return whether they are too many."""
        self._framing_bytes += byte_count
        allowed_bytes = len(self._body) * MAX_FRAMING_PER_BODY_BYTE
        return self._framing_bytes > limits.head_bytes + allowed_bytes

    def build(self, method: bytes) -> Request:
        """Return the complete request; a large body is not copied."""
        body = self._body if len(self._body) > SHARED_BODY_BYTES else bytes(self._body)
        return Request(method, self._target, self._headers, body)
