"""Decides which connections end when there are more than a process may keep.

Designed for many clients that keep a connection each: idle, in the middle of a request,
or with a response that they do not read. Whoever has the least progress gives its place
away; a client that reads its response at a good pace keeps it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from lavenderway_relay.pace import Pace

if TYPE_CHECKING:
    from collections.abc import Iterable


class UnreadPlace:
    """Pace of a client whose connection is kept only for responses that it reads.

    Counts what the socket holds too, so a short response can be measured as well.

    Args:
        unread_bytes: Bytes that the client has not received yet.
        now: Time of the ledger's clock in seconds.

    Attributes:
        pace: Pace at which the client reads.

    """

    __slots__ = ("_unread_bytes", "pace")

    def __init__(self, *, unread_bytes: int, now: float) -> None:
        self._unread_bytes = unread_bytes
        self.pace = Pace(now=now)

    def update(self, unread_bytes: int, now: float) -> None:
        """Record how much is unread now."""
        self.pace.record_progress(max(0, self._unread_bytes - unread_bytes), now)
        self._unread_bytes = unread_bytes


def update_place(
    place: UnreadPlace | None, unread_bytes: int, now: float
) -> UnreadPlace | None:
    """Return the place of a client after a measurement; None if nothing is unread."""
    if not unread_bytes:
        return None
    if place is None:
        return UnreadPlace(unread_bytes=unread_bytes, now=now)
    place.update(unread_bytes, now)
    return place


class PlacedConnection(Protocol):
    """A connection that can be ended."""

    def end_for_place(self) -> None:
        """End the connection, to free its descriptor at once."""


class Claim(NamedTuple):
    """Claim of a client to its connection.

    Attributes:
        connection: The connection.
        pace: Pace at which the client goes on.
        unfinished: Whether it sends a request, which has not run and can be refused.

    """

    connection: PlacedConnection
    pace: Pace
    unfinished: bool


def choose_ended(claims: Iterable[Claim], count: int, now: float) -> list[Claim]:
    """Return the connections to end, the first one first.

    Stalled clients go first. Then unfinished requests may be refused as well, those
    with the least progress first.

    Args:
        claims: The clients that neither are idle nor wait for a response.
        count: Number of connections to end, at most.
        now: Time of the ledger's clock in seconds.

    """
    stalled: list[Claim] = []
    unfinished: list[Claim] = []
    for claim in claims:
        if claim.pace.stalled_s(now) > 0.0:
            stalled.append(claim)
        elif claim.unfinished:
            unfinished.append(claim)
    stalled.sort(key=lambda claim: claim.pace.on_pace_until)
    unfinished.sort(key=lambda claim: claim.pace.progress_bytes)
    return [*stalled, *unfinished][:count]
