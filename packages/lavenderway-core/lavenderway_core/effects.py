"""Effects that the reducer returns as data.

The node executes them: the reducer itself performs no input or output.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from lavenderway_core.admission import LoadReport
from lavenderway_core.context import Context
from lavenderway_core.events import JobSpec
from lavenderway_core.ids import ExchangeId, HostId, JobId, UpstreamId
from lavenderway_core.messages import ControlMessage
from lavenderway_core.refusal import Refusal
from lavenderway_core.table import Condition, OperationTag, RowValue, Write


class Refuse(NamedTuple):
    """Respond to a caller with a refusal."""

    exchange: ExchangeId
    refusal: Refusal


class SendAttempt(NamedTuple):
    """Send an attempt to the node of an upstream's host."""

    peer: HostId
    job: JobId
    spec: JobSpec


class CancelAttempt(NamedTuple):
    """Tell a peer that an attempt is cancelled."""

    peer: HostId
    job: JobId


class AbortResponse(NamedTuple):
    """Abort the caller's connection, so that a partial response looks incomplete."""

    exchange: ExchangeId


class RunJob(NamedTuple):
    """Send a job to an upstream of this host.

    Attributes:
        keep_response: Whether to record the response, to be stored with the claim.

    """

    job: JobId
    upstream: UpstreamId
    address: str
    deadline: float
    context: Context
    keep_response: bool


class AbortJob(NamedTuple):
    """Cancel a job that was sent to an upstream of this host."""

    job: JobId


class RefuseJob(NamedTuple):
    """Send a refusal of an attempt to its entry node, which may be this node."""

    job: JobId
    refusal: Refusal
    load: LoadReport | None


class ReplayResponse(NamedTuple):
    """Respond to a job with the stored response of an earlier execution."""

    job: JobId
    response: RowValue


class StartTimer(NamedTuple):
    """Dispatch `JobExpired` for a job at the time `at` in seconds."""

    job: JobId
    at: float


class SendControl(NamedTuple):
    """Send a control message; `ControlFailed` follows if a request has no reply."""

    peer: HostId
    address: str
    message: ControlMessage


class ReadRows(NamedTuple):
    """Read the rows of the platform's table whose key starts with `prefix`.

    Attributes:
        since_revision: Revision of the table; only rows changed after it are read.

    """

    tag: OperationTag
    prefix: str
    since_revision: int = 0


class Transact(NamedTuple):
    """Write rows in one transaction if all conditions hold."""

    tag: OperationTag
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Component(Enum):
    """Component that a log line comes from; its value prefixes the line."""

    ENTRY = "entry"
    HOST = "host"
    RATE = "rate"
    MEMBERS = "members"
    CONFIG = "config"
    LIFECYCLE = "life"


class Log(NamedTuple):
    """Write a structured log line."""

    component: Component
    message: str
    fields: dict[str, object]


class Count(NamedTuple):
    """Increase a metrics counter."""

    metric: str
    amount: int = 1


class Stopped(NamedTuple):
    """Report that all work after a stop request has ended."""


Effect = (
    Refuse
    | SendAttempt
    | CancelAttempt
    | AbortResponse
    | RunJob
    | AbortJob
    | RefuseJob
    | ReplayResponse
    | StartTimer
    | SendControl
    | ReadRows
    | Transact
    | Log
    | Count
    | Stopped
)
