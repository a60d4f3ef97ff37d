"""Computes how many connections of callers a node keeps open.

Designed for callers that open a connection for each request, keep them all, or stop in
the middle of a request on each.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from lavenderway_relay.model import NodeSettings

# Part of the sockets for connections of callers; the rest is for those of peers, to the
# upstream and to other nodes.
CALLER_SOCKET_SHARE = 0.4
MAX_CALLER_SOCKET_SHARE = 0.6  # while those above the first share are being closed
# Memory of an open connection that has sent a part of a request head.
CONNECTION_BYTES = 16_384
CONNECTION_MEMORY_SHARE = 0.1  # part of the memory that connections of callers may take


class ConnectionLimits(NamedTuple):
    """Limits on the connections of callers.

    Attributes:
        max_connections: Number above which open ones are closed.
        acceptance_limit: Number above which new ones are aborted.

    """

    max_connections: float
    acceptance_limit: float


def compute_connection_limits(settings: NodeSettings) -> ConnectionLimits:
    """Return the limits that follow from the sockets and the memory of a process."""
    max_connections = acceptance_limit = math.inf
    if settings.max_sockets is not None:
        max_connections = CALLER_SOCKET_SHARE * settings.max_sockets
        acceptance_limit = MAX_CALLER_SOCKET_SHARE * settings.max_sockets
    if settings.memory_bytes is not None:
        memory_bytes = CONNECTION_MEMORY_SHARE * settings.memory_bytes
        max_connections = min(max_connections, memory_bytes / CONNECTION_BYTES)
    return ConnectionLimits(max_connections, acceptance_limit)
