"""Limits the concurrency of one upstream and queues requests by their latency targets.

Designed for more requests than the upstream has slots. An upstream is the service
process on a host. The node beside it has one limiter, is its only client and queues the
requests that find no free slot. Queued requests start in the order of the latest start
that still meets their latency target; those that can no longer meet it start after
those that can, in the order of expiry. A request that finds a free slot and no queue
always starts. One that would have to queue is refused on arrival if it is expected to
start too late: a root request after its latest start for the target, a call after its
expiry or its longest permitted wait. A request that expires in the queue is skipped
without being run.

A call is a request that an upstream makes while it runs another; a root request comes
from a caller outside the fleet. While a call waits, the requests above it in the call
tree keep their slots, so a long queue at one scarce service fills the slots of every
service that calls it. A call whose predicted wait exceeds a few mean run times of this
upstream is therefore refused at once. The latest start of a call is based on the
latency target of its root request, so the calls refused are those of the newest roots,
on which the least work has been spent.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from enum import Enum
from itertools import count

# Moving average weight of the newest run; adapts in about 20 runs.
RUN_TIME_EWMA_WEIGHT = 0.05
INITIAL_RUN_TIME_S = 0.05  # assumed until the first run ends
# Multiple of the mean run time after which the response of a run is assumed to be lost.
STALE_RUN_TIMES = 10.0
MIN_STALE_AFTER_S = 0.5  # so that a sudden slowdown is not taken for lost responses
# Longest predicted wait with which a call is queued, as a multiple of the mean run
# time.
CALL_WAIT_RUN_TIMES = 4.0
MIN_CALL_WAIT_S = 0.1  # a burst of calls with short run times drains in this time
# Predicted wait from which a request looks for a free slot at another host, as a
# multiple of the mean run time. A shorter wait is often over before another host,
# which may be slower or farther away, has started the request.
BUSY_RUN_TIMES = 0.5
MIN_LIMIT = 1
# Applied to the limit, or to the running requests if there are fewer, each time that
# the upstream rejects a request for lack of room; successive rejections compound while
# at least FULL_SLOT_FRACTION of all slots is in use.
LIMIT_DECREASE_FACTOR = 0.9
# With a lower share of all slots in use, a rejection is not due to a lack of room.
FULL_SLOT_FRACTION = 0.75
LIMIT_RECOVERY_FRACTION_PER_S = 0.25  # share of all slots added to the limit


class SlotDecision(Enum):
    """Decision on a request that asks for a slot."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


class SlotRequest:
    """Request for one slot of the upstream, compared by identity.

    Args:
        start_by: Latest start that meets the latency target, in seconds on the clock of
            `now`; at most `expires_at`. For a call it only determines the queue order.
        expires_at: Latest start that meets the deadline of the caller, on the same
            clock.
        call: Whether the request was made by a request that is already running.

    Attributes:
        waiting: Whether this request is in the queue.

    """

    __slots__ = ("call", "expires_at", "start_by", "waiting")

    def __init__(self, *, start_by: float, expires_at: float, call: bool) -> None:
        self.start_by = start_by
        self.expires_at = expires_at
        self.call = call
        self.waiting = False


class ConcurrencyLimiter:
    """Slots of one upstream and the queue of requests that wait for them.

    Args:
        slots: Requests that the upstream can process concurrently.
        now: Current monotonic time in seconds.

    Attributes:
        slots: Upper bound of `limit`.
        running: Number of requests that hold a slot.
        waiting: Number of requests in the queue, including expired ones that have not
            been cancelled.
        mean_s: Moving average of the time that a request holds a slot, in seconds,
            including the calls it makes.

    """

    def __init__(self, *, slots: int, now: float) -> None:
        self.slots = max(MIN_LIMIT, slots)
        self.running = 0
        self.waiting = 0
        self.mean_s = INITIAL_RUN_TIME_S
        self._has_run_time = False
        self._limit = float(self.slots)
        self._recovered_at = now
        self._submit_order = count()
        # The `start_by` of all queued requests, in ascending order.
        self._queued_start_by: list[float] = []
        self._on_time: list[tuple[float, int, SlotRequest]] = []
        self._late: list[tuple[float, int, SlotRequest]] = []

    @property
    def limit(self) -> int:
        """Requests that may run concurrently at present; lowered by rejections."""
        return max(MIN_LIMIT, min(self.slots, int(self._limit)))

    @property
    def load(self) -> float:
        """Running and queued requests, relative to the limit; may exceed 1.0."""
        return (self.running + self.waiting) / self.limit

    def predict_wait(self, start_by: float) -> float:
        """Return the expected queue wait of a request that arrives now, in seconds.

        An estimate: queued requests that can no longer meet their target count as ahead
        although they start later.

        Args:
            start_by: Latest start that meets the latency target; only queued requests
                with an earlier one count as ahead.

        """
        ahead = (
            self.running + bisect_left(self._queued_start_by, start_by) + 1 - self.limit
        )
        return max(0.0, ahead * self.mean_s / self.limit)

    def is_busy(self, start_by: float) -> bool:
        """Return whether a request that arrives now would wait for long.

        Args:
            start_by: Latest start that meets its latency target.

        """
        return self.predict_wait(start_by) > BUSY_RUN_TIMES * self.mean_s

    def submit(self, slot_request: SlotRequest, now: float) -> SlotDecision:
        """Start a request, queue it, or refuse it because it would start too late.

        The caller must cancel a queued request when it expires or is abandoned;
        until then, no new request starts at once, even if a slot is free.
        """
        self._recover_limit(now)
        if self.running < self.limit and not self.waiting:
            self.running += 1
            return SlotDecision.START
        if now + self.predict_wait(slot_request.start_by) > self._latest_start(
            slot_request, now
        ):
            return SlotDecision.REFUSE
        slot_request.waiting = True
        self.waiting += 1
        insort(self._queued_start_by, slot_request.start_by)
        entry = (slot_request.start_by, next(self._submit_order), slot_request)
        heapq.heappush(self._on_time, entry)
        return SlotDecision.WAIT

    def _latest_start(self, slot_request: SlotRequest, now: float) -> float:
        """Return the latest expected start with which a request is queued."""
        if not slot_request.call:
            return slot_request.start_by
        wait_s = max(MIN_CALL_WAIT_S, CALL_WAIT_RUN_TIMES * self.mean_s)
        return min(slot_request.expires_at, now + wait_s)

    def cancel(self, slot_request: SlotRequest) -> None:
        """Remove a request from the queue."""
        if slot_request.waiting:
            slot_request.waiting = False
            self.waiting -= 1
            del self._queued_start_by[
                bisect_left(self._queued_start_by, slot_request.start_by)
            ]

    @property
    def stale_after_s(self) -> float:
        """Run time after which the response is assumed to be lost, in seconds."""
        return max(MIN_STALE_AFTER_S, STALE_RUN_TIMES * self.mean_s)

    def release(self, elapsed_s: float | None) -> None:
        """Release the slot of a run.

        Args:
            elapsed_s: Time that the slot was held, in seconds; None if it should not
                count towards the mean, as the run did not end with a usable response.

        """
        self.running -= 1
        if elapsed_s is not None:
            self.record_run_time(elapsed_s)

    def record_run_time(self, elapsed_s: float) -> None:
        """Include a run time in the moving average.

        Called directly only for a run whose slot was released before it ended.
        """
        if self._has_run_time:
            self.mean_s += RUN_TIME_EWMA_WEIGHT * (elapsed_s - self.mean_s)
        else:
            self.mean_s = elapsed_s
            self._has_run_time = True

    def record_rejection(self, now: float) -> None:
        """Lower the limit after the upstream rejected a request for lack of room.

        Must be called before the slot of the rejected request is released. Rejections
        while many slots are free are ignored: an upstream that rejects a share of its
        requests regardless of load would otherwise have its limit lowered again and
        again.
        """
        self._recover_limit(now)
        if self.running < FULL_SLOT_FRACTION * self.slots:
            return
        self._limit = max(
            MIN_LIMIT, min(self._limit, self.running) * LIMIT_DECREASE_FACTOR
        )

    def start_next(self, now: float) -> SlotRequest | None:
        """Take the next request from the queue if a slot is free.

        Call it after each release until it returns None, as several slots may be free.
        Slots gained as the limit recovers are filled when it is next called.

        Returns:
            The request, which now holds a slot; None if no slot is free or no request
            is left.

        """
        self._recover_limit(now)
        if self.running >= self.limit:
            return None
        slot_request = self._pop_next(now)
        if slot_request is not None:
            self.cancel(slot_request)
            self.running += 1
        return slot_request

    def _pop_next(self, now: float) -> SlotRequest | None:
        """Remove and return the next request that has not expired, or None."""
        while self._on_time:
            entry = heapq.heappop(self._on_time)
            slot_request = entry[2]
            if not slot_request.waiting:
                continue
            if slot_request.start_by >= now:
                return slot_request
            heapq.heappush(
                self._late, (slot_request.expires_at, entry[1], slot_request)
            )
        while self._late:
            slot_request = heapq.heappop(self._late)[2]
            if slot_request.waiting and slot_request.expires_at >= now:
                return slot_request
        return None

    def _recover_limit(self, now: float) -> None:
        """Raise a lowered limit in proportion to the time since the last call."""
        elapsed = now - self._recovered_at
        self._recovered_at = now
        if self._limit < self.slots:
            gained = elapsed * self.slots * LIMIT_RECOVERY_FRACTION_PER_S
            self._limit = min(float(self.slots), self._limit + gained)
