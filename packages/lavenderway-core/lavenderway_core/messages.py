"""Control messages between nodes: gossip, token loans and configuration status."""

from __future__ import annotations

from typing import NamedTuple

from lavenderway_core.ids import FailureDomainId, HostId, Revision, WorkspaceId
from lavenderway_core.membership import HostRecord
from lavenderway_core.resources import Item


class GossipRequest(NamedTuple):
    """Tells a peer which records and configuration the sender has, and probes it.

    Attributes:
        request_number: Number of the request on the sender, repeated in the reply.
        revision: Revision of the sender's configuration.
        digest: Hash of each bucket of the sender's membership records.
        records: Recently changed records of the sender.

    """

    request_number: int
    revision: Revision
    digest: tuple[int, ...]
    records: tuple[HostRecord, ...]


class GossipReply(NamedTuple):
    """Replies to a gossip request with data that the requester is missing.

    Attributes:
        request_number: Number of the request.
        base: Revision after which `items` contains every changed resource.
        revision: Revision that is complete once `items` are applied.
        confirmed_age_s: Seconds since the sender's revision was known to be the latest
            in the platform's table, or None if it never was.
        items: Changed resources.
        records: Records in the buckets that differ, and recently changed records.
        buckets: Digest buckets in which the two sides differ.

    """

    request_number: int
    base: Revision
    revision: Revision
    confirmed_age_s: float | None
    items: tuple[Item, ...]
    records: tuple[HostRecord, ...]
    buckets: tuple[int, ...]


class RecordPush(NamedTuple):
    """Sends records that the peer was found to be missing."""

    records: tuple[HostRecord, ...]


class ConfigPush(NamedTuple):
    """Sends a configuration change to a peer unsolicited."""

    base: Revision
    revision: Revision
    items: tuple[Item, ...]


class LoanReport(NamedTuple):
    """Reports the use of one loan to its lender.

    Attributes:
        loan: Number of the loan on the lender.
        spent: Tokens spent since the last report.
        returned: Unspent tokens given back.

    """

    loan: int
    spent: float
    returned: float


class TokenRequest(NamedTuple):
    """Requests tokens of a workspace and reports the use of earlier loans.

    Attributes:
        request_number: Number of the request on the sender, repeated in the reply.
        requested_tokens: Number of tokens that the sender wants to borrow.

    """

    request_number: int
    workspace: WorkspaceId
    requested_tokens: float
    reports: tuple[LoanReport, ...]


class TokenReport(NamedTuple):
    """Reports the use of loans without a request for tokens; has no reply."""

    workspace: WorkspaceId
    reports: tuple[LoanReport, ...]


class TokenReply(NamedTuple):
    """Grants or refuses a loan of tokens.

    Attributes:
        request_number: Number of the request.
        loan: Number of the loan on the lender.
        amount: Tokens lent, or 0 if the lender has none.
        lifetime_s: Seconds for which the borrower may spend them, counted from when
            it sent the request.
        retry_after_s: Seconds until the lender expects to have a token.

    """

    request_number: int
    workspace: WorkspaceId
    loan: int
    amount: float
    lifetime_s: float
    retry_after_s: float


class AppliedReport(NamedTuple):
    """Reports the sender's applied revision to a configuration reader."""

    revision: Revision


class StatusRequest(NamedTuple):
    """Requests the configuration status of a reader's failure domain."""

    request_number: int


class StatusReply(NamedTuple):
    """Configuration status of one failure domain.

    Attributes:
        revision: Lowest revision applied on its hosts.
        hosts: Number of member hosts in the failure domain.
        behind: First few of the hosts at the lowest revision, or empty if the node that
            replies is itself at the lowest.

    """

    request_number: int
    failure_domain: FailureDomainId
    revision: Revision
    hosts: int
    behind: tuple[HostId, ...]


ControlMessage = (
    GossipRequest
    | GossipReply
    | ConfigPush
    | RecordPush
    | TokenRequest
    | TokenReply
    | TokenReport
    | AppliedReport
    | StatusRequest
    | StatusReply
)


class Envelope(NamedTuple):
    """Control message with its sender."""

    peer: HostId
    message: ControlMessage
