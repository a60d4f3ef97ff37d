"""Learns the concurrency above which an upstream serves no more.

Designed for upstreams that slow down long before all their slots are in use. Beyond
that point more concurrency brings no more throughput, only longer runs. It is found by
comparing runs at lower and at higher concurrency within the same spell of time: an
upstream that has become slow, or whose run times vary, affects both alike. A lowered
limit is checked by the runs that follow, and set back unless they have become faster.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Hashable

SPELL_S = 1.0  # many run times, and short against a burst
MAX_SPELLS = 6
BANDS = 10  # in which the slots are divided
MIN_RUNS = 8  # in a band and spell, for a usable mean
MIN_AGREEING_SPELLS = 2  # one spell may be jitter
# Higher concurrency that is compared with a lower one, as a multiple of it.
MIN_CONCURRENCY_RATIO = 1.25
# Least part of added concurrency that shows as added throughput below the knee.
MIN_GAIN_FRACTION = 0.3
# Largest change of the usual run time of a kind in one spell, so that it hardly changes
# within the spells that are compared.
MAX_USUAL_CHANGE = 0.01
MIN_LIMIT_FRACTION = 0.1  # of the slots; below it, nothing could be learned any more
CHECK_SPELLS = 2  # the first still has runs that began under the former limit
UNCHANGED_FRACTION = 0.95  # of the run time; the check then ends at once
# A full upstream shows one concurrency only. It is then tried whether a limit lower by
# this factor serves as much, up to a small part.
TRIED_LIMIT_FACTOR = 0.75
TRIED_THROUGHPUT_FACTOR = 0.93
FULL_FRACTION = 0.85  # mean concurrency of a full upstream, as a part of the limit
FULL_SPELLS = 4  # a shorter burst is over before a lower limit could help
# Pause after a limit that did not make runs faster; doubles with each further one, as a
# full upstream without a knee loses throughput by each try.
HOLD_S = 20.0
MAX_HOLD_S = 320.0
# A lowered limit that requests wait for is tried at this multiple of it, and kept there
# if that serves more. A recovered upstream is followed within some spells.
RAISED_LIMIT_FACTOR = 1.25
# Pause before the next try to raise a limit; doubles with each one that fails.
RAISE_HOLD_S = 5.0
MAX_RAISE_HOLD_S = 10.0
# Mean concurrency that a try must reach to show anything, as a multiple of that before.
MIN_RAISED_RATIO = 1.1
MAX_RAISED_SPELLS = 4  # a wave of requests is over by then
MIN_RUN_TIME_S = 1e-6


class _Band(NamedTuple):
    """Runs at similar concurrency in one spell."""

    runs: int = 0
    concurrency: float = 0.0  # sum over the runs
    run_times: float = 0.0  # sum, relative to the usual run time of the kind

    @property
    def mean_concurrency(self) -> float:
        return self.concurrency / self.runs

    @property
    def mean_run_time(self) -> float:
        return self.run_times / self.runs

    @property
    def throughput(self) -> float:
        return self.concurrency / max(MIN_RUN_TIME_S, self.run_times)


class _Knee(NamedTuple):
    """A concurrency above which throughput hardly grows.

    Attributes:
        limit: The lower concurrency.
        run_time: Relative run time there.
        run_time_above: Relative run time at the higher concurrency.
        assumed: Whether it was not seen, but is tried as the upstream is full.

    """

    limit: float
    run_time: float
    run_time_above: float
    assumed: bool = False


class LimitPhase(Enum):
    """What the learned limit waits for."""

    WATCHING = "watching"
    CHECKING = "checking"
    RAISING = "raising"


class LearnedLimit:
    """Learned concurrency limit of one process of an upstream.

    Args:
        slots: Requests that the upstream can process concurrently, as announced.
        now: Current monotonic time in seconds.

    Attributes:
        limit: Requests that should run concurrently; at most `slots`.
        phase: What it waits for.

    """

    def __init__(self, *, slots: int, now: float) -> None:
        self._slots = float(max(1, slots))
        self.limit = self._slots
        self.phase = LimitPhase.WATCHING
        self._usual_s: dict[Hashable, float] = {}
        self._spell_sums: dict[Hashable, tuple[int, float]] = {}
        self._bands = [_Band()] * BANDS
        self._spells: deque[list[_Band]] = deque(maxlen=MAX_SPELLS)
        self._spell_ends_at = now + SPELL_S
        self._held_until = now
        self._hold_s = HOLD_S
        self._raise_at = now
        self._raise_hold_s = RAISE_HOLD_S
        self._last = _Band()  # all runs of the last spell
        self._limit_before = self._slots
        self._knee: _Knee | None = None
        self._checked: list[_Band] = []

    def record_run(self, own_s: float, *, concurrency: float, kind: Hashable) -> None:
        """Record a run that has ended with a response.

        Args:
            own_s: Its run time without the time in its calls, in seconds.
            concurrency: Runs in progress when it began, with this one. A spell of slow
                runs then shows at low concurrency as well, where it begins.
            kind: Requests of one kind take similar times.

        """
        runs, sum_s = self._spell_sums.get(kind, (0, 0.0))
        self._spell_sums[kind] = (runs + 1, sum_s + own_s)
        usual_s = self._usual_s.get(kind)
        if usual_s is None:
            usual_s = (sum_s + own_s) / (runs + 1)
        index = min(BANDS - 1, int(concurrency / self._slots * BANDS))
        band = self._bands[index]
        self._bands[index] = _Band(
            band.runs + 1,
            band.concurrency + concurrency,
            band.run_times + own_s / max(MIN_RUN_TIME_S, usual_s),
        )

    def update(self, now: float, *, waiting: bool) -> bool:
        """Change the limit at the end of a spell; return whether it has changed.

        Args:
            now: Current monotonic time in seconds.
            waiting: Whether requests wait for a slot, so that the limit matters.

        """
        if now < self._spell_ends_at:
            return False
        spell_s = SPELL_S + now - self._spell_ends_at
        self._spell_ends_at = now + SPELL_S
        bands, self._bands = self._bands, [_Band()] * BANDS
        if self.phase is LimitPhase.WATCHING:
            self._update_usual_times()  # a check compares with the same usual times
        if spell_s > 2 * SPELL_S:
            return False  # the process was suspended
        self._spell_sums = {}
        before = self.limit
        if self.phase is LimitPhase.CHECKING:
            self._check(bands, now)
            return self.limit != before
        if self.phase is LimitPhase.RAISING:
            self._check_raised(bands, now)
            return self.limit != before
        self._spells.append(bands)
        self._last = _join(bands)
        knee = None
        if now >= self._held_until:
            knee = self._find_knee() or (self._assume_knee() if waiting else None)
        if knee is not None:
            self._lower(knee)
        elif waiting and self.limit < self._slots and now >= self._raise_at:
            self._raise()
        return self.limit != before

    def _update_usual_times(self) -> None:
        for kind, (runs, sum_s) in self._spell_sums.items():
            mean_s = max(MIN_RUN_TIME_S, sum_s / runs)
            usual_s = self._usual_s.setdefault(kind, mean_s)
            change = max(-MAX_USUAL_CHANGE, min(MAX_USUAL_CHANGE, mean_s / usual_s - 1))
            self._usual_s[kind] = usual_s * (1.0 + change)

    def _lower(self, knee: _Knee) -> None:
        """Lower the limit to a knee, and begin to check it."""
        self._limit_before = self.limit
        self._knee = knee
        self._checked = []
        self.phase = LimitPhase.CHECKING
        floor = MIN_LIMIT_FRACTION * self._slots
        self.limit = max(1.0, floor, min(self.limit, knee.limit))

    def _check(self, bands: list[_Band], now: float) -> None:
        """Keep the lowered limit if runs have become faster, or set it back."""
        assert self._knee is not None
        self._checked.append(_join(bands))
        after = self._checked[-1]
        unchanged = UNCHANGED_FRACTION * self._knee.run_time_above
        # A try costs throughput, so it ends as soon as it shows nothing. A knee that
        # was seen is judged without the runs that began under the former limit.
        is_futile = (
            self._knee.assumed
            and after.runs >= MIN_RUNS
            and after.mean_run_time > unchanged
        )
        if len(self._checked) < CHECK_SPELLS and not is_futile:
            return
        self.phase = LimitPhase.WATCHING
        self._spells.clear()
        middle = (self._knee.run_time + self._knee.run_time_above) / 2
        if after.runs >= MIN_RUNS and after.mean_run_time <= middle:
            self._hold_s = HOLD_S
            self._raise_at = now + self._raise_hold_s
        else:
            self.limit = self._limit_before
            self._held_until = now + self._hold_s
            self._hold_s = min(MAX_HOLD_S, 2 * self._hold_s)

    def _raise(self) -> None:
        """Raise a lowered limit, and begin to check whether that serves more."""
        if self._last.runs < MIN_RUNS:
            return
        self._limit_before = self.limit
        self._checked = []
        self.phase = LimitPhase.RAISING
        raised = max(self.limit + 1.0, RAISED_LIMIT_FACTOR * self.limit)
        self.limit = min(self._slots, raised)

    def _check_raised(self, bands: list[_Band], now: float) -> None:
        """Keep a raised limit if it serves more, or set it back for a while."""
        after = _join(bands)
        self._checked.append(after)
        if len(self._checked) < CHECK_SPELLS:
            return
        before = self._last
        reached = after.runs >= MIN_RUNS and (
            after.mean_concurrency >= MIN_RAISED_RATIO * before.mean_concurrency
        )
        if not reached and len(self._checked) < MAX_RAISED_SPELLS:
            return
        self.phase = LimitPhase.WATCHING
        self._spells.clear()
        if reached and _serves_more(before, after):
            self._raise_hold_s = RAISE_HOLD_S
            self._raise_at = now
        else:
            self.limit = self._limit_before
            self._raise_at = now + self._raise_hold_s
            self._raise_hold_s = min(MAX_RAISE_HOLD_S, 2 * self._raise_hold_s)

    def _find_knee(self) -> _Knee | None:
        """Return a knee that several spells agree on and none contradicts, or None."""
        knees = [_find_knee(spell) for spell in self._spells]
        found = [knee for knee in knees if knee is not None]
        if len(found) < MIN_AGREEING_SPELLS:
            return None
        # The highest is lowered first; a lower one shows again below it.
        highest = max(found, key=lambda knee: knee.limit)
        for spell, knee in zip(self._spells, knees, strict=True):
            if knee is None and _reaches(spell, MIN_CONCURRENCY_RATIO * highest.limit):
                return None
        return highest

    def _assume_knee(self) -> _Knee | None:
        """Return a knee to be checked below the limit of a full upstream, or None."""
        if len(self._spells) < FULL_SPELLS:
            return None
        full = _join([_join(spell) for spell in list(self._spells)[-FULL_SPELLS:]])
        if full.runs < MIN_RUNS or full.mean_concurrency < FULL_FRACTION * self.limit:
            return None
        kept_run_time = TRIED_LIMIT_FACTOR / TRIED_THROUGHPUT_FACTOR
        return _Knee(
            TRIED_LIMIT_FACTOR * self.limit,
            # The check compares with the middle of both run times.
            (2 * kept_run_time - 1.0) * full.mean_run_time,
            full.mean_run_time,
            assumed=True,
        )


def _find_knee(bands: list[_Band]) -> _Knee | None:
    """Return the knee that the runs of one spell show, or None."""
    known = [band for band in bands if band.runs >= MIN_RUNS]
    for index, lower in enumerate(known):
        for higher in known[index + 1 :]:
            ratio = higher.mean_concurrency / lower.mean_concurrency
            if ratio < MIN_CONCURRENCY_RATIO:
                continue
            if not _serves_more(lower, higher):
                return _Knee(
                    lower.mean_concurrency, lower.mean_run_time, higher.mean_run_time
                )
    return None


def _serves_more(lower: _Band, higher: _Band) -> bool:
    """Return whether higher concurrency brings its least part of throughput."""
    ratio = higher.mean_concurrency / lower.mean_concurrency
    gain = higher.throughput / lower.throughput - 1.0
    return gain >= MIN_GAIN_FRACTION * (ratio - 1.0)


def _reaches(bands: list[_Band], concurrency: float) -> bool:
    """Return whether enough runs of a spell had at least a concurrency."""
    return any(
        band.runs >= MIN_RUNS and band.mean_concurrency >= concurrency for band in bands
    )


def _join(bands: list[_Band]) -> _Band:
    return _Band(
        sum(band.runs for band in bands),
        sum(band.concurrency for band in bands),
        sum(band.run_times for band in bands),
    )
