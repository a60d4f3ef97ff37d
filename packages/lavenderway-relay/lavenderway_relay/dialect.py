"""Names of the headers that callers and upstreams use."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Dialect:
    """Header names, in lower case.

    Attributes:
        request_id: Id of one attempt of a caller; upstreams repeat it.
        deadline_ms: Milliseconds that the sender still waits.
        signature: Mark of an answer that an upstream made.
        workspace: Workspace of the caller, for the upstream.
        expected_upstream: Incarnation that the request is for.
        not_executed: Mark of an answer to a request that has not run.
        caller_service: Service of the host where the request began.

    """

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    workspace: bytes
    expected_upstream: bytes
    not_executed: bytes
    caller_service: bytes

    @property
    def own(self) -> frozenset[bytes]:
        """Headers that the node sets itself, whatever a caller sent."""
        return frozenset(
            {
                self.deadline_ms,
                self.workspace,
                self.expected_upstream,
                self.caller_service,
                b"authorization",
            }
        )
