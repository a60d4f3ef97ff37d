"""Logs clients that are ended or have to wait, as others need what they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from lavenderway_relay.logs import LogStream
    from lavenderway_relay.state import NodeState

CALM_S = 1.0  # without a wait, after which the time of waiting has ended


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


class WaitLog:
    """Log of the times at which requests or responses wait for memory.

    Args:
        log: Structured log of the node.

    """

    def __init__(self, *, log: LogStream) -> None:
        self._log = log
        self._since: float | None = None
        self._waited_at = 0.0

    def update(self, requests: int, responses: int, now: float) -> None:
        """Log the first of them that waits, and that none has waited for a while.

        Args:
            requests: Number of requests that wait now.
            responses: Number of responses that wait now.
            now: Time of the event loop in seconds.

        """
        if requests or responses:
            self._waited_at = now
            if self._since is None:
                self._since = now
                self._log.state(
                    "clients.waiting", now, requests=requests, responses=responses
                )
        elif self._since is not None and now - self._waited_at >= CALM_S:
            waited_s = round(self._waited_at - self._since, 1)
            self._log.state("clients.admitted", now, waited_s=waited_s)
            self._since = None
