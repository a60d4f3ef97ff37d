"""Messages that carry attempts and responses over a link between two nodes.

Position and order of the fields are the wire format.
"""

from __future__ import annotations

from typing import NamedTuple

from lavenderway_core.admission import LoadReport
from lavenderway_core.events import JobSpec
from lavenderway_core.ids import HostId, Incarnation, JobId, RootId
from lavenderway_core.refusal import Outcome

PROTOCOL_VERSION = 1

Headers = tuple[tuple[bytes, bytes], ...]


class Hello(NamedTuple):
    """First message of each end; challenges the other end with a nonce."""

    version: int
    host: HostId
    incarnation: Incarnation
    nonce: bytes


class Proof(NamedTuple):
    """Proves knowledge of a fleet secret by an HMAC over the other end's nonce."""

    tag: bytes


class AttemptOpen(NamedTuple):
    """Sends an attempt to the node on the upstream's host.

    Attributes:
        target: Path and query as the caller sent them.
        body: First part of the request body.
        more: Whether `AttemptBody` messages follow.

    """

    job: JobId
    spec: JobSpec
    method: str
    target: str
    headers: Headers
    body: bytes
    more: bool


class AttemptBody(NamedTuple):
    """Carries a further part of the request body of an attempt.

    Attributes:
        more: Whether further parts follow.

    """

    job: JobId
    data: bytes
    more: bool


class AttemptCancel(NamedTuple):
    """Cancels an attempt."""

    job: JobId


class ResponseHead(NamedTuple):
    """Carries the head of a response and the first part of its body.

    Attributes:
        more: Whether `ResponseBody` messages follow.
        load: Load of the upstream, if it is known.

    """

    job: JobId
    status: int
    reason: str
    headers: Headers
    body: bytes
    more: bool
    load: LoadReport | None


class ResponseBody(NamedTuple):
    """Carries a further part of a response body.

    Attributes:
        more: Whether further parts follow.
        broken: Whether the rest of the response has been lost.

    """

    job: JobId
    data: bytes
    more: bool
    broken: bool


class ResponseRefused(NamedTuple):
    """Reports that an attempt was refused.

    Attributes:
        reason: Label of the refusal's reason.
        load: Load of the upstream, if it is known.

    """

    job: JobId
    reason: str
    outcome: Outcome
    retry_after_s: float | None
    detail: str
    load: LoadReport | None


class ResponseAck(NamedTuple):
    """Acknowledges response parts, so that the sender may send as many more."""

    job: JobId
    parts: int


class ExplainRequest(NamedTuple):
    """Requests a node's log records about a root request.

    Attributes:
        request_number: Number by which the reply is matched to the request.

    """

    request_number: int
    root: RootId


class ExplainReply(NamedTuple):
    """Returns a node's log records about a root request, oldest first."""

    request_number: int
    records: tuple[dict[str, object], ...]
