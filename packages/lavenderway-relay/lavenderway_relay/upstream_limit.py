"""Combines what limits the requests per second of the upstream of this host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_relay.named_limit import MIN_PER_S, NamedLimit, Pacer
from lavenderway_relay.warmup import Warmup

if TYPE_CHECKING:
    from lavenderway_relay.concurrency import ConcurrencyLimiter


class UpstreamLimit:
    """The lower of the limit that the upstream names and that of its warm-up.

    Attributes:
        named: The limit that the present process of the upstream names.
        warmup: Whether the upstream is cold.

    """

    def __init__(self) -> None:
        self.named = NamedLimit()
        self.warmup = Warmup()

    def per_s(self, cold_per_s: float | None, now: float) -> float | None:
        """Return the requests per second that the upstream takes; None without a limit.

        Args:
            cold_per_s: What the upstreams of its service take while they are cold, in
                requests per second; None if they do not warm up.
            now: Current monotonic time in seconds.

        """
        limits = (self.named.per_s, self.warmup.limit_per_s(cold_per_s, now))
        return min((each for each in limits if each is not None), default=None)


def report_run_time(limiter: ConcurrencyLimiter) -> float:
    """Return the mean run time that other nodes are told, in seconds.

    0.0 if an upstream that is limited has not run anything yet. An assumed time could
    be many times that of the others, which would keep all requests from it for long.
    """
    if limiter.pacer is not None and not limiter.has_run_time:
        return 0.0
    return limiter.mean_s


def pace(limiter: ConcurrencyLimiter, per_s: float | None, now: float) -> bool:
    """Pace the requests of a limiter, or no longer; return whether that is a change.

    Args:
        limiter: Slots and queue of the upstream.
        per_s: Requests per second; None without a limit.
        now: Current monotonic time in seconds.

    """
    pacer = limiter.pacer
    if per_s is None:
        if pacer is None:
            return False
        limiter.set_pacer(None)
    elif pacer is None:
        limiter.set_pacer(Pacer(per_s=per_s, now=now))
    elif pacer.per_s == max(MIN_PER_S, per_s):
        return False
    else:
        pacer.change(per_s, now)
    return True
