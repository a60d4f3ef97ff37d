"""Passes a request and its response between the caller listener and the node."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_node.frames import Headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_core.identification import Call
    from lavenderway_core.refusal import Refusal


class ForwardedRequest(NamedTuple):
    """A request in the form in which it is sent to the upstream."""

    method: str
    target: str
    headers: Headers
    body: bytes


class ResponseStart(NamedTuple):
    """Head of a response and the first part of its body.

    Attributes:
        more: Whether more parts follow.

    """

    status: int
    reason: str
    headers: Headers
    body: bytes
    more: bool


class ResponsePart(NamedTuple):
    """A further part of a response body.

    Attributes:
        more: Whether more parts follow.
        broken: Whether the rest of the response has been lost.

    """

    data: bytes
    more: bool
    broken: bool


class CallerExchange:
    """Passes the response to one request from the node to the caller listener.

    Args:
        call: The request, with its workspace and route identified.
        forwarded: The request as it is sent to the upstream.
        received_at: Time at which the request was received, in seconds.

    Attributes:
        start: Future of the response start, or of the refusal of the request.

    """

    __slots__ = (
        "_on_part_consumed",
        "_part_available",
        "_parts",
        "call",
        "forwarded",
        "received_at",
        "start",
    )

    def __init__(
        self, *, call: Call, forwarded: ForwardedRequest, received_at: float
    ) -> None:
        self.call = call
        self.forwarded = forwarded
        self.received_at = received_at
        loop = asyncio.get_running_loop()
        self.start: asyncio.Future[ResponseStart | Refusal] = loop.create_future()
        self._parts: deque[ResponsePart] = deque()
        self._part_available: asyncio.Future[None] | None = None
        self._on_part_consumed: Callable[[], None] | None = None

    def begin(
        self, start: ResponseStart, on_part_consumed: Callable[[], None] | None = None
    ) -> None:
        """Set the start of the response.

        Args:
            start: Head and first part of the body.
            on_part_consumed: Called whenever the listener takes a part to send it.

        """
        self._on_part_consumed = on_part_consumed
        if not self.start.done():
            self.start.set_result(start)

    def refuse(self, refusal: Refusal) -> None:
        """Set a refusal as the response."""
        if not self.start.done():
            self.start.set_result(refusal)

    def push(self, part: ResponsePart) -> None:
        """Append a part of the body."""
        self._parts.append(part)
        if self._part_available is not None and not self._part_available.done():
            self._part_available.set_result(None)

    async def next_part(self) -> ResponsePart:
        """Wait for the next part of the body and return it."""
        while not self._parts:
            self._part_available = asyncio.get_running_loop().create_future()
            await self._part_available
        part = self._parts.popleft()
        if self._on_part_consumed is not None:
            self._on_part_consumed()
        return part
