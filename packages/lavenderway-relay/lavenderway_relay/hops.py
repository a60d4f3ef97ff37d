"""Header that nodes add to each forwarded request and to its response.

The value is a JSON array without field names, because traffic between failure domains
is expensive and every forwarded request carries one header each way.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import orjson
from lavenderway_core.ids import HostId, ServiceId, UpstreamId, WorkspaceId

from lavenderway_relay.messages import Response
from lavenderway_relay.revision import Revision, decode_revision, encode_revision
from lavenderway_relay.upstream_notices import UpstreamNotice

HOP_HEADER = b"lavenderway-hop"


class HopFormatError(Exception):
    """Raised if a hop header cannot be decoded."""


class HopRequest(NamedTuple):
    """Request metadata sent by the entry node to the node beside the upstream.

    Attributes:
        sender: Host of the entry node.
        service: Service that the request goes to.
        caller_service: Service of the entry node's host.
        workspace: Workspace of the caller, if it has one.
        position: Importance class of the root request plus a fraction in [0, 1).
        call: Whether the request was made by a request that is already running.
        retry: Whether the run may repeat an earlier run of this request or of a request
            above it in the call tree.
        idempotent: Whether the request may run more than once.
        target_s: Time left until the latency target, in seconds.
        deadline_s: Time left until the caller stops waiting, in seconds.
        config: Version of the sender's configuration.
        revision: Revision of the sender's host registry.
        may_wait: Whether the request may wait for a slot; otherwise it is returned as
            busy.
        notice: What the upstream has told the sender of itself; None if nothing. The
            node beside the upstream may have restarted since.

    """

    sender: HostId
    service: ServiceId
    caller_service: ServiceId
    workspace: WorkspaceId | None
    position: float
    call: bool
    retry: bool
    idempotent: bool
    target_s: float
    deadline_s: float
    config: int
    revision: Revision
    may_wait: bool = True
    notice: UpstreamNotice | None = None


class Outcome(Enum):
    """Outcome of a request at the node beside the upstream.

    Attributes:
        ANSWERED: The upstream returned a usable response.
        NO_ROOM: No slot was free in time.
        BUSY: The request would have to wait for a slot, which its entry node did not
            want.
        ABSENT: The host or its upstream cannot be reached, or takes no requests for the
            service.
        STOPPING: The node is stopping.
        REJECTED: The upstream rejected the request without running it.
        UNKNOWN: The upstream may have run the request, but gave no usable response.

    """

    ANSWERED = "a"
    NO_ROOM = "r"
    BUSY = "b"
    ABSENT = "g"
    STOPPING = "s"
    REJECTED = "j"
    UNKNOWN = "u"

    @property
    def log_name(self) -> str:
        """Name of the outcome in logs; the value is a single letter to save bytes."""
        return self.name.lower().replace("_", "-")

    @property
    def not_run(self) -> bool:
        """Whether the request has not run and will not run."""
        return self not in (Outcome.ANSWERED, Outcome.UNKNOWN)


class HopResponse(NamedTuple):
    """Response metadata sent by the node beside the upstream.

    Attributes:
        outcome: Outcome of the request.
        arrived: Whether the request was sent to the upstream.
        load: Load of the slots or of the event loop, whichever is higher.
        mean_s: Mean time that a request holds a slot, in seconds; 0.0 if a limited
            upstream has not run anything yet.
        call_refused: Whether a direct or nested call was refused for lack of room.
        levels: Admission levels of the services that the request reached.
        calls: Number of direct and nested calls to each service.
        config: Version of the node's configuration.
        revision: Revision of the node's host registry.
        reported: False if no response was received, so that the other fields except
            `outcome` and `arrived` hold no measurement.
        notice: What the upstream has said of itself; None if nothing.

    """

    outcome: Outcome
    arrived: bool
    load: float
    mean_s: float
    call_refused: bool
    levels: dict[ServiceId, float]
    calls: dict[ServiceId, float]
    config: int
    revision: Revision
    reported: bool = True
    notice: UpstreamNotice | None = None


class UpstreamResult(NamedTuple):
    """Result of a request at the node beside the upstream.

    Attributes:
        hop_response: Outcome of the request and state of the node.
        response: Response of the upstream; None if there is no usable one.

    """

    hop_response: HopResponse
    response: Response | None


def encode_hop_request(hop_request: HopRequest) -> bytes:
    """Return the hop header value of a request."""
    flags = (1 if hop_request.call else 0) | (2 if hop_request.retry else 0)
    flags |= (4 if hop_request.idempotent else 0) | (0 if hop_request.may_wait else 8)
    fields = (
        hop_request.sender,
        hop_request.service,
        hop_request.caller_service,
        hop_request.workspace,
        round(hop_request.position, 3),
        flags,
        int(hop_request.target_s * 1e3),
        int(hop_request.deadline_s * 1e3),
        hop_request.config,
        encode_revision(hop_request.revision),
        *_encode_notice(hop_request.notice),
    )
    return orjson.dumps(fields)


def decode_hop_request(value: bytes) -> HopRequest:
    """Parse the hop header value of a request.

    Raises:
        HopFormatError: A field is missing or has the wrong type.

    """
    try:
        (
            sender,
            service,
            caller_service,
            workspace,
            position,
            flags,
            target_ms,
            deadline_ms,
            config,
            revision,
            *notice,
        ) = orjson.loads(value)
        return HopRequest(
            HostId(_require_str(sender)),
            ServiceId(_require_str(service)),
            ServiceId(_require_str(caller_service)),
            None if workspace is None else WorkspaceId(_require_str(workspace)),
            float(position),
            bool(flags & 1),
            bool(flags & 2),
            bool(flags & 4),
            target_ms / 1e3,
            deadline_ms / 1e3,
            int(config),
            decode_revision(revision),
            not flags & 8,
            _decode_notice(notice),
        )
    except (TypeError, ValueError) as error:
        raise HopFormatError(f"cannot decode hop header {value!r}: {error}") from error


def encode_hop_response(hop_response: HopResponse) -> bytes:
    """Return the hop header value of a response."""
    flags = (1 if hop_response.arrived else 0) | (2 if hop_response.call_refused else 0)
    fields = (
        hop_response.outcome.value,
        flags,
        round(hop_response.load, 2),
        round(hop_response.mean_s * 1e3, 1),
        hop_response.config,
        encode_revision(hop_response.revision),
        {name: round(level, 2) for name, level in hop_response.levels.items()},
        hop_response.calls,
        *_encode_notice(hop_response.notice),
    )
    return orjson.dumps(fields)


def decode_hop_response(value: bytes) -> HopResponse:
    """Parse the hop header value of a response.

    Raises:
        HopFormatError: A field is missing or has the wrong type.

    """
    try:
        (
            outcome,
            flags,
            load,
            mean_ms,
            config,
            revision,
            levels,
            calls,
            *notice,
        ) = orjson.loads(value)
        return HopResponse(
            _OUTCOME_BY_VALUE[outcome],
            bool(flags & 1),
            float(load),
            mean_ms / 1e3,
            bool(flags & 2),
            _floats_by_service(levels),
            _floats_by_service(calls),
            int(config),
            decode_revision(revision),
            notice=_decode_notice(notice),
        )
    except (TypeError, ValueError, KeyError) as error:
        raise HopFormatError(
            f"cannot decode answer header {value!r}: {error}"
        ) from error


def _encode_notice(notice: UpstreamNotice | None) -> tuple[tuple[object, ...], ...]:
    """Return the last field of a hop header, which few of them have."""
    if notice is None:
        return ()
    return (
        (
            notice.upstream,
            notice.started_ms,
            notice.limit_per_s,
            int(notice.leaving),
            int(notice.wait_s * 1e3),
        ),
    )


def _decode_notice(fields: list[list[object]]) -> UpstreamNotice | None:
    if not fields:
        return None
    ((upstream, started_ms, limit_per_s, leaving, wait_ms),) = fields
    if limit_per_s is not None and not (
        isinstance(limit_per_s, int | float) and limit_per_s > 0
    ):
        raise ValueError(f"expected a limit above 0, got {limit_per_s!r:.40}")
    if not isinstance(started_ms, int) or not isinstance(wait_ms, int):
        raise TypeError(f"expected milliseconds, got {started_ms!r}, {wait_ms!r:.40}")
    return UpstreamNotice(
        UpstreamId(_require_str(upstream)),
        started_ms,
        limit_per_s,
        bool(leaving),
        wait_ms / 1e3,
    )


def _require_str(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {value!r:.40}")
    return value


def _floats_by_service(value: object) -> dict[ServiceId, float]:
    if not isinstance(value, dict):
        raise TypeError(f"expected an object, got {value!r:.40}")
    return {ServiceId(name): float(number) for name, number in value.items()}


_OUTCOME_BY_VALUE = {outcome.value: outcome for outcome in Outcome}
