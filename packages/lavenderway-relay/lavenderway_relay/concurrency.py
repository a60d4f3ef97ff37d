"""Limits the concurrency of one upstream and queues requests by their latency targets.

Designed for more requests than the upstream has slots. An upstream is the service
process on a host. The node beside it has one limiter, is its only client and queues the
requests that find no free slot. Queued requests start in the order of the latest start
that still meets their latency target; those that can no longer meet it start after
those that can, in the order of expiry. A request that finds a free slot and no queue
always starts, unless the upstream names a limit. One that would have to queue is
refused on arrival if it is expected to start too late: a root request after its latest
start for the target, a call after its expiry or its longest permitted wait. A request
that expires in the queue is skipped without being run.

A call is a request that an upstream makes while it runs another; a root request comes
from a caller outside the fleet. While a call waits, the requests above it in the call
tree keep their slots, so a long queue at one scarce service fills the slots of every
service that calls it. A call whose predicted wait exceeds a few mean run times of this
upstream is therefore refused at once. The latest start of a call is based on the
latency target of its root request, so the calls refused are those of the newest roots,
on which the least work has been spent.

An upstream in need may also name a limit of requests per second. A request then starts
once the pacer allows it as well, and requests queue by importance class first, so that
the least important ones wait longest and are refused for those that arrive later.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from enum import Enum
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_relay.named_limit import Pacer

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
# Shortest delay of a start that the pacer allows later; a shorter one may be rounded to
# nothing.
MIN_START_DELAY_S = 0.001
MIN_LIMIT = 1
MIN_RUN_TIME_S = 0.001  # a run may take no measurable time
# Applied to the limit, or to the running requests if there are fewer, each time that
# the upstream rejects a request for lack of room; successive rejections compound while
# at least FULL_SLOT_FRACTION of all slots is in use.
LIMIT_DECREASE_FACTOR = 0.9
# With a lower share of all slots in use, a rejection is not due to a lack of room.
FULL_SLOT_FRACTION = 0.75
LIMIT_RECOVERY_FRACTION_PER_S = 0.25  # share of all slots added to the limit


# Importance class while a limit is named, latest start, and order of arrival.
_QueueKey = tuple[int, float, int]


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
        importance_class: Rank of the request, 0 for the most important; it counts only
            while the upstream names a limit.

    Attributes:
        waiting: Whether this request is in the queue.
        queue_key: Position in the queue; a lower one starts earlier.

    """

    __slots__ = (
        "call",
        "expires_at",
        "importance_class",
        "queue_key",
        "start_by",
        "waiting",
    )

    def __init__(
        self,
        *,
        start_by: float,
        expires_at: float,
        call: bool,
        importance_class: int = 0,
    ) -> None:
        self.start_by = start_by
        self.expires_at = expires_at
        self.call = call
        self.importance_class = importance_class
        self.waiting = False
        self.queue_key: _QueueKey = (0, start_by, 0)


class ConcurrencyLimiter:
    """Slots of one upstream and the queue of requests that wait for them.

    Args:
        slots: Requests that the upstream can process concurrently.
        now: Current monotonic time in seconds.

    Attributes:
        slots: Upper bound of `limit`, which rejections lower.
        ceiling: Another upper bound, which is learned from run times.
        running: Number of requests that hold a slot.
        waiting: Number of requests in the queue, including expired ones that have not
            been cancelled.
        mean_s: Moving average of the time that a request holds a slot, in seconds,
            including the calls it makes.
        has_run_time: Whether a run has been measured; otherwise `mean_s` is assumed.
        pacer: Spaces the requests while the upstream names a limit; None without one.
            Changed by `set_pacer`.

    """

    def __init__(self, *, slots: int, now: float) -> None:
        self.slots = max(MIN_LIMIT, slots)
        self.ceiling = float(self.slots)
        self.running = 0
        self.waiting = 0
        self.mean_s = INITIAL_RUN_TIME_S
        self.pacer: Pacer | None = None
        self.has_run_time = False
        self._limit = float(self.slots)
        self._recovered_at = now
        self._submit_order = count()
        # All queued requests with their keys, in ascending order.
        self._queued: list[tuple[_QueueKey, SlotRequest]] = []
        self._on_time: list[tuple[_QueueKey, SlotRequest]] = []
        self._late: list[tuple[float, int, SlotRequest]] = []

    @property
    def limit(self) -> int:
        """Requests that may run concurrently at present."""
        return max(MIN_LIMIT, int(min(self.slots, self.ceiling, self._limit)))

    @property
    def concurrency(self) -> float:
        """Requests in progress with all slots, or all of a named limit, in use."""
        if self.pacer is None:
            return float(self.limit)
        mean_s = max(self.mean_s, MIN_RUN_TIME_S)
        return min(float(self.limit), self.pacer.per_s * mean_s)

    def load(self, now: float) -> float:
        """Return the running and queued requests, relative to the limit.

        Above 1.0 when requests queue. While the upstream names a limit, its use counts
        instead if it is higher.
        """
        load = (self.running + self.waiting) / self.limit
        if self.pacer is None:
            return load
        return max(load, self.pacer.load(self.waiting, now))

    def predict_wait(
        self, start_by: float, now: float, *, importance_class: int = 0
    ) -> float:
        """Return the expected queue wait of a request that arrives now, in seconds.

        An estimate: queued requests that can no longer meet their target count as ahead
        although they start later.

        Args:
            start_by: Latest start that meets the latency target; only queued requests
                with an earlier one count as ahead, or more important ones while the
                upstream names a limit.
            now: Current time in seconds.
            importance_class: Rank of the request, 0 for the most important.

        """
        key = self._queue_key(start_by, importance_class, order=-1)
        return self._wait_behind(bisect_left(self._queued, (key,)), now)

    def _wait_behind(self, queued: int, now: float) -> float:
        """Return the expected wait of a request with some queued ones ahead of it."""
        ahead = self.running + queued + 1 - self.limit
        wait_s = max(0.0, ahead * self.mean_s / self.limit)
        if self.pacer is None:
            return wait_s
        return max(wait_s, self.pacer.wait_s(queued, now))

    def _queue_key(
        self, start_by: float, importance_class: int, order: int
    ) -> _QueueKey:
        return (0 if self.pacer is None else importance_class, start_by, order)

    def is_busy(
        self, start_by: float, now: float, *, importance_class: int = 0
    ) -> bool:
        """Return whether a request that arrives now would wait for long.

        Args:
            start_by: Latest start that meets its latency target.
            now: Current time in seconds.
            importance_class: Rank of the request, 0 for the most important.

        """
        wait_s = self.predict_wait(start_by, now, importance_class=importance_class)
        return wait_s > BUSY_RUN_TIMES * self.mean_s

    def submit(self, slot_request: SlotRequest, now: float) -> SlotDecision:
        """Start a request, queue it, or refuse it because it would start too late.

        The caller must cancel a queued request when it expires or is abandoned;
        until then, no new request starts at once, even if a slot is free.
        """
        self._recover_limit(now)
        if self.running < self.limit and not self.waiting and self._take_token(now):
            self.running += 1
            return SlotDecision.START
        wait_s = self.predict_wait(
            slot_request.start_by, now, importance_class=slot_request.importance_class
        )
        if now + wait_s > self._latest_start(slot_request, now):
            return SlotDecision.REFUSE
        slot_request.waiting = True
        self.waiting += 1
        slot_request.queue_key = self._queue_key(
            slot_request.start_by,
            slot_request.importance_class,
            next(self._submit_order),
        )
        entry = (slot_request.queue_key, slot_request)
        insort(self._queued, entry)
        heapq.heappush(self._on_time, entry)
        return SlotDecision.WAIT

    def _take_token(self, now: float) -> bool:
        return self.pacer is None or self.pacer.take(now)

    def set_pacer(self, pacer: Pacer | None) -> None:
        """Space the requests by a pacer, or no longer, and reorder the queue."""
        self.pacer = pacer
        self._queued = sorted(
            (self._queue_key(each.start_by, each.importance_class, key[2]), each)
            for key, each in self._queued
        )
        for key, slot_request in self._queued:
            slot_request.queue_key = key
        self._on_time = list(self._queued)  # a sorted list is a heap
        self._late = []

    def find_hopeless(self, now: float) -> list[SlotRequest]:
        """Return the queued requests that are expected to start too late.

        They stay in the queue until cancelled.
        """
        hopeless: list[SlotRequest] = []
        for index, (_, slot_request) in enumerate(self._queued):
            starts_at = now + self._wait_behind(index - len(hopeless), now)
            if starts_at > self._latest_start(slot_request, now):
                hopeless.append(slot_request)
        return hopeless

    def find_displaced(
        self, slot_request: SlotRequest, now: float
    ) -> SlotRequest | None:
        """Return a less important request that a newly queued one displaces, or None.

        While the upstream names a limit, the last request of the queue is displaced if
        it is now expected to start too late. It stays in the queue until cancelled.
        """
        if self.pacer is None or not self._queued:
            return None
        last = self._queued[-1][1]
        if last.importance_class <= slot_request.importance_class:
            return None
        starts_at = now + self._wait_behind(len(self._queued) - 1, now)
        return last if starts_at > self._latest_start(last, now) else None

    def next_start_at(self, now: float) -> float | None:
        """Return when the pacer allows the next queued request; None if it does now.

        None also without a pacer, a queued request or a free slot.
        """
        if self.pacer is None or not self.waiting or self.running >= self.limit:
            return None
        wait_s = self.pacer.wait_s(0, now)
        return now + max(wait_s, MIN_START_DELAY_S) if wait_s > 0.0 else None

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
            del self._queued[bisect_left(self._queued, (slot_request.queue_key,))]

    @property
    def stale_after_s(self) -> float:
        """Run time after which the response is assumed to be lost, in seconds."""
        return max(MIN_STALE_AFTER_S, STALE_RUN_TIMES * self.mean_s)

    def release(self, elapsed_s: float | None, *, sent: bool = True) -> None:
        """Release the slot of a run.

        Args:
            elapsed_s: Time that the slot was held, in seconds; None if it should not
                count towards the mean, as the run did not end with a usable response.
            sent: Whether the request was sent to the upstream.

        """
        self.running -= 1
        if not sent and self.pacer is not None:
            self.pacer.give_back()
        if elapsed_s is not None:
            self.record_run_time(elapsed_s)

    def record_run_time(self, elapsed_s: float) -> None:
        """Include a run time in the moving average.

        Called directly only for a run whose slot was released before it ended.
        """
        if self.has_run_time:
            self.mean_s += RUN_TIME_EWMA_WEIGHT * (elapsed_s - self.mean_s)
        else:
            self.mean_s = elapsed_s
            self.has_run_time = True

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
        Slots gained as the limit recovers are filled when it is next called. Returns
        None if no slot is free or no request is left.
        """
        self._recover_limit(now)
        if self.running >= self.limit or not self._take_token(now):
            return None
        slot_request = self._pop_next(now)
        if slot_request is not None:
            self.cancel(slot_request)
            self.running += 1
        elif self.pacer is not None:
            self.pacer.give_back()
        return slot_request

    def _pop_next(self, now: float) -> SlotRequest | None:
        """Remove and return the next request that has not expired, or None."""
        while self._on_time:
            key, slot_request = heapq.heappop(self._on_time)
            if not slot_request.waiting:
                continue
            if slot_request.start_by >= now:
                return slot_request
            heapq.heappush(self._late, (slot_request.expires_at, key[2], slot_request))
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
