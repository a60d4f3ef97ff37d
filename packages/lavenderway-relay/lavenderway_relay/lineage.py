"""Connects the calls of a running request to that request.

An upstream's own calls arrive at the node of its host. The id of a call begins with
the id of the request it belongs to, followed by a dot. Where that does not hold, a
call has no known parent and is treated as a request of its own.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_core.ids import ServiceId, WorkspaceId

SEPARATOR = b"."


@dataclass(kw_only=True, slots=True)
class RunningRequest:
    """A request that the upstream of this host works on.

    Attributes:
        position: Importance class of the root plus a fraction in [0, 1).
        workspace: Workspace of the root.
        target_at: When the root's answer stops being worth most, in seconds.
        repeat: Whether this run is a repeat, so that its calls are repeats too.
        calls: Calls made so far for each service, those further down included.
        starved: Whether a call of it was refused for want of room.

    """

    position: float
    workspace: WorkspaceId | None
    target_at: float
    repeat: bool
    calls: dict[ServiceId, float] = field(default_factory=dict)
    starved: bool = False

    def add_call(self, service: ServiceId, below: dict[ServiceId, float]) -> None:
        """Count a call and what it called in turn."""
        self.calls[service] = self.calls.get(service, 0.0) + 1.0
        for name, count in below.items():
            self.calls[name] = self.calls.get(name, 0.0) + count


class Lineage:
    """The requests that the upstream of this host works on, by id."""

    def __init__(self) -> None:
        self._running: dict[bytes, RunningRequest] = {}

    def begin(self, request_id: bytes, running: RunningRequest) -> None:
        """Add a request that is handed to the upstream."""
        self._running[request_id] = running

    def end(self, request_id: bytes) -> None:
        """Drop a request that has ended."""
        self._running.pop(request_id, None)

    def find_parent(self, request_id: bytes) -> RunningRequest | None:
        """Return the running request that a call belongs to."""
        parent, separator, _ = request_id.rpartition(SEPARATOR)
        return self._running.get(parent) if separator else None
