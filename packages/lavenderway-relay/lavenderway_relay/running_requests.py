"""Tracks running requests, so that their calls can be attributed to them.

The calls that an upstream makes arrive at the node of its host. The ID of a call is the
ID of the request that made it, followed by a dot and a suffix. A request whose ID does
not name a running request in this way is treated as a root request.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_core.ids import ServiceId, WorkspaceId

CALL_ID_SEPARATOR = b"."


@dataclass(kw_only=True, slots=True)
class RunningRequest:
    """Request that the upstream of this host is processing.

    Attributes:
        position: Importance class of the root request plus a fraction in [0, 1).
        workspace: Workspace of the root request.
        target_at: Time of the root request's latency target, in seconds.
        retry: Whether this run may repeat an earlier one; its calls then count as
            retries too.
        calls: Calls made so far to each service, including nested calls.
        call_refused: Whether a direct or nested call was refused for lack of room.

    """

    position: float
    workspace: WorkspaceId | None
    target_at: float
    retry: bool
    calls: dict[ServiceId, float] = field(default_factory=dict)
    call_refused: bool = False
    _calls_in_progress: int = 0
    _waits_since: float = 0.0
    _waited_s: float = 0.0

    def begin_call(self, now: float) -> None:
        """Record that a call has arrived, for which the run waits."""
        if not self._calls_in_progress:
            self._waits_since = now
        self._calls_in_progress += 1

    def end_call(self, now: float) -> None:
        """Record that a call has its response."""
        self._calls_in_progress -= 1
        if not self._calls_in_progress:
            self._waited_s += now - self._waits_since

    def waited_s(self, now: float) -> float:
        """Return the time in which at least one call was in progress, in seconds."""
        waits_s = now - self._waits_since if self._calls_in_progress else 0.0
        return self._waited_s + waits_s

    def add_call(
        self, service: ServiceId, nested_calls: dict[ServiceId, float]
    ) -> None:
        """Count a call and the calls that it led to."""
        self.calls[service] = self.calls.get(service, 0.0) + 1.0
        for name, count in nested_calls.items():
            self.calls[name] = self.calls.get(name, 0.0) + count


class RunningRequests:
    """Requests that the upstream of this host is processing, by ID."""

    def __init__(self) -> None:
        self._running: dict[bytes, RunningRequest] = {}
        self._run_counts: Counter[bytes] = Counter()

    def begin(self, request_id: bytes, running: RunningRequest) -> RunningRequest:
        """Add a run that is about to be sent to the upstream.

        Calls of two runs of one request cannot be told apart, so both share the state
        of the first.

        Returns:
            The state of the run, which counts its calls.

        """
        shared = self._running.setdefault(request_id, running)
        self._run_counts[request_id] += 1
        return shared

    def end(self, request_id: bytes) -> None:
        """Remove a run that has ended."""
        self._run_counts[request_id] -= 1
        if self._run_counts[request_id] <= 0:
            del self._run_counts[request_id]
            self._running.pop(request_id, None)

    def find_parent(self, request_id: bytes) -> RunningRequest | None:
        """Return the running request that made a call, or None for a root request."""
        parent, separator, _ = request_id.rpartition(CALL_ID_SEPARATOR)
        return self._running.get(parent) if separator else None
