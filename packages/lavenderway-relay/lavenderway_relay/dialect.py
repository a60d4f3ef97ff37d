"""Names of the headers that callers and upstreams use."""

from __future__ import annotations

from dataclasses import dataclass, field

from lavenderway_relay.hops import HOP_HEADER
from lavenderway_relay.messages import NOT_FORWARDED


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
        stripped: Headers of a caller that are not passed on: those of one connection
            and those that the node sets itself.

    """

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    workspace: bytes
    expected_upstream: bytes
    not_executed: bytes
    caller_service: bytes
    stripped: frozenset[bytes] = field(init=False)

    def __post_init__(self) -> None:
        """Collect the headers that go no further than this node."""
        own = {
            self.deadline_ms,
            self.workspace,
            self.expected_upstream,
            self.caller_service,
            b"authorization",
        }
        object.__setattr__(self, "stripped", NOT_FORWARDED | own | {HOP_HEADER})
