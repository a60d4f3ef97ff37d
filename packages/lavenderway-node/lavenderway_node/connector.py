"""Connection pool for upstreams that discards connections with unread data."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from aiohttp.connector import Connection

MAX_CONNECTION_ATTEMPTS = 8


class SafeReuseConnector(aiohttp.TCPConnector):
    """Reuses a pooled connection only if nothing has been received on it since.

    An upstream may send data that no request asked for, or close an idle connection.
    Unread bytes on a reused connection would be parsed as the response to the next
    request, so such a connection is closed.
    """

    async def connect(self, *arguments: Any, **options: Any) -> Connection:
        """Return an open connection without unread data.

        Raises:
            aiohttp.ClientConnectionError: Every connection tried was closed or had
                unread data.

        """
        for _ in range(MAX_CONNECTION_ATTEMPTS):
            connection = await super().connect(*arguments, **options)
            if _is_reusable(connection):
                return connection
            connection.close()
        raise aiohttp.ClientConnectionError(
            "every connection tried was closed or had unread data"
        )


def _is_reusable(connection: Connection) -> bool:
    protocol = connection.protocol
    if protocol is None or protocol.should_close or connection.transport is None:
        return False
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
    return not poll.poll(0)
