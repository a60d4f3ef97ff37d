"""Feeds responses of hosts back into load balancing, admission and timeouts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_relay.attempt_timeout import AttemptTimeout
from lavenderway_relay.hops import Outcome

if TYPE_CHECKING:
    import asyncio

    from lavenderway_core.ids import HostId, RouteId, ServiceId

    from lavenderway_relay.hops import HopResponse, UpstreamResult
    from lavenderway_relay.model import HostRecord
    from lavenderway_relay.request_context import RequestContext
    from lavenderway_relay.state import NodeState

MIN_RUN_TIME_S = 0.001  # a host may report a mean run time of zero
SERVER_ERROR_STATUSES = range(500, 600)


class ResponseFeedback:
    """Records the loads, admission levels, call trees and response times of responses.

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

    def record_response(
        self,
        context: RequestContext,
        record: HostRecord,
        upstream_result: UpstreamResult,
    ) -> None:
        """Record the response of a host to a request."""
        state = self._state
        hop_response = upstream_result.hop_response
        now = self._loop.time()
        if not hop_response.reported:
            return
        limit_per_s = self._record_notice(record.host, hop_response, now)
        state.load_balancer.record_report(
            record.host,
            load=hop_response.load,
            mean_s=hop_response.mean_s,
            now=now,
            limit_per_s=limit_per_s,
        )
        if hop_response.outcome in (Outcome.ABSENT, Outcome.STOPPING):
            state.load_balancer.record_absence(record.host, now)
        failed = hop_response.outcome in (Outcome.REJECTED, Outcome.UNKNOWN)
        if (
            upstream_result.response is not None
            and upstream_result.response.status in SERVER_ERROR_STATUSES
        ):
            # The error of a request that made calls may be due to a called service.
            failed = not hop_response.calls
        state.load_balancer.record_outcome(record.host, failed=failed, now=now)
        self._record_levels(context.service, record, hop_response, limit_per_s, now)
        if hop_response.outcome is Outcome.ANSWERED:
            self._record_response_time(context, now)
            state.admission.update_call_tree(
                context.route.id, context.service, hop_response.calls
            )
        parent = context.parent
        if parent is not None:
            if hop_response.arrived:
                parent.add_call(context.service, hop_response.calls)
            parent.call_refused = (
                parent.call_refused
                or hop_response.call_refused
                or hop_response.outcome is Outcome.NO_ROOM
            )

    def _record_notice(
        self, host: HostId, hop_response: HopResponse, now: float
    ) -> float | None:
        """Record what an upstream says of itself; return the limit that it names.

        Done before the caller gets the response, from which on this node is bound. A
        node that has restarted may refuse a request before it knows of the limit; only
        a response of the upstream ends it.
        """
        state = self._state
        notice = hop_response.notice
        if notice is None:
            if hop_response.outcome is Outcome.ANSWERED:
                state.upstream_notices.pop(host, None)
            known = state.upstream_notices.get(host)
            return None if known is None else known.limit_per_s
        state.upstream_notices[host] = notice
        if notice.leaving and state.host_registry.record_leaving(
            host, notice.started_ms
        ):
            state.log.state(
                "peer.upstream_leaving", now, peer=host, upstream=notice.upstream
            )
        return notice.limit_per_s

    def _record_response_time(self, context: RequestContext, now: float) -> None:
        attempt_timeout = self.timeout_of(context.route.id, context.service)
        attempt_timeout.record_response_time(now - context.sent_at)

    def _record_levels(
        self,
        service: ServiceId,
        record: HostRecord,
        hop_response: HopResponse,
        limit_per_s: float | None,
        now: float,
    ) -> None:
        admission = self._state.admission
        slots = record.upstream.slots if record.upstream is not None else 1
        capacity_per_s = slots / max(hop_response.mean_s, MIN_RUN_TIME_S)
        if limit_per_s is not None:
            capacity_per_s = min(capacity_per_s, limit_per_s)
        levels = hop_response.levels
        if levels:
            admission.record_shortage(now)
        if limit_per_s is not None and self._state.load_balancer.has_unlimited_room(
            service, now
        ):
            # The service as a whole is not overloaded while other hosts have room.
            levels = {name: levels[name] for name in levels if name != service}
        for name, level in levels.items():
            weight = capacity_per_s if name == service else 1.0
            admission.update_level(name, record.host, level, now, weight=weight)
        if service not in levels:
            # A host that reports no level accepts every position. The highest level is
            # recorded for it, so that it counts in the mean over all hosts.
            highest = float(self._state.class_count)
            admission.update_level(
                service, record.host, highest, now, weight=capacity_per_s
            )
