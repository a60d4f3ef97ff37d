"""Keeps an upstream within the limit that it names for itself.

An upstream in need names, in its responses, the requests per second that it takes from
all hosts together, for as long as its responses say so. The node beside the upstream is
its only client, so the limit is enforced there as a whole and needs no division among
the hosts that the requests come from. `NamedLimit` decides which limit is in force, and
`Pacer` when a request may be sent.
"""

from __future__ import annotations

# Requests that may be sent at once after a pause, as seconds of the limit. Random gaps
# between arrivals would otherwise leave a part of the limit unused.
BURST_S = 0.5
MIN_BURST = 1.0
# Requests are sent at this rate at least. Without any, the end of a limit would not be
# noticed.
MIN_PER_S = 0.5


class NamedLimit:
    """The limit that the present process of an upstream names.

    Responses may end in another order than the upstream began them. A response that
    names a lower limit is therefore followed at once, but one that names a higher limit
    or none only if its request was sent after the limit in force was last named.

    Attributes:
        per_s: Requests per second; None if no limit is in force.

    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self._named_at = float("-inf")
        self._has_response = False

    def record_response(
        self, per_s: float | None, *, sent_at: float, now: float
    ) -> bool:
        """Follow a response of the upstream; return whether the limit changed.

        Args:
            per_s: Limit that the response names; None if it names none.
            sent_at: Time at which the request was sent, in seconds.
            now: Current time in seconds.

        """
        self._has_response = True
        if per_s is None and self.per_s is None:
            return False
        is_lower = per_s is not None and (self.per_s is None or per_s <= self.per_s)
        if not is_lower and sent_at <= self._named_at:
            return False
        if per_s is not None:
            self._named_at = now
        changed = per_s != self.per_s
        self.per_s = per_s
        return changed

    def restore(self, per_s: float, now: float) -> bool:
        """Follow the limit that another node knows; return whether it changed.

        A node that has restarted has no response of the upstream yet. Afterwards, the
        upstream's own responses count instead.
        """
        if self._has_response or (self.per_s is not None and self.per_s <= per_s):
            return False
        self.per_s = per_s
        self._named_at = now
        return True


class Pacer:
    """Token bucket that spaces the requests to an upstream.

    Starts empty, as the requests sent before are not known after a restart.

    Args:
        per_s: Requests per second; a lower one than `MIN_PER_S` is raised to it.
        now: Current monotonic time in seconds.

    Attributes:
        per_s: Requests per second.

    """

    def __init__(self, *, per_s: float, now: float) -> None:
        self.per_s = max(MIN_PER_S, per_s)
        self._tokens = 0.0
        self._updated_at = now

    @property
    def burst(self) -> float:
        """Requests that may be sent at once after a pause."""
        return max(MIN_BURST, self.per_s * BURST_S)

    def change(self, per_s: float, now: float) -> None:
        """Change the requests per second."""
        self._refill(now)
        self.per_s = max(MIN_PER_S, per_s)
        self._tokens = min(self._tokens, self.burst)

    def take(self, now: float) -> bool:
        """Take a token for a request that is sent now; return whether there was one."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return the token of a request that was not sent."""
        self._tokens = min(self.burst, self._tokens + 1.0)

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the time until a request may be sent, in seconds.

        Args:
            ahead: Requests that are sent before it.
            now: Current monotonic time in seconds.

        """
        self._refill(now)
        return max(0.0, (ahead + 1 - self._tokens) / self.per_s)

    def load(self, waiting: int, now: float) -> float:
        """Return the used share of the burst, above 1.0 when requests wait."""
        self._refill(now)
        return 1.0 + (waiting - self._tokens) / self.burst

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._tokens = min(self.burst, self._tokens + elapsed_s * self.per_s)
