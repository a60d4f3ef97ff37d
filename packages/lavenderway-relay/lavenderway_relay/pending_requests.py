"""Requests of one connection whose responses are not written yet, in order."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lavenderway_relay.memory_ledger import SMALL_BYTES

if TYPE_CHECKING:
    import asyncio

    from lavenderway_relay.messages import Response

MAX_PIPELINED_REQUESTS = 64  # per connection; reading pauses at this number


class PendingRequest:
    """A request, or a refused input, whose response is not written yet.

    Attributes:
        request_bytes: Memory of the request; 0 for a small one, which is not counted.
        response: The response; None until it is complete.
        task: Serves the request; None for a refused input.

    """

    __slots__ = ("request_bytes", "response", "task")

    def __init__(self) -> None:
        self.request_bytes = 0
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None


class PendingRequests:
    """The pending requests of one connection; responses are written in their order."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: deque[PendingRequest] = deque()

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._requests)

    @property
    def full(self) -> bool:
        """Whether no further requests should be read."""
        return len(self._requests) >= MAX_PIPELINED_REQUESTS

    def add(self) -> PendingRequest:
        """Add a request behind all others."""
        pending = PendingRequest()
        self._requests.append(pending)
        return pending

    def take_response(self) -> Response | None:
        """Remove the first request and return its response, if that is complete.

        The connection counts the memory of the response from then on.
        """
        if not self._requests or self._requests[0].response is None:
            return None
        response = self._requests.popleft().response
        if response is not None and response.memory is not None:
            response.memory.release()
        return response

    def cancel(self) -> None:
        """Cancel all requests."""
        for pending in self._requests:
            if pending.task is not None:
                pending.task.cancel()
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
