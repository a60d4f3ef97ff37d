"""Decides who confirms a node's views: the store, or a peer that it has confirmed.

If every node asked the store, the calls would grow with the fleet. In each failure
domain the first reachable host in the order of names is the reader, which asks the
store every `CONFIRM_INTERVAL_S`; the others ask the reader. Two nodes may both act as
the reader, which costs calls but does no harm.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lavenderway_core.ids import HostId

    from lavenderway_relay.model import HostRecord, NodeSettings

CONFIRM_INTERVAL_S = 1.0
# Age of a peer's views above which the store is asked instead; a reader that is served
# stays below it.
MAX_PEER_AGE_S = 1.5
# The store usually responds in milliseconds, and in some 0.2 s when it is slow.
CONFIRM_TIMEOUT_S = 1.0


def select_confirmers(
    peers: Iterable[HostRecord],
    *,
    own: NodeSettings,
    is_reachable: Callable[[HostId], bool],
    draw: float,
) -> list[HostRecord]:
    """Return the hosts to ask for a confirmation before the store, in this order.

    These are the reader of the own failure domain and, in case the store does not
    respond to the reader, one of the other hosts that come before this one.

    Args:
        peers: Serving hosts of the fleet other than this one.
        own: Settings of this host.
        is_reachable: Returns whether a host is believed to be reachable.
        draw: Random number in [0, 1).

    Returns:
        At most two hosts; none if this host is the reader.

    """
    before = sorted(
        (
            record
            for record in peers
            if record.failure_domain == own.failure_domain
            and record.host < own.host
            and is_reachable(record.host)
        ),
        key=lambda record: record.host,
    )
    if len(before) < 2:
        return before
    return [before[0], before[1 + int(draw * (len(before) - 1))]]
