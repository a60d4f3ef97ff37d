"""What callers got on a simulated day."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum


class Result(Enum):
    """What a caller got for a request."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    OVER_RATE = "over rate"
    FAILED = "failed"


@dataclass
class Tally:
    """Results of a group of requests.

    Attributes:
        results: Number of requests by result.
        wrongly_refused: Refused ones for which each service that they need had a free
            slot at that moment.

    """

    results: Counter[Result] = field(default_factory=Counter)
    wrongly_refused: int = 0

    @property
    def requests(self) -> int:
        """Number of requests."""
        return self.results.total()

    def share(self, result: Result) -> float:
        """Return the share of a result; 0.0 without requests."""
        return self.results[result] / max(1, self.requests)


@dataclass(kw_only=True)
class DayResult:
    """Results of one day.

    Attributes:
        worth: Value of the served requests, relative to the value of all.
        kinds: Results by kind.
        workspaces: Results by workspace.
        domains: Results by failure domain of the callers.
        runs: Runs of all upstreams.
        wasted_runs: Runs for root requests that were not served.
        queue_times_s: Times that runs waited for a slot, by service.
        recovery_s: Time from the end of the last disturbance until the first window
            that counts as recovered; infinite if there is none.

    """

    worth: float = 0.0
    kinds: defaultdict[str, Tally] = field(default_factory=lambda: defaultdict(Tally))
    workspaces: defaultdict[str, Tally] = field(
        default_factory=lambda: defaultdict(Tally)
    )
    domains: defaultdict[str, Tally] = field(default_factory=lambda: defaultdict(Tally))
    runs: int = 0
    wasted_runs: int = 0
    queue_times_s: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    recovery_s: float = 0.0

    @property
    def total(self) -> Tally:
        """Results of all requests."""
        total = Tally()
        for tally in self.kinds.values():
            total.results += tally.results
            total.wrongly_refused += tally.wrongly_refused
        return total
