"""Decides which requests a stopping node still takes.

Designed for requests that arrive between the stop signal and the exit, while callers
and running requests still depend on the node. What the node takes must end before it
exits: a call that is broken off while its upstream is at work fails the request that
made it, and neither can be repeated if it may run only once. What it refuses has not
run, but fails the request that made the call all the same.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_relay.attempt_timeout import AttemptTimeout

# Time by which a call may exceed the longest of its route. A busy machine delays single
# responses of a route with almost constant response times by more than their deviation.
CALL_END_MARGIN_S = 0.2


def ends_before_exit(
    response_times: AttemptTimeout,
    now: float,
    *,
    deadline: float,
    complete_at: float,
    pending_s: float,
) -> bool:
    """Return whether a call that arrives now ends before the node exits.

    The request that makes a call would fail without it, so a call is also taken if its
    deadline is later but it is expected to end in time.

    Args:
        response_times: Response times of the call's route and service.
        now: Current time in seconds.
        deadline: Time at which the caller stops waiting, in seconds.
        complete_at: Time at which the node breaks off what is unfinished, in seconds.
        pending_s: Longest time for which a call of this route and service has been
            pending, in seconds. An upstream that has become slow shows it first here.

    """
    if deadline <= complete_at:
        return True
    usual_s = response_times.longest_usual_s
    if usual_s is None:
        return False
    longest_s = max(usual_s, response_times.longest_recent_s, pending_s)
    return now + longest_s + CALL_END_MARGIN_S <= complete_at
