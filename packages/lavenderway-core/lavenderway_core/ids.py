"""Distinct types for the identifiers used in the core."""

from typing import NamedTuple, NewType

HostId = NewType("HostId", str)
FailureDomainId = NewType("FailureDomainId", str)
WorkspaceId = NewType("WorkspaceId", str)
KeyId = NewType("KeyId", str)
RouteId = NewType("RouteId", str)
ServiceId = NewType("ServiceId", str)
UpstreamId = NewType("UpstreamId", str)
RootId = NewType("RootId", str)
ExchangeId = NewType("ExchangeId", int)
Revision = NewType("Revision", int)
Incarnation = NewType("Incarnation", int)


class JobId(NamedTuple):
    """Fleet-wide identifier of one attempt of an exchange.

    Attributes:
        origin: Host of the entry node that sent the attempt.
        incarnation: Incarnation of that host.
        exchange: Number of the exchange on the entry node.
        attempt: Number of the attempt within the exchange, from 1.

    """

    origin: HostId
    incarnation: Incarnation
    exchange: ExchangeId
    attempt: int
