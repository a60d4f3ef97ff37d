"""Logs and counts clients that are ended because others need what they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from lavenderway_relay.state import NodeState


class PressureLog:
    """Log of the clients of one node that had to give way.

    Args:
        state: State of the node.
        loop: The event loop.

    """

    def __init__(self, *, state: NodeState, loop: asyncio.AbstractEventLoop) -> None:
        self._state = state
        self._loop = loop

    def record_end(self, listener: str, reason: str, held_bytes: int) -> None:
        """Log a request or connection that was ended for want of room.

        Args:
            listener: Listener of the connection.
            reason: Why it was ended, as in `docs/OPERATIONS.md`.
            held_bytes: Bytes that it held.

        """
        state = self._state
        state.metrics.count("pressed_connections", listener=listener, reason=reason)
        state.log.failure(
            "connection.pressed",
            self._loop.time(),
            listener=listener,
            reason=reason,
            held_bytes=held_bytes,
            all_held_bytes=state.ledger.held_bytes,
        )
