"""Identifiers used across the decisions, as distinct types."""

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
    """One attempt of one exchange, as the node that runs it knows it.

    Attributes:
        origin: Host whose entry node sent the attempt.
        incarnation: Incarnation of that host.
        exchange: Number of the exchange at the entry node.
        attempt: Number of the attempt within the exchange, from 1.

    """

    origin: HostId
    incarnation: Incarnation
    exchange: ExchangeId
    attempt: int
