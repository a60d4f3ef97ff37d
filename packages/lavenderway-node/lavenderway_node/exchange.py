"""Request and response of one caller, passed between listener and node."""

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
    """Passes the response to one request from the node to the caller's handler.

    Args:
        call: The request, with its workspace and route identified.
        forwarded: The request as it is sent to the upstream.
        began_at: Time at which the request was received, in seconds.

    """

    __slots__ = (
        "_available",
        "_on_part_consumed",
        "_parts",
        "began_at",
        "call",
        "forwarded",
        "start",
    )

    def __init__(
        self, *, call: Call, forwarded: ForwardedRequest, began_at: float
    ) -> None:
        self.call = call
        self.forwarded = forwarded
        self.began_at = began_at
        loop = asyncio.get_running_loop()
        self.start: asyncio.Future[ResponseStart | Refusal] = loop.create_future()
        self._parts: deque[ResponsePart] = deque()
        self._available: asyncio.Future[None] | None = None
        self._on_part_consumed: Callable[[], None] | None = None

    def begin(
        self, start: ResponseStart, on_part_consumed: Callable[[], None] | None = None
    ) -> None:
        """Set the response head.

        Args:
            start: Head and first part of the body.
            on_part_consumed: Called whenever the caller's handler consumes a part.

        """
        self._on_part_consumed = on_part_consumed
        if not self.start.done():
            self.start.set_result(start)

    def refuse(self, refusal: Refusal) -> None:
        """Set a refusal as the final response."""
        if not self.start.done():
            self.start.set_result(refusal)

    def push(self, part: ResponsePart) -> None:
        """Append a part of the body."""
        self._parts.append(part)
        if self._available is not None and not self._available.done():
            self._available.set_result(None)

    async def next_part(self) -> ResponsePart:
        """Wait for the next part of the body and return it."""
        while not self._parts:
            self._available = asyncio.get_running_loop().create_future()
            await self._available
        part = self._parts.popleft()
        if self._on_part_consumed is not None:
            self._on_part_consumed()
        return part
