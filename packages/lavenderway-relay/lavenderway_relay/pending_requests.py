"""Requests of one connection whose responses are not written yet, in order.

Designed for many connections that pipeline requests. Those behind another one run ahead
of their turn only while a server has few requests in all, as each takes memory while it
runs, and its response until it can be written.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lavenderway_relay.memory_ledger import SMALL_BYTES

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator

    from lavenderway_relay.messages import Request, Response

MAX_PIPELINED_REQUESTS = 64  # per connection; reading pauses at this number
# Of all connections of a server; beyond it, none runs ahead of its turn.
MAX_REQUESTS_AHEAD = 512
WAITING_REQUEST_BYTES = 1_024  # memory of a parsed request beside its own bytes


class RequestTally:
    """Number of pending requests of all connections of a server.

    Attributes:
        count: The number.

    """

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0

    @property
    def allows_ahead(self) -> bool:
        """Whether requests may run ahead of their turn."""
        return self.count <= MAX_REQUESTS_AHEAD


class PendingRequest:
    """A request, or a refused input, whose response is not written yet.

    Attributes:
        request: The request, until it runs.
        request_bytes: Memory of the request; 0 for a small one behind no other, which
            is not counted.
        response: The response; None until it is complete.
        task: Serves the request; None for a refused input.

    """

    __slots__ = ("request", "request_bytes", "response", "task")

    def __init__(self) -> None:
        self.request: Request | None = None
        self.request_bytes = 0
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None


class PendingRequests:
    """The pending requests of one connection; responses are written in their order.

    Args:
        tally: Counts the requests of all connections of the server.

    """

    __slots__ = ("_requests", "_tally")

    def __init__(self, *, tally: RequestTally) -> None:
        self._requests: deque[PendingRequest] = deque()
        self._tally = tally

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._requests)

    @property
    def full(self) -> bool:
        """Whether no further requests should be read."""
        count = len(self._requests)
        if count <= 1:  # a connection that is not read does not report its end
            return False
        return count >= MAX_PIPELINED_REQUESTS or not self._tally.allows_ahead

    def add(self) -> PendingRequest:
        """Add a request behind all others."""
        pending = PendingRequest()
        self._requests.append(pending)
        self._tally.count += 1
        return pending

    def measure(self, held_bytes: int) -> int:
        """Return the bytes to count for the last request, which holds some."""
        if len(self._requests) > 1:
            return held_bytes + WAITING_REQUEST_BYTES
        return held_bytes if held_bytes > SMALL_BYTES else 0

    def take_startable(self) -> Iterator[tuple[PendingRequest, Request]]:
        """Yield the requests that are to run now, which do not run yet."""
        for index, pending in enumerate(self._requests):
            if index and not self._tally.allows_ahead:
                return
            request = pending.request
            if request is not None:
                pending.request = None
                yield pending, request

    def take_response(self) -> Response | None:
        """Remove the first request and return its response, if that is complete.

        The connection counts the memory of the response from then on.
        """
        if not self._requests or self._requests[0].response is None:
            return None
        response = self._requests.popleft().response
        self._tally.count -= 1
        if response is not None and response.memory is not None:
            response.memory.release()
        return response

    def cancel(self) -> None:
        """Cancel all requests."""
        for pending in self._requests:
            if pending.task is not None:
                pending.task.cancel()
        self._tally.count -= len(self._requests)
        self._requests.clear()

    @property
    def request_bytes(self) -> int:
        """Memory of the requests."""
        return sum(pending.request_bytes for pending in self._requests)

    @property
    def response_bytes(self) -> int:
        """Memory of the responses that wait for earlier ones; 0 if all are small."""
        byte_count = sum(
            len(pending.response.body)
            for pending in self._requests
            if pending.response is not None
        )
        return byte_count if byte_count > SMALL_BYTES else 0
