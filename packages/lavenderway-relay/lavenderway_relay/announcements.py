"""Follows the upstream of this host through what it announces of itself."""

from __future__ import annotations

from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from lavenderway_relay.model import UpstreamStatus

if TYPE_CHECKING:
    from lavenderway_core.ids import UpstreamId

    from lavenderway_relay.model import Upstream

SILENCE_INTERVALS = 4.0  # announcements missed before the upstream counts as gone


class Reading(Enum):
    """What an announcement means to the node."""

    CHANGED = "changed"
    REPEATED = "repeated"
    OUTDATED = "outdated"


class OwnUpstream:
    """The upstream on this host, as it last announced itself.

    An announcement of an older incarnation, or one that was overtaken by a later one,
    changes nothing. An incarnation that has said it leaves does not come back.

    Args:
        interval_s: Usual time between two announcements, in seconds.

    """

    def __init__(self, *, interval_s: float) -> None:
        self.current: Upstream | None = None
        self.silent = False
        self._interval_s = interval_s
        self._heard_at: float | None = None
        self._left: dict[UpstreamId, int] = {}

    def restore(self, upstream: Upstream) -> None:
        """Take what was stored before this node was started again."""
        if self.current is None:
            self.current = upstream

    def announce(self, upstream: Upstream, now: float) -> Reading:
        """Take in an announcement."""
        known = self.current
        if self._left.get(upstream.id, -1) >= upstream.born_ms:
            return Reading.OUTDATED
        if known is not None and _precedes(upstream, known):
            return Reading.OUTDATED
        self._heard_at = now
        self.current = upstream
        changed = known is None or self.silent or _differs(upstream, known)
        self.silent = False
        return Reading.CHANGED if changed else Reading.REPEATED

    def deregister(self, upstream: UpstreamId, born_ms: int | None) -> Reading:
        """Take in that an incarnation leaves for good."""
        known = self.current
        if known is None or known.id != upstream:
            if known is None or (born_ms is not None and born_ms > known.born_ms):
                self._left[upstream] = born_ms or 0
            return Reading.OUTDATED
        if born_ms is not None and born_ms < known.born_ms:
            return Reading.OUTDATED
        if known.status is UpstreamStatus.GONE:
            return Reading.REPEATED
        self._left[upstream] = known.born_ms
        self.current = replace(known, status=UpstreamStatus.GONE)
        return Reading.CHANGED

    def lapse(self, now: float) -> bool:
        """Note an upstream that has been silent for too long; return if it is new."""
        known = self.current
        if known is None or self.silent or known.status is UpstreamStatus.GONE:
            return False
        if self._heard_at is None:
            self._heard_at = now
        if now - self._heard_at <= SILENCE_INTERVALS * self._interval_s:
            return False
        self.silent = True
        return True


def _precedes(new: Upstream, known: Upstream) -> bool:
    """Return whether an announcement is older than what is known."""
    if new.born_ms != known.born_ms:
        return new.born_ms < known.born_ms
    if new.id != known.id:
        return False
    if new.sequence <= known.sequence:
        return True
    left = known.status is not UpstreamStatus.READY
    return left and new.status is UpstreamStatus.READY


def _differs(new: Upstream, known: Upstream) -> bool:
    return replace(new, sequence=known.sequence) != known
