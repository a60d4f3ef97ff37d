"""Writes structured logs as JSON lines to standard output without blocking.

Each kind of event has its own rate limit. Lines over the limit, and lines that the
reader of standard output is too slow to take, are suppressed; their counts are logged
later.
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter, deque
from enum import Enum

import orjson

FLUSH_THRESHOLD_BYTES = 32_768  # a larger buffer is written at once
MAX_BUFFERED_BYTES = 1_048_576  # beyond it, lines are suppressed


class EventKind(Enum):
    """Kind of event that a log line reports; each has its own rate limit."""

    STATE = "state"
    FAILURE = "failure"
    SUCCESS = "success"


LINES_PER_S = {
    EventKind.STATE: 200.0,
    EventKind.FAILURE: 100.0,
    EventKind.SUCCESS: 20.0,
}
BURST_S = 2.0  # burst size, as seconds of the rate


class _TokenBucket:
    __slots__ = ("tokens", "updated_at")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.updated_at = float("-inf")


class LogStream:
    """Structured log of one node.

    Args:
        host: Host of the node.
        descriptor: File descriptor to write to; None for standard output.

    """

    def __init__(self, *, host: str, descriptor: int | None = None) -> None:
        self._host = host
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._buckets = {kind: _TokenBucket() for kind in EventKind}
        self._suppressed: Counter[str] = Counter()
        os.set_blocking(self._descriptor, False)

    def allows(self, kind: EventKind, event: str, now: float) -> bool:
        """Return whether a line is within the rate limit; if not, count it."""
        bucket = self._buckets[kind]
        rate = LINES_PER_S[kind]
        gained = (now - bucket.updated_at) * rate
        bucket.tokens = min(rate * BURST_S, bucket.tokens + gained)
        bucket.updated_at = now
        if bucket.tokens < 1.0:
            self._suppressed[event] += 1
            return False
        bucket.tokens -= 1.0
        return True

    def state(self, event: str, now: float, **fields: object) -> None:
        """Log a change of the node's state."""
        if self.allows(EventKind.STATE, event, now):
            self.write(event, **fields)

    def failure(self, event: str, now: float, **fields: object) -> None:
        """Log an error, or a decision that made a request fail."""
        if self.allows(EventKind.FAILURE, event, now):
            self.write(event, **fields)

    def flush(self) -> None:
        """Log suppressed counts; write what the descriptor accepts without blocking."""
        if self._suppressed and self._buffered_bytes < FLUSH_THRESHOLD_BYTES:
            counts = dict(self._suppressed)
            self._suppressed.clear()
            self._append("log.left_out", {"counts": counts})
        while self._buffer:
            data = b"".join(self._buffer)
            self._buffer.clear()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                self._buffered_bytes = 0  # drop the lines, as nothing can read them
                return
            self._buffered_bytes = len(data) - written
            if written < len(data):
                self._buffer.append(data[written:])
                return

    def write(self, event: str, **fields: object) -> None:
        """Log a line that `allows` has accepted, if the buffer has room for it."""
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._suppressed[event] += 1
            return
        self._append(event, fields)
        if self._buffered_bytes > FLUSH_THRESHOLD_BYTES:
            self.flush()

    def _append(self, event: str, fields: dict[str, object]) -> None:
        record = {"time": time.time(), "host": self._host, "event": event, **fields}
        line = orjson.dumps(
            record, default=_to_json_value, option=orjson.OPT_APPEND_NEWLINE
        )
        self._buffer.append(line)
        self._buffered_bytes += len(line)


def _to_json_value(value: object) -> object:
    """Return a JSON-compatible substitute for a value that JSON cannot represent."""
    if isinstance(value, bytes):
        return value.decode("latin-1")
    if isinstance(value, Enum):
        return value.value
    return str(value)
