"""Filters and merges the structured logs of several nodes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_COMMON_FIELDS = ("time", "host", "event")


class LogFilter(NamedTuple):
    """Conditions that a log record must meet; None stands for no condition.

    Attributes:
        request: ID of a request; records of the calls that it made match too.
        workspace: Workspace of the request.
        host: Host that wrote the record.
        event: Prefix of the name of the event.
        since: Earliest Unix time, in seconds.
        until: Latest Unix time, in seconds.

    """

    request: str | None = None
    workspace: str | None = None
    host: str | None = None
    event: str | None = None
    since: float | None = None
    until: float | None = None

    def matches(self, record: dict[str, Any]) -> bool:
        """Return whether a record meets all conditions."""
        time_s = float(record.get("time", 0.0))
        return (
            self._matches_request(record)
            and (self.workspace is None or record.get("workspace") == self.workspace)
            and (self.host is None or record.get("host") == self.host)
            and (self.event is None or record["event"].startswith(self.event))
            and (self.since is None or time_s >= self.since)
            and (self.until is None or time_s <= self.until)
        )

    def _matches_request(self, record: dict[str, Any]) -> bool:
        if self.request is None:
            return True
        request_id = str(record.get("request") or "")
        return request_id == self.request or request_id.startswith(f"{self.request}.")


def read_records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the log records in lines of text and skip all other lines.

    A record may follow other text on its line, such as a timestamp added by a log
    collector.
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
    sources: Iterable[Iterable[str]], log_filter: LogFilter
) -> list[dict[str, Any]]:
    """Return the matching records of all sources in order of time."""
    matching = [
        record
        for source in sources
        for record in read_records(source)
        if log_filter.matches(record)
    ]
    return sorted(matching, key=lambda record: float(record.get("time", 0.0)))


def format_record(record: dict[str, Any], *, start_time_s: float) -> str:
    """Return a record as one line of a timeline.

    Args:
        record: The record.
        start_time_s: Unix time at which the timeline starts, in seconds.

    """
    elapsed_s = float(record.get("time", 0.0)) - start_time_s
    details = " ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in _COMMON_FIELDS and value not in (None, [], "")
    )
    host, event = record.get("host", "-"), record["event"]
    return f"{elapsed_s:+10.3f} s  {host:<24} {event:<22} {details}"
