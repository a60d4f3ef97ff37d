"""Filters and merges the structured logs of nodes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_COMMON_FIELDS = ("time", "host", "event")


class LogFilter(NamedTuple):
    """What to show; a field that is None does not restrict.

    Attributes:
        request: Id of a request; its calls are shown too.
        workspace: Workspace of the request.
        host: Host whose lines are shown.
        event: Start of the event's name.
        since: Earliest time, in seconds of the Unix clock.
        until: Latest time, in seconds of the Unix clock.

    """

    request: str | None = None
    workspace: str | None = None
    host: str | None = None
    event: str | None = None
    since: float | None = None
    until: float | None = None

    def matches(self, record: dict[str, Any]) -> bool:
        """Return whether a line is shown."""
        at = float(record.get("time", 0.0))
        return (
            self._matches_request(record)
            and (self.workspace is None or record.get("workspace") == self.workspace)
            and (self.host is None or record.get("host") == self.host)
            and (self.event is None or record["event"].startswith(self.event))
            and (self.since is None or at >= self.since)
            and (self.until is None or at <= self.until)
        )

    def _matches_request(self, record: dict[str, Any]) -> bool:
        if self.request is None:
            return True
        found = str(record.get("request") or "")
        return found == self.request or found.startswith(f"{self.request}.")


def read_records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Return the log lines among lines of text; other text is passed over.

    A line may have text before its object, such as a collector's own time.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and isinstance(record.get("event"), str):
            yield record


def select_records(
    sources: Iterable[Iterable[str]], wanted: LogFilter
) -> list[dict[str, Any]]:
    """Return the matching lines of all sources in order of time."""
    found = [
        record
        for source in sources
        for record in read_records(source)
        if wanted.matches(record)
    ]
    return sorted(found, key=lambda record: float(record.get("time", 0.0)))


def format_record(record: dict[str, Any], *, origin: float) -> str:
    """Return one line of a timeline; times count from `origin`, in seconds."""
    at = float(record.get("time", 0.0)) - origin
    details = " ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in _COMMON_FIELDS and value not in (None, [], "")
    )
    host, event = record.get("host", "-"), record["event"]
    return f"{at:+10.3f} s  {host:<24} {event:<22} {details}"
