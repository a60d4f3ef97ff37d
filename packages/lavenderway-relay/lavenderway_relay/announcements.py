"""Tracks the upstream on this host by its periodic announcements."""

from __future__ import annotations

from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from lavenderway_relay.model import UpstreamStatus

if TYPE_CHECKING:
    from lavenderway_core.ids import UpstreamId

    from lavenderway_relay.model import Upstream

MAX_MISSED_ANNOUNCEMENTS = 4.0  # after more of them the upstream is treated as silent
UNKNOWN_START_MS = 0  # start of an incarnation whose departure does not state it


class AnnouncementEffect(Enum):
    """Effect of an announcement on the tracked upstream."""

    CHANGED = "changed"
    REPEATED = "repeated"
    OUTDATED = "outdated"


class LocalUpstream:
    """The upstream on this host, as last announced.

    Announcements of an older incarnation and announcements that arrive out of order
    are ignored. An incarnation that has announced its departure cannot become ready
    again.

    Args:
        interval_s: Expected time between two announcements, in seconds.

    Attributes:
        current: The upstream by its last announcement that took effect; None before
            the first.
        silent: Whether too many announcements in a row were missed, or none has been
            received since an unconfirmed state was restored.
        confirmed: False if `current` was restored from a record that may be out of
            date.

    """

    def __init__(self, *, interval_s: float) -> None:
        self.current: Upstream | None = None
        self.silent = False
        self.confirmed = True
        self._interval_s = interval_s
        self._last_announced_at: float | None = None
        self._departed: dict[UpstreamId, int] = {}

    @property
    def departed_early(self) -> bool:
        """Whether an upstream has deregistered that was not known."""
        return self.current is None and bool(self._departed)

    def restore(self, upstream: Upstream | None, *, confirmed: bool = True) -> None:
        """Set the upstream that was stored before the node restarted.

        Has no effect if an upstream has been announced since, unless it is outdated.

        Args:
            upstream: The stored upstream; None if there is none.
            confirmed: False if the upstream may have announced its departure since; it
                then has to announce itself, unless it is departing already.

        """
        if upstream is not None and upstream.id in self._departed:
            departed_ms = self._departed[upstream.id]
            if departed_ms == UNKNOWN_START_MS or departed_ms >= upstream.started_ms:
                upstream = replace(upstream, status=UpstreamStatus.GONE)
        known = self.current
        if known is not None and (
            upstream is None or not _is_outdated(known, upstream)
        ):
            return
        departing = upstream is not None and upstream.status is not UpstreamStatus.READY
        self.current = upstream
        self.confirmed = confirmed or departing
        self.silent = not self.confirmed

    def announce(self, upstream: Upstream, now: float) -> AnnouncementEffect:
        """Apply an announcement."""
        known = self.current
        if self._departed.get(upstream.id, -1) >= upstream.started_ms:
            return AnnouncementEffect.OUTDATED
        if known is not None and _is_outdated(upstream, known):
            return AnnouncementEffect.OUTDATED
        self._last_announced_at = now
        self.current = upstream
        changed = known is None or self.silent or _has_changed(upstream, known)
        self.silent = False
        self.confirmed = True
        return AnnouncementEffect.CHANGED if changed else AnnouncementEffect.REPEATED

    def record_leaving(self, upstream_id: UpstreamId, started_ms: int) -> bool:
        """Apply the departure that a response of an incarnation states.

        Returns:
            Whether the upstream was ready before.

        """
        known = self.current
        if (
            known is None
            or (known.id, known.started_ms) != (upstream_id, started_ms)
            or known.status is not UpstreamStatus.READY
        ):
            return False
        self.current = replace(known, status=UpstreamStatus.LEAVING)
        return True

    def deregister(
        self, upstream_id: UpstreamId, started_ms: int | None
    ) -> AnnouncementEffect:
        """Apply the deregistration of an incarnation, which is final.

        It may arrive before the incarnation has been announced; late announcements
        of the incarnation are then ignored.

        Args:
            upstream_id: ID of the upstream.
            started_ms: Wall-clock start of the incarnation, in milliseconds; None if
                unknown.

        """
        known = self.current
        if known is None or known.id != upstream_id:
            if known is None or (
                started_ms is not None and started_ms > known.started_ms
            ):
                self._departed[upstream_id] = started_ms or UNKNOWN_START_MS
            return AnnouncementEffect.OUTDATED
        if started_ms is not None and started_ms < known.started_ms:
            return AnnouncementEffect.OUTDATED
        if known.status is UpstreamStatus.GONE:
            return AnnouncementEffect.REPEATED
        self._departed[upstream_id] = known.started_ms
        self.confirmed = True
        self.current = replace(known, status=UpstreamStatus.GONE)
        return AnnouncementEffect.CHANGED

    def check_silence(self, now: float) -> bool:
        """Mark the upstream as silent if it has missed too many announcements.

        Returns:
            Whether it has just become silent.

        """
        known = self.current
        if known is None or self.silent or known.status is UpstreamStatus.GONE:
            return False
        if self._last_announced_at is None:
            self._last_announced_at = now
        if now - self._last_announced_at <= MAX_MISSED_ANNOUNCEMENTS * self._interval_s:
            return False
        self.silent = True
        return True


def _is_outdated(new: Upstream, known: Upstream) -> bool:
    """Return whether an announcement is superseded by the latest known one."""
    if new.started_ms != known.started_ms:
        return new.started_ms < known.started_ms
    if new.id != known.id:
        return False
    if new.sequence <= known.sequence:
        return True
    departing = known.status is not UpstreamStatus.READY
    return departing and new.status is UpstreamStatus.READY


def _has_changed(new: Upstream, known: Upstream) -> bool:
    return replace(new, sequence=known.sequence) != known
