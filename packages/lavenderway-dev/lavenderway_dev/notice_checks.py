"""Checks that the fleet keeps to what upstreams say of themselves in their responses.

An upstream may name a limit, the requests per second that it takes from all hosts
together, and may say that it is leaving. A host has been told once its node has passed
such a response on. A restart, freeze or cut of a host excuses that host only.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

LIMIT_HEADER = b"server-limit"
LEAVING_HEADER = b"server-leaving"
LIMIT_WINDOW_S = 4.0
LIMIT_TOLERANCE_RATIO = 1.5
LIMIT_TOLERANCE_REQUESTS = 5.0
CONTACT_S = 3.0  # from the first naming until the limit must be kept
TOLD_S = 0.5  # from a passed-on response until its host must keep to it


class Arrival(NamedTuple):
    """A request that reached an upstream.

    Attributes:
        host: Host at which the request began.
        at: Time of arrival, in seconds.
        sent_at: Time at which the client sent it, in seconds.

    """

    host: str
    at: float
    sent_at: float


class _Named(NamedTuple):
    """A limit that an upstream names from a time on; None for none."""

    at: float
    per_s: float | None


class _Interruption(NamedTuple):
    """A restart, freeze or cut of a host."""

    started_at: float
    ended_at: float


@dataclass(kw_only=True)
class NoticeObservations:
    """What upstreams said of themselves, and the requests that reached them.

    Attributes:
        drain_s: Time for which a host may send requests to a leaving upstream.

    """

    drain_s: float = 2.0
    _named: dict[str, list[_Named]] = field(default_factory=lambda: defaultdict(list))
    _told: dict[tuple[str, str], list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _told_leaving: dict[tuple[str, str], list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _arrivals: dict[str, list[Arrival]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _interruptions: dict[str, list[_Interruption]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def record_named(self, upstream: str, per_s: float | None, now: float) -> None:
        """Record that an upstream names a limit from now on, or none."""
        self._named[upstream].append(_Named(now, per_s))

    def record_response(
        self, host: str, upstream: str, headers: list[tuple[bytes, bytes]], now: float
    ) -> None:
        """Record a response of an upstream that the node of a host passed on."""
        names = {name for name, _ in headers}
        if LIMIT_HEADER in names:
            self._told[host, upstream].append(now)
        if LEAVING_HEADER in names:
            self._told_leaving[host, upstream].append(now)

    def record_arrival(self, upstream: str, arrival: Arrival) -> None:
        """Record a request that reached an upstream."""
        self._arrivals[upstream].append(arrival)

    def record_interruption(self, host: str, started_at: float, now: float) -> None:
        """Record that the node of a host did not run, or was cut off, until now."""
        self._interruptions[host].append(_Interruption(started_at, now))

    def count_arrivals(self, upstream: str, since: float, until: float) -> int:
        """Return the number of requests that reached an upstream in a period."""
        return sum(since <= each.at < until for each in self._arrivals[upstream])

    def find_exceeded_limits(self) -> list[str]:
        """Return a description of each upstream that got more than its limit."""
        found = []
        for upstream, named in self._named.items():
            bound_from = named[0].at + CONTACT_S
            counted = [
                arrival.at
                for arrival in self._arrivals[upstream]
                if self._is_told(upstream, arrival, named)
            ]
            for last, end in enumerate(counted):
                start = end - LIMIT_WINDOW_S
                if start < bound_from:
                    continue
                allowed = _allowance(named, start, end)
                count = last + 1 - bisect_left(counted, start)
                if allowed is not None and count > allowed:
                    found.append(
                        f"{upstream} got {count} requests in the {LIMIT_WINDOW_S:.0f} s"
                        f" before {end:.2f} s, allowed {allowed:.0f}"
                    )
                    break
        return found

    def find_late_arrivals(self) -> list[str]:
        """Return a description of each request that a told host sent too late."""
        return [
            f"{upstream} got a request of {arrival.host}, sent"
            f" {arrival.sent_at - told_at:.2f} s after it was told of the departure"
            for upstream, arrivals in self._arrivals.items()
            for arrival in arrivals
            for told_at in self._told_leaving[arrival.host, upstream][:1]
            if arrival.sent_at > told_at + self.drain_s
            and not self._was_interrupted(arrival.host, told_at, arrival.at)
        ]

    def _is_told(self, upstream: str, arrival: Arrival, named: list[_Named]) -> bool:
        """Return whether the host of an arrival had to keep to the limit."""
        since = _limited_since(named, arrival.at)
        if since is None:
            return False
        told = self._told[arrival.host, upstream]
        index = bisect_left(told, since)
        if index == len(told) or told[index] > arrival.at - TOLD_S:
            return False
        return not self._was_interrupted(
            arrival.host, max(told[index], arrival.at - CONTACT_S), arrival.at
        )

    def _was_interrupted(self, host: str, since: float, until: float) -> bool:
        return any(
            each.started_at <= until and each.ended_at >= since
            for each in self._interruptions[host]
        )


def _limited_since(named: list[_Named], at: float) -> float | None:
    """Return since when a limit of any height has been named without a break."""
    since: float | None = None
    for each in named:
        if each.at > at:
            break
        if each.per_s is None:
            since = None
        elif since is None:
            since = each.at
    return since


def _allowance(named: list[_Named], start: float, end: float) -> float | None:
    """Return the requests allowed in a window; None if it is not limited throughout.

    A lower limit counts from `TOLD_S` after it was first named.
    """
    allowed = 0.0
    at, per_s = start, _height(named, start)
    for each in named:
        if not start < each.at <= end:
            continue
        if per_s is None or each.per_s is None:
            return None
        change_at = min(end, each.at + TOLD_S) if each.per_s < per_s else each.at
        allowed += max(0.0, change_at - at) * per_s
        at, per_s = max(at, change_at), each.per_s
    if per_s is None:
        return None
    allowed += (end - at) * per_s
    return LIMIT_TOLERANCE_RATIO * allowed + LIMIT_TOLERANCE_REQUESTS


def _height(named: list[_Named], at: float) -> float | None:
    earlier = [each.per_s for each in named if each.at <= at]
    return earlier[-1] if earlier else None
