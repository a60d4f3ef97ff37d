"""State of one request at its entry node."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from lavenderway_core.ids import HostId, ServiceId, WorkspaceId

    from lavenderway_relay.hops import Outcome, UpstreamResult
    from lavenderway_relay.messages import Request, Response
    from lavenderway_relay.model import HostRecord, Route
    from lavenderway_relay.running_requests import RunningRequest


@dataclass(kw_only=True, slots=True, eq=False)
class Attempt:
    """An attempt to run a request at the upstream of a host.

    Attributes:
        record: Record of the host.
        sent_at: Time at which the attempt started, in seconds.
        task: Sends the request and returns its result.

    """

    record: HostRecord
    sent_at: float
    task: asyncio.Task[UpstreamResult]


@dataclass(kw_only=True, slots=True, eq=False)
class RequestContext:
    """State of one request at its entry node, across all attempts.

    Attributes:
        request: The request as the caller sent it.
        request_id: ID of the request.
        route: Route that matched it.
        service: Service that it is sent to.
        workspace: Workspace of the caller, if it has one.
        parent: Running request that made this call; None for a root request.
        position: Importance class of the root request plus a fraction in [0, 1).
        received_at: Time of arrival at this node, in seconds.
        target_at: Time of the root request's latency target, in seconds.
        earliest_target_at: The earlier of `target_at` and the time of the request's own
            latency target.
        deadline: Time at which the caller stops waiting, in seconds.
        tried: Hosts that are not tried again.
        busy: Hosts that had no free slot; they are tried again to wait for one.
        full_hosts: Number of hosts that refused the request for lack of room.
        room_in_s: Shortest time until one of them expects to have room, in seconds, as
            far as they state it; None if none does.
        searching: Whether the next host may return the request if it is busy.
        avoided: Host that rejected the request or timed out; it is tried again only if
            there is no other.
        arrivals: Attempts that reached an upstream.
        possible_runs: Attempts in which an upstream may have run the request.
        sent_at: Time at which the attempt whose result was taken last started, in
            seconds.
        attempts: Attempts whose results have not been taken; all but the last one are
            overdue.
        expired: Whether the deadline has passed, or the node exits.
        interrupted: Whether the exit of the node, not the deadline, ends the request.
        attempt_timed_out: Whether the last attempt has timed out and its retry has been
            charged to the retry budget.
        last_outcome: Outcome of the last attempt.
        server_error: Server error returned by an upstream; delivered if no other
            attempt succeeds.

    """

    request: Request
    request_id: bytes
    route: Route
    service: ServiceId
    workspace: WorkspaceId | None
    parent: RunningRequest | None
    position: float
    received_at: float
    target_at: float
    earliest_target_at: float
    deadline: float
    tried: list[HostId] = field(default_factory=list)
    busy: list[HostId] = field(default_factory=list)
    full_hosts: int = 0
    room_in_s: float | None = None
    searching: bool = False
    avoided: HostId | None = None
    arrivals: int = 0
    possible_runs: int = 0
    sent_at: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    expired: bool = False
    interrupted: bool = False
    attempt_timed_out: bool = False
    last_outcome: Outcome | None = None
    server_error: Response | None = None
