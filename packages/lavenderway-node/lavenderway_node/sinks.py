"""Where the answer of a job goes: to a caller of this node or over a link."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from lavenderway_core.events import AttemptAnswered, AttemptDone, AttemptRefused

from lavenderway_node.frames import AnswerBody, AnswerHead, AnswerRefused

if TYPE_CHECKING:
    from lavenderway_core.admission import LoadReport
    from lavenderway_core.ids import JobId
    from lavenderway_core.refusal import Refusal

    from lavenderway_node.exchange import AnswerPart, AnswerStart
    from lavenderway_node.link import Link
    from lavenderway_node.node import Node

WINDOW_PARTS = 8


class Sink(Protocol):
    """Takes the answer of one job."""

    def begin(self, start: AnswerStart, load: LoadReport | None) -> None:
        """Send the head and the first part of the body."""

    def push(self, part: AnswerPart) -> None:
        """Send a further part."""

    def refuse(self, refusal: Refusal, load: LoadReport | None) -> None:
        """Refuse the attempt."""

    async def wait_for_room(self) -> None:
        """Wait until another part may be sent."""


class _Window:
    """Counts the parts that the receiver has not taken yet."""

    def __init__(self) -> None:
        self._in_transit = 0
        self._opened: asyncio.Future[None] | None = None

    def use(self) -> None:
        """Count a part that was sent."""
        self._in_transit += 1

    def open(self, parts: int) -> None:
        """Count parts that were taken."""
        self._in_transit = max(0, self._in_transit - parts)
        if self._opened is not None and not self._opened.done():
            self._opened.set_result(None)

    async def wait(self) -> None:
        """Wait until there is room for a part."""
        while self._in_transit >= WINDOW_PARTS:
            self._opened = asyncio.get_running_loop().create_future()
            await self._opened


class LocalSink:
    """Sends the answer to a caller of this node.

    Args:
        node: The node.
        job: Job whose answer it is.

    """

    def __init__(self, *, node: Node, job: JobId) -> None:
        self._node = node
        self._job = job
        self._window = _Window()

    def begin(self, start: AnswerStart, load: LoadReport | None) -> None:
        """Send the head and the first part of the body."""
        self._node.dispatch(AttemptAnswered(self._job, load))
        exchange = self._node.exchanges.get(self._job.exchange)
        if exchange is not None:
            exchange.begin(start, self._open_window)
        if not start.more:
            self._node.dispatch(AttemptDone(self._job, whole=True))

    def push(self, part: AnswerPart) -> None:
        """Send a further part."""
        exchange = self._node.exchanges.get(self._job.exchange)
        if exchange is not None and not part.broken:
            exchange.push(part)
        self._window.use()
        if not part.more:
            self._node.dispatch(AttemptDone(self._job, whole=not part.broken))

    def refuse(self, refusal: Refusal, load: LoadReport | None) -> None:
        """Refuse the attempt."""
        self._node.dispatch(AttemptRefused(self._job, refusal, load))

    async def wait_for_room(self) -> None:
        """Wait until another part may be sent."""
        await self._window.wait()

    def _open_window(self) -> None:
        self._window.open(1)


class LinkSink:
    """Sends the answer to the entry node over the link that brought the attempt.

    Args:
        link: Link to the entry node.
        job: Job whose answer it is.

    """

    def __init__(self, *, link: Link, job: JobId) -> None:
        self.link = link
        self._job = job
        self._window = _Window()

    def begin(self, start: AnswerStart, load: LoadReport | None) -> None:
        """Send the head and the first part of the body."""
        self.link.send(AnswerHead(self._job, *start, load))

    def push(self, part: AnswerPart) -> None:
        """Send a further part."""
        self._window.use()
        self.link.send(AnswerBody(self._job, *part))

    def refuse(self, refusal: Refusal, load: LoadReport | None) -> None:
        """Refuse the attempt."""
        message = AnswerRefused(
            self._job,
            refusal.reason.label,
            refusal.outcome,
            refusal.retry_after_s,
            refusal.detail,
            load,
        )
        self.link.send(message)

    def open_window(self, parts: int) -> None:
        """Note that the entry node has passed parts on."""
        self._window.open(parts)

    async def wait_for_room(self) -> None:
        """Wait until another part may be sent."""
        await self._window.wait()
