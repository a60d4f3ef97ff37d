"""Structured logs: one JSON object a line, with a fixed prefix for each part."""

from __future__ import annotations

import sys
import traceback
from collections import deque
from typing import TYPE_CHECKING

import eliot

if TYPE_CHECKING:
    from lavenderway_core.effects import Part

LINES_PER_S = 200.0
MAX_BALANCE = 400.0
KEPT_RECORDS = 4096


class LogWriter:
    """Writes log lines at a bounded rate, and keeps the latest for `explain`.

    Args:
        host: Host of the node.
        now: Present time in seconds.

    """

    def __init__(self, *, host: str, now: float) -> None:
        self.suppressed = 0
        self._host = host
        self._balance = MAX_BALANCE
        self._updated = now
        self._kept: deque[dict[str, object]] = deque(maxlen=KEPT_RECORDS)

    def write(
        self, part: Part, message: str, fields: dict[str, object], now: float
    ) -> None:
        """Write one line; over the bound it is only counted and kept."""
        if "root" in fields:
            kept = {"at": now, "host": self._host, "part": part.value}
            self._kept.append({**kept, "message": message, **fields})
        if not self._take(now):
            self.suppressed += 1
            return
        eliot.log_message(
            message_type=f"lavenderway:{part.value}",
            text=f"{part.value}: {message}",
            node=self._host,
            **fields,
        )

    def find(self, root: str) -> list[dict[str, object]]:
        """Return the kept lines about a root request, oldest first."""
        return [record for record in self._kept if record.get("root") == root]

    def note(self, fields: dict[str, object]) -> None:
        """Keep a record for `explain` without writing a line."""
        self._kept.append(fields)

    def _take(self, now: float) -> bool:
        elapsed = max(0.0, now - self._updated)
        self._updated = now
        self._balance = min(MAX_BALANCE, self._balance + elapsed * LINES_PER_S)
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def write_failure(event: str) -> None:
    """Write the exception that is being handled, with its traceback."""
    eliot.log_message(
        message_type="lavenderway:node",
        text="node: Failed to handle an event.",
        event=event,
        traceback=traceback.format_exc(),
    )


def open_log() -> None:
    """Send log lines to standard error."""
    eliot.to_file(sys.stderr)
