"""Connections to upstreams, none of which is used again with bytes left on it."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from aiohttp.connector import Connection

MAX_TRIES = 8


class CleanConnector(aiohttp.TCPConnector):
    """Gives out kept connections only while nothing has come on them.

    An upstream may answer what nobody asked, or close just as a request is sent. Bytes
    that wait on a kept connection would be taken for the answer to the next request, so
    such a connection is closed.
    """

    async def connect(self, *arguments: Any, **options: Any) -> Connection:
        """Return a connection on which nothing is left."""
        for _ in range(MAX_TRIES):
            connection = await super().connect(*arguments, **options)
            if _is_clean(connection):
                return connection
            connection.close()
        raise aiohttp.ClientConnectionError("no clean connection")


def _is_clean(connection: Connection) -> bool:
    protocol = connection.protocol
    if protocol is None or protocol.should_close or connection.transport is None:
        return False
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
    return not poll.poll(0)
