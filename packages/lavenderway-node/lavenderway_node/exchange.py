"""A caller's request as the node's sockets see it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_node.frames import Headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_core.identification import Call
    from lavenderway_core.refusal import Refusal


class CallInput(NamedTuple):
    """What is sent to the upstream."""

    method: str
    target: str
    headers: Headers
    body: bytes


class AnswerStart(NamedTuple):
    """Head of an answer and the first part of its body.

    Attributes:
        more: Whether more parts follow.

    """

    status: int
    reason: str
    headers: Headers
    body: bytes
    more: bool


class AnswerPart(NamedTuple):
    """A further part of an answer; `broken` tells that the rest is lost."""

    data: bytes
    more: bool
    broken: bool


class CallerExchange:
    """Hands the answer of one request from the node to its caller's handler.

    Args:
        call: The identified request.
        given: What is sent to the upstream.
        began: Time at which the request came, in seconds.

    """

    __slots__ = ("_arrived", "_on_taken", "_parts", "began", "call", "given", "start")

    def __init__(self, *, call: Call, given: CallInput, began: float) -> None:
        self.call = call
        self.given = given
        self.began = began
        loop = asyncio.get_running_loop()
        self.start: asyncio.Future[AnswerStart | Refusal] = loop.create_future()
        self._parts: deque[AnswerPart] = deque()
        self._arrived: asyncio.Future[None] | None = None
        self._on_taken: Callable[[], None] | None = None

    def begin(
        self, start: AnswerStart, on_taken: Callable[[], None] | None = None
    ) -> None:
        """Set the head; `on_taken` is called for each part that the caller took."""
        self._on_taken = on_taken
        if not self.start.done():
            self.start.set_result(start)

    def refuse(self, refusal: Refusal) -> None:
        """Set a refusal as the final answer."""
        if not self.start.done():
            self.start.set_result(refusal)

    def push(self, part: AnswerPart) -> None:
        """Add a part of the body."""
        self._parts.append(part)
        if self._arrived is not None and not self._arrived.done():
            self._arrived.set_result(None)

    async def next_part(self) -> AnswerPart:
        """Return the next part of the body, waiting for it."""
        while not self._parts:
            self._arrived = asyncio.get_running_loop().create_future()
            await self._arrived
        part = self._parts.popleft()
        if self._on_taken is not None:
            self._on_taken()
        return part
