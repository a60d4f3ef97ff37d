"""Messages between nodes about control: gossip and token loans."""

from __future__ import annotations

from typing import NamedTuple

from lavenderway_core.ids import FailureDomainId, HostId, Revision, WorkspaceId
from lavenderway_core.membership import HostRecord
from lavenderway_core.resources import Item


class GossipRequest(NamedTuple):
    """Opens an exchange of news.

    Attributes:
        number: Number of the request at the sender, echoed by the reply.
        revision: Revision of the sender's configuration.
        digest: Hashes of the sender's membership records.
        records: Records that have changed lately at the sender.

    """

    number: int
    revision: Revision
    digest: tuple[int, ...]
    records: tuple[HostRecord, ...]


class GossipReply(NamedTuple):
    """Answers a gossip request.

    Attributes:
        number: Number of the request.
        base: Revision after which `items` is complete.
        revision: Revision that is complete with `items`.
        confirmed_age_s: Age of the sender's confirmation by the store; None without.
        items: Changed resources.
        records: Records of the buckets in which the two sides differ.
        buckets: Those buckets.

    """

    number: int
    base: Revision
    revision: Revision
    confirmed_age_s: float | None
    items: tuple[Item, ...]
    records: tuple[HostRecord, ...]
    buckets: tuple[int, ...]


class RecordPush(NamedTuple):
    """Brings records that a peer has shown to lack."""

    records: tuple[HostRecord, ...]


class ConfigPush(NamedTuple):
    """Brings a configuration change to a peer without being asked."""

    base: Revision
    revision: Revision
    items: tuple[Item, ...]


class LoanReport(NamedTuple):
    """Accounts for one loan.

    Attributes:
        loan: Number of the loan at the lender.
        spent: Tokens that were spent since the last report.
        returned: Tokens that are given back.

    """

    loan: int
    spent: float
    returned: float


class TokenRequest(NamedTuple):
    """Asks for tokens of a workspace and accounts for earlier loans."""

    number: int
    workspace: WorkspaceId
    want: float
    reports: tuple[LoanReport, ...]


class TokenReport(NamedTuple):
    """Accounts for loans without asking for tokens; needs no reply."""

    workspace: WorkspaceId
    reports: tuple[LoanReport, ...]


class TokenReply(NamedTuple):
    """Lends tokens.

    Attributes:
        number: Number of the request.
        loan: Number of the loan at the lender.
        amount: Tokens lent; 0 when there are none.
        lifetime_s: Seconds for which the borrower may spend them, counted from when
            it sent the request.
        retry_after_s: Seconds until the lender will have a token again.

    """

    number: int
    workspace: WorkspaceId
    loan: int
    amount: float
    lifetime_s: float
    retry_after_s: float


class AppliedReport(NamedTuple):
    """Tells a configuration reader which revision is in force on the sender."""

    revision: Revision


class StatusRequest(NamedTuple):
    """Asks a configuration reader for the state of its failure domain."""

    number: int


class StatusReply(NamedTuple):
    """State of the configuration in one failure domain.

    Attributes:
        revision: Lowest revision in force on its hosts.
        hosts: Number of hosts that take part.
        behind: Hosts on which that lowest revision is in force, at most a few.

    """

    number: int
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
    """A control message with its sender."""

    peer: HostId
    message: ControlMessage
