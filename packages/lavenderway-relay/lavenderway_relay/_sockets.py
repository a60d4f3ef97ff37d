"""Socket helpers for listening, dead peer detection and the end of connections."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

UNACKNOWLEDGED_TIMEOUT_MS = 1_500  # finds a dead peer well within a request's timeout
KEEPALIVE_IDLE_S = 1  # probes start early, as a network partition causes no reset
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
LINGER_TIMEOUT_S = 1.0  # for the client to close after its last response
_ZERO_LINGER = struct.pack("ii", 1, 0)


def bind_socket(ip: str, port: int) -> socket.socket:
    """Return a bound, non-blocking TCP socket.

    Binding here avoids the event loop's address lookup, which starts threads that
    stay for the life of the process.

    Raises:
        OSError: The address cannot be bound.

    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((ip, port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def set_unacknowledged_timeout(
    transport: asyncio.BaseTransport,
    timeout_ms: int,
) -> None:
    """Make the kernel close a connection whose peer takes no sent data.

    Args:
        transport: Transport of the connection.
        timeout_ms: Time without an acknowledgement, or with a receive window that
            stays closed, in milliseconds.

    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def enable_dead_peer_detection(
    transport: asyncio.BaseTransport,
    unacknowledged_timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS,
) -> None:
    """Make the kernel detect a dead peer while a response is awaited.

    Args:
        transport: Transport of the connection.
        unacknowledged_timeout_ms: Time without an acknowledgement of sent data, in
            milliseconds.

    """
    set_unacknowledged_timeout(transport, unacknowledged_timeout_ms)
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def abort_with_reset(transport: asyncio.Transport) -> None:
    """Abort a connection with a TCP reset.

    A reset also discards undelivered data, so that a request delayed by a partition is
    not delivered after the sender has given up on it.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    transport.abort()


def count_unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the number of written bytes that the peer has not acknowledged yet."""
    unsent = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return unsent
    (unacknowledged,) = struct.unpack(
        "i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    )
    return unsent + int(unacknowledged)


def has_pending_error(transport: asyncio.Transport) -> bool:
    """Return whether an apparent end of stream is in fact a reset.

    If a reset follows data, libuv reports an end of stream and does not read the error,
    which stays pending on the socket.
    """
    sock = transport.get_extra_info("socket")
    return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


class LingeringClose:
    """Closes a connection once the client has closed it, or has all its responses.

    Args:
        transport: Transport of the connection, whose end of stream has been sent.
        loop: The event loop.
        has_unread_response: Returns whether the client has not received all responses.

    """

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        has_unread_response: Callable[[], bool],
    ) -> None:
        self._transport = transport
        self._loop = loop
        self._has_unread_response = has_unread_response
        self._timer = loop.call_later(LINGER_TIMEOUT_S, self._check)

    def cancel(self) -> None:
        """Do nothing any more, as the connection is closed."""
        self._timer.cancel()

    def _check(self) -> None:
        if self._has_unread_response():
            self._timer = self._loop.call_later(LINGER_TIMEOUT_S, self._check)
        else:
            self._transport.close()
