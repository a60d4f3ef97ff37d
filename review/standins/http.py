"""Minimal HTTP/1.1 messages for the stand-ins."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

REASONS = {200: b"OK", 404: b"Not Found", 412: b"Precondition Failed"}


class Message(NamedTuple):
    """A request or a response.

    Attributes:
        first: The parts of the first line.
        headers: Names in lower case, and values.
        body: The whole body.

    """

    first: list[str]
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.first[1])


async def read_message(
    reader: asyncio.StreamReader, *, head_only: bool = False
) -> Message | None:
    """Read one message; None if the connection ended before it was complete.

    Raises:
        ValueError: The bytes are no HTTP/1.1 message.

    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head[:-4].decode("latin-1").split("\r\n")
        first = lines[0].split(" ", 2)
        if len(first) < 2 or not (
            first[0].startswith("HTTP/1.") or first[-1].startswith("HTTP/1.")
        ):
            raise ValueError(f"no HTTP/1.1 message: {lines[0][:80]!r}")
        headers = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
        message = Message(first, headers, b"")
        length = int(message.header("content-length") or 0)
        if length and not head_only:
            return message._replace(body=await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode_response(
    status: int, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Return the bytes of a response."""
    reason = REASONS.get(status, b"Status")
    head = b"HTTP/1.1 %d %b\r\n" % (status, reason)
    for name, value in [*headers, ("Content-Length", str(len(body)))]:
        head += f"{name}: {value}\r\n".encode()
    return head + b"\r\n" + body


def encode_request(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    head = f"{method} {target} HTTP/1.1\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body
