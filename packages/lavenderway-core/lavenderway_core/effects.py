"""Effects that the reducer asks for, as data."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from lavenderway_core.admission import LoadReport
from lavenderway_core.context import Context
from lavenderway_core.events import JobSpec
from lavenderway_core.ids import ExchangeId, HostId, JobId, UpstreamId
from lavenderway_core.messages import ControlMessage
from lavenderway_core.refusal import Refusal
from lavenderway_core.table import Condition, RowValue, Ticket, Write


class Refuse(NamedTuple):
    """Give a caller its final answer."""

    exchange: ExchangeId
    refusal: Refusal


class SendAttempt(NamedTuple):
    """Send a call to the node of an upstream's host."""

    peer: HostId
    job: JobId
    spec: JobSpec


class CancelAttempt(NamedTuple):
    """Tell a peer that an attempt is given up."""

    peer: HostId
    job: JobId


class BreakAnswer(NamedTuple):
    """Cut the caller's connection so that a partial answer is visibly broken."""

    exchange: ExchangeId


class RunJob(NamedTuple):
    """Give a job to an upstream of this host."""

    job: JobId
    upstream: UpstreamId
    address: str
    deadline: float
    context: Context
    keep_answer: bool


class AbortJob(NamedTuple):
    """Cancel a job towards the upstream."""

    job: JobId


class RefuseJob(NamedTuple):
    """Refuse an attempt towards its entry node, which may be this one."""

    job: JobId
    refusal: Refusal
    load: LoadReport | None


class ReplayAnswer(NamedTuple):
    """Answer a job with the answer kept from the first run."""

    job: JobId
    answer: RowValue


class StartTimer(NamedTuple):
    """Report `JobExpired` for a job at a time, in seconds."""

    job: JobId
    at: float


class SendControl(NamedTuple):
    """Send a control message; requests report `ControlFailed` without a reply."""

    peer: HostId
    address: str
    message: ControlMessage


class ReadRows(NamedTuple):
    """Read the rows whose key starts with `prefix`.

    Attributes:
        since: Leave out rows that have not changed after this table revision.

    """

    ticket: Ticket
    prefix: str
    since: int = 0


class Transact(NamedTuple):
    """Write rows in one transaction, under conditions."""

    ticket: Ticket
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Part(Enum):
    """Part of the system that a log line comes from; its fixed prefix."""

    ENTRY = "entry"
    HOST = "host"
    RATE = "rate"
    MEMBERS = "members"
    CONFIG = "config"
    LIFE = "life"


class Log(NamedTuple):
    """Write a structured log line."""

    part: Part
    message: str
    fields: dict[str, object]


class Count(NamedTuple):
    """Raise a counter of the metrics."""

    metric: str
    amount: int = 1


class Stopped(NamedTuple):
    """Nothing is left to do after a stop request."""


Effect = (
    Refuse
    | SendAttempt
    | CancelAttempt
    | BreakAnswer
    | RunJob
    | AbortJob
    | RefuseJob
    | ReplayAnswer
    | StartTimer
    | SendControl
    | ReadRows
    | Transact
    | Log
    | Count
    | Stopped
)
