"""Feeds answers of hosts back into load balancing, admission and timeouts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_relay.attempt_timeout import AttemptTimeout
from lavenderway_relay.hops import Outcome

if TYPE_CHECKING:
    import asyncio

    from lavenderway_core.ids import RouteId, ServiceId

    from lavenderway_relay.hops import HopAnswer
    from lavenderway_relay.hosting import Hosted
    from lavenderway_relay.model import HostRecord
    from lavenderway_relay.request_context import RequestContext
    from lavenderway_relay.state import NodeState

MIN_RUN_TIME_S = 0.001  # a host may report a mean run time of zero
SERVER_ERROR_STATUSES = range(500, 600)


class AnswerFeedback:
    """Records the loads, admission levels, call trees and answer times of answers.

    Args:
        state: State of the node.
        loop: Event loop that supplies the time.

    """

    def __init__(self, *, state: NodeState, loop: asyncio.AbstractEventLoop) -> None:
        self._state = state
        self._loop = loop
        self._timeouts: dict[tuple[RouteId, ServiceId], AttemptTimeout] = {}

    def timeout_of(self, route: RouteId, service: ServiceId) -> AttemptTimeout:
        """Return the attempt timeout of a route and service."""
        key = (route, service)
        attempt_timeout = self._timeouts.get(key)
        if attempt_timeout is None:
            attempt_timeout = self._timeouts[key] = AttemptTimeout()
        return attempt_timeout

    def record_answer(
        self, context: RequestContext, record: HostRecord, hosted: Hosted
    ) -> None:
        """Record the answer of a host to a request."""
        state = self._state
        answer = hosted.answer
        now = self._loop.time()
        if not answer.reported:
            return
        state.placement.report(
            record.host, load=answer.load, mean_s=answer.mean_s, now=now
        )
        if answer.outcome in (Outcome.ABSENT, Outcome.STOPPING):
            state.placement.record_absence(record.host, now)
        failed = answer.outcome in (Outcome.REJECTED, Outcome.UNKNOWN)
        if (
            hosted.response is not None
            and hosted.response.status in SERVER_ERROR_STATUSES
        ):
            # The error of a request that made calls may be due to a called service.
            failed = not answer.calls
        state.placement.record_outcome(record.host, failed=failed, now=now)
        self._record_levels(context.service, record, answer, now)
        if answer.outcome is Outcome.ANSWERED:
            self._record_answer_time(context, now)
            state.admission.update_call_tree(
                context.route.id, context.service, answer.calls
            )
        parent = context.parent
        if parent is not None:
            if answer.arrived:
                parent.add_call(context.service, answer.calls)
            parent.call_refused = (
                parent.call_refused
                or answer.call_refused
                or answer.outcome is Outcome.NO_ROOM
            )

    def _record_answer_time(self, context: RequestContext, now: float) -> None:
        attempt_timeout = self.timeout_of(context.route.id, context.service)
        attempt_timeout.record_answer_time(now - context.sent_at)

    def _record_levels(
        self, service: ServiceId, record: HostRecord, answer: HopAnswer, now: float
    ) -> None:
        admission = self._state.admission
        slots = record.upstream.slots if record.upstream is not None else 1
        capacity_per_s = slots / max(answer.mean_s, MIN_RUN_TIME_S)
        for name, level in answer.levels.items():
            weight = capacity_per_s if name == service else 1.0
            admission.update_level(name, record.host, level, now, weight=weight)
        if service not in answer.levels:
            # A host that reports no level accepts every position. The highest level is
            # recorded for it, so that it counts in the mean over all hosts.
            highest = float(self._state.class_count)
            admission.update_level(
                service, record.host, highest, now, weight=capacity_per_s
            )
