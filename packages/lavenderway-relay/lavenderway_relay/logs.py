"""Structured logs: one JSON object a line on standard output, never waited for.

Volume is bounded by kind of line. Lines beyond the bound, and lines that the reader of
standard output is too slow for, are counted, and the counts are written later.
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter, deque
from enum import Enum

import orjson

FLUSH_BYTES = 32_768  # written at once rather than at the next flush
MAX_BUFFERED_BYTES = 1_048_576  # a reader that is further behind loses lines


class Level(Enum):
    """How much a line matters; the bound on volume is kept for each level."""

    STATE = "state"
    FAILURE = "failure"
    SUCCESS = "success"


LINES_PER_S = {Level.STATE: 200.0, Level.FAILURE: 100.0, Level.SUCCESS: 20.0}
BURST_S = 2.0  # seconds' worth of lines that may come at once


class _Allowance:
    __slots__ = ("balance", "updated")

    def __init__(self) -> None:
        self.balance = 0.0
        self.updated = float("-inf")


class LogStream:
    """Writes log lines of one node.

    Args:
        host: Host of the node.
        descriptor: File descriptor to write to.

    """

    def __init__(self, *, host: str, descriptor: int | None = None) -> None:
        self._host = host
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered = 0
        self._allowances = {level: _Allowance() for level in Level}
        self._left_out: Counter[str] = Counter()
        os.set_blocking(self._descriptor, False)

    def wants(self, level: Level, event: str, now: float) -> bool:
        """Return whether a line fits the bound; count it if it does not."""
        allowance = self._allowances[level]
        rate = LINES_PER_S[level]
        gained = (now - allowance.updated) * rate
        allowance.balance = min(rate * BURST_S, allowance.balance + gained)
        allowance.updated = now
        if allowance.balance < 1.0:
            self._left_out[event] += 1
            return False
        allowance.balance -= 1.0
        return True

    def state(self, event: str, now: float, **fields: object) -> None:
        """Write a change of what the process believes."""
        if self.wants(Level.STATE, event, now):
            self.write(event, **fields)

    def failure(self, event: str, now: float, **fields: object) -> None:
        """Write a decision that cost a request its answer, or a fault."""
        if self.wants(Level.FAILURE, event, now):
            self.write(event, **fields)

    def flush(self) -> None:
        """Hand over what the reader takes without waiting for it."""
        if self._left_out and self._buffered < FLUSH_BYTES:
            counts = dict(self._left_out)
            self._left_out.clear()
            self._append("log.left_out", {"counts": counts})
        while self._buffer:
            data = b"".join(self._buffer)
            self._buffer.clear()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                self._buffered = 0  # nobody reads any more, and no place to say so
                return
            self._buffered = len(data) - written
            if written < len(data):
                self._buffer.append(data[written:])
                return

    def write(self, event: str, **fields: object) -> None:
        """Write a line that `wants` has let pass."""
        if self._buffered > MAX_BUFFERED_BYTES:
            self._left_out[event] += 1
            return
        self._append(event, fields)
        if self._buffered > FLUSH_BYTES:
            self.flush()

    def _append(self, event: str, fields: dict[str, object]) -> None:
        record = {"time": time.time(), "host": self._host, "event": event, **fields}
        line = orjson.dumps(record, default=_plain, option=orjson.OPT_APPEND_NEWLINE)
        self._buffer.append(line)
        self._buffered += len(line)


def _plain(value: object) -> object:
    """Return a value that JSON has for one that it has not."""
    if isinstance(value, bytes):
        return value.decode("latin-1")
    if isinstance(value, Enum):
        return value.value
    return str(value)
