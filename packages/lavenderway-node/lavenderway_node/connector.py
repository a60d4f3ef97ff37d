"""Connection pool for upstreams that discards connections with unexpected data."""

from __future__ import annotations

import select
from functools import partial
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    import asyncio

    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection

MAX_CONNECTION_ATTEMPTS = 8


class _GuardedResponseHandler(ResponseHandler):
    """Closes its connection if data arrives while the connection is idle.

    By default, aiohttp queues the responses that it receives on an idle connection,
    without a limit.

    Attributes:
        idle: Whether the connection is in the pool.

    """

    __slots__ = ("idle",)

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self.idle = False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or close an idle connection."""
        if self.idle and data:  # empty data resumes the parser
            self.close()
        else:
            super().data_received(data)


class SafeReuseConnector(aiohttp.TCPConnector):
    """Reuses a pooled connection only if nothing has been received on it since.

    An upstream may send data that no request asked for, or close an idle connection.
    Unread bytes on a reused connection would be parsed as the response to the next
    request, so such a connection is closed.

    Args:
        options: Options of `aiohttp.TCPConnector`.

    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        handler: type[ResponseHandler] = _GuardedResponseHandler
        self._factory = partial(handler, self._loop)

    async def connect(self, *arguments: Any, **options: Any) -> Connection:
        """Return an open connection without unread data.

        Raises:
            aiohttp.ClientConnectionError: Every connection tried was closed or had
                unread data.

        """
        for _ in range(MAX_CONNECTION_ATTEMPTS):
            connection = await super().connect(*arguments, **options)
            if _is_reusable(connection):
                if isinstance(connection.protocol, _GuardedResponseHandler):
                    connection.protocol.idle = False
                return connection
            connection.close()
        raise aiohttp.ClientConnectionError(
            "every connection tried was closed or had unread data"
        )

    def _release(
        self,
        key: ConnectionKey,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        if isinstance(protocol, _GuardedResponseHandler):
            protocol.idle = True
        super()._release(key, protocol, should_close=should_close)


def _is_reusable(connection: Connection) -> bool:
    protocol = connection.protocol
    if protocol is None or protocol.should_close or connection.transport is None:
        return False
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
    return not poll.poll(0)
