"""Tracks the requests that callers of this node wait for, and ends them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from typing import Any

    from lavenderway_core.ids import RouteId, ServiceId

    from lavenderway_relay.logs import LogStream
    from lavenderway_relay.request_context import RequestContext


class RequestsInProgress:
    """Requests that are being routed, with the tasks that route them.

    Args:
        log: Structured log of the node.

    """

    def __init__(self, *, log: LogStream) -> None:
        self._log = log
        self._tasks: dict[RequestContext, asyncio.Task[Any]] = {}

    def begin(self, context: RequestContext, task: asyncio.Task[Any]) -> None:
        """Add a request."""
        self._tasks[context] = task

    def end(self, context: RequestContext) -> None:
        """Remove a request that has its response, or that nobody waits for."""
        del self._tasks[context]

    def expire(self, context: RequestContext) -> None:
        """Cancel the task of a request whose time is up."""
        if not context.expired:
            context.expired = True
            self._tasks[context].cancel()

    def longest_pending_s(
        self, route: RouteId, service: ServiceId, now: float
    ) -> float:
        """Return for how long the oldest attempt of a route and service has waited.

        Args:
            route: ID of the route.
            service: The service that the attempts go to.
            now: Event loop time, in seconds.

        """
        starts = (
            attempt.sent_at
            for context in self._tasks
            if context.route.id == route and context.service == service
            for attempt in context.attempts
        )
        return now - min(starts, default=now)

    def interrupt(self, now: float, stop_requested_at: float) -> int:
        """End all requests, as the node exits; return their number.

        Each one gets a response, which states that it may have run.

        Args:
            now: Event loop time, in seconds.
            stop_requested_at: Time at which the node was told to stop, in seconds.

        """
        interrupted = 0
        for context in self._tasks:
            if context.expired:
                continue
            interrupted += 1
            self._log.failure(
                "request.interrupted",
                now,
                request=context.request_id,
                route=context.route.id,
                ms=round((now - context.received_at) * 1e3, 1),
                after_stop_ms=round((context.received_at - stop_requested_at) * 1e3, 1),
                peers=[attempt.record.host for attempt in context.attempts],
                arrivals=context.arrivals,
            )
            context.interrupted = True
            self.expire(context)
        return interrupted
