"""Writes structured logs at a limited rate, one JSON object per line."""

from __future__ import annotations

import sys
import traceback
from collections import deque
from typing import TYPE_CHECKING

import eliot

if TYPE_CHECKING:
    from lavenderway_core.effects import Component

MAX_LINES_PER_S = 200.0
MAX_BURST_LINES = 400.0
MAX_KEPT_RECORDS = 4096


class LogWriter:
    """Writes log lines and keeps the latest records for the `explain` request.

    Args:
        host: Host of the node.
        now: Current time in seconds.

    """

    def __init__(self, *, host: str, now: float) -> None:
        self.suppressed = 0
        self._host = host
        self._tokens = MAX_BURST_LINES
        self._refilled_at = now
        self._kept: deque[dict[str, object]] = deque(maxlen=MAX_KEPT_RECORDS)

    def write(
        self, component: Component, message: str, fields: dict[str, object], now: float
    ) -> None:
        """Write one line.

        A line over the rate limit is only counted as suppressed. A record about a root
        request is kept in either case.
        """
        if "root" in fields:
            base_fields = {"at": now, "host": self._host, "part": component.value}
            self._kept.append({**base_fields, "message": message, **fields})
        if not self._take_token(now):
            self.suppressed += 1
            return
        eliot.log_message(
            message_type=f"lavenderway:{component.value}",
            text=f"{component.value}: {message}",
            node=self._host,
            **fields,
        )

    def find_records(self, root: str) -> list[dict[str, object]]:
        """Return the kept records about a root request, oldest first."""
        return [record for record in self._kept if record.get("root") == root]

    def keep_record(self, fields: dict[str, object]) -> None:
        """Keep a record without writing a log line."""
        self._kept.append(fields)

    def _take_token(self, now: float) -> bool:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(MAX_BURST_LINES, self._tokens + elapsed * MAX_LINES_PER_S)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def log_event_failure(event: str) -> None:
    """Log the exception being handled, with its traceback.

    Args:
        event: Type of the event whose processing failed.

    """
    eliot.log_message(
        message_type="lavenderway:node",
        text="node: Failed to process an event.",
        event=event,
        traceback=traceback.format_exc(),
    )


def configure_log_output() -> None:
    """Direct log lines to standard error."""
    eliot.to_file(sys.stderr)
