"""Lets requests wait for a slot of the upstream, and starts them in their order."""

from __future__ import annotations

import asyncio

from lavenderway_relay.concurrency import ConcurrencyLimiter, SlotDecision, SlotRequest


class SlotQueue:
    """The tasks that wait for a slot.

    Args:
        loop: The event loop.

    Attributes:
        limiter: Decides which request starts when; replaced only while none waits.

    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.limiter = ConcurrencyLimiter(slots=1, now=loop.time())
        # Slot requests are compared by identity.
        self._waiters: dict[SlotRequest, asyncio.Future[bool]] = {}
        self._start_timer: asyncio.TimerHandle | None = None

    async def wait(self, slot_request: SlotRequest, now: float) -> bool:
        """Wait for a slot; return whether one was obtained."""
        decision = self.limiter.submit(slot_request, now)
        if decision is SlotDecision.START:
            return True
        if decision is SlotDecision.REFUSE:
            return False
        waiter: asyncio.Future[bool] = self._loop.create_future()
        self._waiters[slot_request] = waiter
        displaced = self.limiter.find_displaced(slot_request, now)
        if displaced is not None:
            self._expire(displaced)
        self._schedule_start(now)
        timer = self._loop.call_at(slot_request.expires_at, self._expire, slot_request)
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled() and waiter.result():
                self.limiter.release(None, sent=False)
                self.start_waiting()
            raise
        finally:
            timer.cancel()
            self._waiters.pop(slot_request, None)
            self.limiter.cancel(slot_request)

    def start_waiting(self) -> None:
        """Start the requests for which there are slots."""
        now = self._loop.time()
        while (slot_request := self.limiter.start_next(now)) is not None:
            waiter = self._waiters.get(slot_request)
            if waiter is None or waiter.done():
                self.limiter.release(None, sent=False)
            else:
                waiter.set_result(True)
        self._schedule_start(now)

    def refuse_all(self) -> None:
        """Refuse all waiting requests."""
        for slot_request in tuple(self._waiters):
            self._expire(slot_request)

    def apply_limit(self, *, limited: bool) -> None:
        """Follow a change of the pace of the limiter.

        Args:
            limited: Whether there is a pace; requests that it makes too late are
                refused.

        """
        if limited:
            for slot_request in self.limiter.find_hopeless(self._loop.time()):
                self._expire(slot_request)
        if self._start_timer is not None:
            self._start_timer.cancel()
            self._start_timer = None
        self.start_waiting()

    def _expire(self, slot_request: SlotRequest) -> None:
        waiter = self._waiters.get(slot_request)
        if waiter is not None and not waiter.done():
            self.limiter.cancel(slot_request)
            waiter.set_result(False)

    def _schedule_start(self, now: float) -> None:
        """Start the next waiting request when the limit allows it."""
        start_at = self.limiter.next_start_at(now)
        if start_at is None or self._start_timer is not None:
            return
        self._start_timer = self._loop.call_at(start_at, self._start_delayed)

    def _start_delayed(self) -> None:
        self._start_timer = None
        self.start_waiting()
