"""Reads what an upstream says of itself in the headers of its responses."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.ids import UpstreamId

if TYPE_CHECKING:
    from lavenderway_relay.messages import Headers
    from lavenderway_relay.model import Upstream

# Nine digits exceed what any upstream can process in a second.
_DECIMAL_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,30})?")
_LEAVING = b"1"


class NoticeFormatError(ValueError):
    """A header that an upstream sends about itself cannot be read."""


class UpstreamNotice(NamedTuple):
    """What an upstream has said of itself, as one node tells another.

    Attributes:
        upstream: ID of the upstream.
        started_ms: Wall-clock start of its process, in milliseconds.
        limit_per_s: Requests per second that it takes from all hosts together; None
            without a limit.
        leaving: Whether it takes no new requests, as it is leaving.
        wait_s: Expected wait of a request that arrives now, in seconds, due to the
            limit.

    """

    upstream: UpstreamId
    started_ms: int
    limit_per_s: float | None
    leaving: bool
    wait_s: float = 0.0

    def is_about(self, upstream: Upstream | None) -> bool:
        """Return whether the notice is about this process of an upstream."""
        return upstream is not None and (self.upstream, self.started_ms) == (
            upstream.id,
            upstream.started_ms,
        )


def read_limit(headers: Headers, name: bytes) -> float | None:
    """Return the limit in requests per second that a response names; None without one.

    Raises:
        NoticeFormatError: The header is not a positive decimal number, or is repeated.

    """
    value = _find_single(headers, name)
    if value is None:
        return None
    if not _DECIMAL_NUMBER.fullmatch(value) or float(value) <= 0.0:
        raise NoticeFormatError(
            f"{name.decode()}: {value[:40]!r} is not a limit; expected a decimal"
            " number of requests per second, above 0 and below 1000000000"
        )
    return float(value)


def read_leaving(headers: Headers, name: bytes) -> bool:
    """Return whether a response says that its upstream is leaving.

    Raises:
        NoticeFormatError: The header has another value than 1, or is repeated.

    """
    value = _find_single(headers, name)
    if value is None:
        return False
    if value != _LEAVING:
        raise NoticeFormatError(f"{name.decode()}: expected 1, got {value[:40]!r}")
    return True


def _find_single(headers: Headers, name: bytes) -> bytes | None:
    values = [value.strip() for key, value in headers if key == name]
    if len(values) > 1:
        raise NoticeFormatError(f"{name.decode()} is repeated: {values[:3]!r}")
    return values[0] if values else None
