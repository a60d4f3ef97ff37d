"""Defines the headers exchanged with callers and upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field

from lavenderway_relay.hops import HOP_HEADER
from lavenderway_relay.messages import NOT_FORWARDED_HEADERS


@dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """Names of the headers, in lower case.

    Attributes:
        request_id: ID that a caller gives each attempt of a request; upstreams repeat
            it in the response.
        deadline_ms: Time left until the sender stops waiting, in milliseconds.
        signature: Present only in a response that an upstream itself generated.
        workspace: Workspace of the caller, sent to the upstream.
        expected_upstream: ID of the upstream that the request is for.
        not_executed: Present in a response to a request that was not executed.
        caller_service: Service of the host at which the request entered the fleet.
        limit: Requests per second that an upstream takes from all hosts together.
        leaving: Present in a response of an upstream that is leaving.
        removed: Headers of a caller that are not forwarded: connection-specific
            headers and those that the node sets itself.

    """

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    workspace: bytes
    expected_upstream: bytes
    not_executed: bytes
    caller_service: bytes
    limit: bytes
    leaving: bytes
    removed: frozenset[bytes] = field(init=False)

    def __post_init__(self) -> None:
        """Collect the headers of a caller that are not forwarded."""
        node_headers = {
            self.deadline_ms,
            self.workspace,
            self.expected_upstream,
            self.caller_service,
            b"authorization",
        }
        object.__setattr__(
            self, "removed", NOT_FORWARDED_HEADERS | node_headers | {HOP_HEADER}
        )
