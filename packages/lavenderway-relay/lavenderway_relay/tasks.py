"""Runs background tasks and logs the ones that fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Coroutine
    from typing import Any

    from lavenderway_relay.logs import LogStream


class BackgroundTasks:
    """Set of running background tasks.

    Holds a reference to each task, as the event loop itself has only weak ones.

    Args:
        log: Log for failed tasks.

    """

    def __init__(self, *, log: LogStream) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, coroutine: Coroutine[Any, Any, None], loop: asyncio.AbstractEventLoop
    ) -> asyncio.Task[None]:
        """Start a coroutine as a background task and return the task."""
        task = loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            now = task.get_loop().time()
            self._log.state("task.failed", now, error=repr(error))
