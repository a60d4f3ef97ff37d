"""Messages that carry calls and answers over a link between two nodes."""

from __future__ import annotations

from typing import NamedTuple

from lavenderway_core.admission import LoadReport
from lavenderway_core.events import JobSpec
from lavenderway_core.ids import HostId, Incarnation, JobId, RootId
from lavenderway_core.refusal import Outcome

PROTOCOL_VERSION = 1

Headers = tuple[tuple[bytes, bytes], ...]


class Hello(NamedTuple):
    """Opens a link and challenges the other end."""

    version: int
    host: HostId
    incarnation: Incarnation
    nonce: bytes


class Proof(NamedTuple):
    """Proves knowledge of the fleet secret for the other end's nonce."""

    tag: bytes


class CallOpen(NamedTuple):
    """Brings an attempt to the node of the upstream's host.

    Attributes:
        target: Path and query as the caller sent them.
        more: Whether `CallBody` messages follow.

    """

    job: JobId
    spec: JobSpec
    method: str
    target: str
    headers: Headers
    body: bytes
    more: bool


class CallBody(NamedTuple):
    """Brings more of the body of a call."""

    job: JobId
    data: bytes
    more: bool


class CallCancel(NamedTuple):
    """Gives an attempt up."""

    job: JobId


class AnswerHead(NamedTuple):
    """Brings the head of an answer and the first part of its body."""

    job: JobId
    status: int
    reason: str
    headers: Headers
    body: bytes
    more: bool
    load: LoadReport | None


class AnswerBody(NamedTuple):
    """Brings more of an answer; `broken` tells that the rest is lost."""

    job: JobId
    data: bytes
    more: bool
    broken: bool


class AnswerRefused(NamedTuple):
    """Refuses an attempt."""

    job: JobId
    reason: str
    outcome: Outcome
    retry_after_s: float | None
    detail: str
    load: LoadReport | None


class AnswerAck(NamedTuple):
    """Opens the window for more parts of an answer."""

    job: JobId
    parts: int


class ExplainRequest(NamedTuple):
    """Asks what a node did with a root request."""

    number: int
    root: RootId


class ExplainReply(NamedTuple):
    """Tells what a node did with a root request, oldest first."""

    number: int
    records: tuple[dict[str, object], ...]
