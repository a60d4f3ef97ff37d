"""Destinations of job responses: a local caller or a link to the entry node.

A window of unacknowledged parts bounds the memory that a slow caller can occupy.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from lavenderway_core.events import AttemptRefused, ResponseEnded, ResponseStarted

from lavenderway_node.frames import ResponseBody, ResponseHead, ResponseRefused

if TYPE_CHECKING:
    from lavenderway_core.admission import LoadReport
    from lavenderway_core.ids import JobId
    from lavenderway_core.refusal import Refusal

    from lavenderway_node.exchange import ResponsePart, ResponseStart
    from lavenderway_node.link import Link
    from lavenderway_node.node import Node

MAX_UNACKNOWLEDGED_PARTS = 8


class Sink(Protocol):
    """Receives the response of one job."""

    def begin(self, start: ResponseStart, load: LoadReport | None) -> None:
        """Send the response head and the first part of the body."""

    def push(self, part: ResponsePart) -> None:
        """Send a further part of the body."""

    def refuse(self, refusal: Refusal, load: LoadReport | None) -> None:
        """Report that the attempt was refused."""

    async def wait_for_window(self) -> None:
        """Wait until the window has room for another part."""


class _Window:
    """Counts the parts that the receiver has not acknowledged yet."""

    def __init__(self) -> None:
        self._unacknowledged_parts = 0
        self._opened: asyncio.Future[None] | None = None

    def record_sent(self) -> None:
        """Count a part as sent."""
        self._unacknowledged_parts += 1

    def record_consumed(self, parts: int) -> None:
        """Count parts as consumed by the receiver and wake a waiting sender."""
        self._unacknowledged_parts = max(0, self._unacknowledged_parts - parts)
        if self._opened is not None and not self._opened.done():
            self._opened.set_result(None)

    async def wait_until_open(self) -> None:
        """Wait until another part may be sent."""
        while self._unacknowledged_parts >= MAX_UNACKNOWLEDGED_PARTS:
            self._opened = asyncio.get_running_loop().create_future()
            await self._opened


class LocalSink:
    """Sends the response of a job to a caller of this node.

    Args:
        node: Node that holds the caller's exchange.
        job: Job that produces the response.

    """

    def __init__(self, *, node: Node, job: JobId) -> None:
        self._node = node
        self._job = job
        self._window = _Window()

    def begin(self, start: ResponseStart, load: LoadReport | None) -> None:
        """Send the response head and the first part of the body."""
        self._node.dispatch(ResponseStarted(self._job, load))
        exchange = self._node.exchanges.get(self._job.exchange)
        if exchange is not None:
            exchange.begin(start, self._open_window)
        if not start.more:
            self._node.dispatch(ResponseEnded(self._job, complete=True))

    def push(self, part: ResponsePart) -> None:
        """Send a further part of the body."""
        exchange = self._node.exchanges.get(self._job.exchange)
        if exchange is not None and not part.broken:
            exchange.push(part)
        self._window.record_sent()
        if not part.more:
            self._node.dispatch(ResponseEnded(self._job, complete=not part.broken))

    def refuse(self, refusal: Refusal, load: LoadReport | None) -> None:
        """Report that the attempt was refused."""
        self._node.dispatch(AttemptRefused(self._job, refusal, load))

    async def wait_for_window(self) -> None:
        """Wait until the window has room for another part."""
        await self._window.wait_until_open()

    def _open_window(self) -> None:
        self._window.record_consumed(1)


class LinkSink:
    """Sends the response of a job to the entry node, over the link of the attempt.

    Args:
        link: Link over which the attempt was received.
        job: Job that produces the response.

    """

    def __init__(self, *, link: Link, job: JobId) -> None:
        self.link = link
        self._job = job
        self._window = _Window()

    def begin(self, start: ResponseStart, load: LoadReport | None) -> None:
        """Send the response head and the first part of the body."""
        self.link.send(ResponseHead(self._job, *start, load))

    def push(self, part: ResponsePart) -> None:
        """Send a further part of the body."""
        self._window.record_sent()
        self.link.send(ResponseBody(self._job, *part))

    def refuse(self, refusal: Refusal, load: LoadReport | None) -> None:
        """Report that the attempt was refused."""
        message = ResponseRefused(
            self._job,
            refusal.reason.label,
            refusal.outcome,
            refusal.retry_after_s,
            refusal.detail,
            load,
        )
        self.link.send(message)

    def open_window(self, parts: int) -> None:
        """Count parts that the entry node has passed on to its caller."""
        self._window.record_consumed(parts)

    async def wait_for_window(self) -> None:
        """Wait until the window has room for another part."""
        await self._window.wait_until_open()
