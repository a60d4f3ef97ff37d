"""Serves callers: applies quotas and admission, and routes requests with retries.

Each host runs one upstream, a process of one service, and a node beside it; a service
has upstreams on many hosts. Callers are clients outside the fleet, which send root
requests, and the upstream of this host, which sends calls while it runs another
request. The node that receives a request is its entry node: it sends the request to the
node of a chosen host (a peer, or itself), which runs it at its upstream.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest

from lavenderway_relay.exit_admission import ends_before_exit
from lavenderway_relay.feedback import SERVER_ERROR_STATUSES, ResponseFeedback
from lavenderway_relay.hops import (
    HOP_HEADER,
    HopRequest,
    HopResponse,
    Outcome,
    UpstreamResult,
)
from lavenderway_relay.logs import EventKind
from lavenderway_relay.messages import (
    NOT_FORWARDED_HEADERS,
    Request,
    Response,
    strip_headers,
)
from lavenderway_relay.peer_client import BORROW_TIMEOUT_S
from lavenderway_relay.refusals import Refusal, refuse
from lavenderway_relay.request_context import Attempt, RequestContext
from lavenderway_relay.requests_in_progress import RequestsInProgress
from lavenderway_relay.retry_budget import RetryBudget, RetryBudgets
from lavenderway_relay.revision import NO_REVISION
from lavenderway_relay.slot_search import SlotSearch

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_core.ids import HostId, ServiceId, WorkspaceId

    from lavenderway_relay.model import HostRecord, Route
    from lavenderway_relay.peer_client import PeerClient
    from lavenderway_relay.routing import RouteTable
    from lavenderway_relay.state import NodeState
    from lavenderway_relay.upstream_notices import UpstreamNotice

# Hosts per request that may refuse it, respond with a retriable error or leave its
# outcome unknown; then no further host is tried. Hosts whose upstream rejected it, or
# whose attempt timed out, do not count. Refused means by a node, rejected by an
# upstream; in both cases the request has not run.
MAX_TRIED_HOSTS = 4
# Hosts per request that may refuse it for lack of room. If two have none, others rarely
# have any, and each refusal costs the processor time of a hop.
MAX_FULL_HOSTS = 2
# Attempts per request that may have reached an upstream, rejections included.
MAX_UPSTREAM_ATTEMPTS = 4
# Delay after which a refused caller may retry, in seconds, like the next three. A
# change of the host registry propagates within this time.
NO_UPSTREAM_RETRY_AFTER_S = 0.5
NO_ROOM_RETRY_AFTER_S = 0.5  # a full queue drains within this time
NO_CONFIGURATION_RETRY_AFTER_S = 0.5
STOPPING_RETRY_AFTER_S = 1.5  # most nodes have restarted by then
# Bounds of the retry delay of a workspace over its rate, before the jitter. A workspace
# with a low rate rarely has a token sooner than the lower one; the upper one is a third
# of the time that most callers wait for a response.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0
# Result of an attempt that timed out or failed: it may have run. The fields after the
# first two are placeholders; the last, `reported`, is False so that they are ignored.
UNKNOWN_RESULT = UpstreamResult(
    HopResponse(Outcome.UNKNOWN, True, 0.0, 0.0, False, {}, {}, 0, NO_REVISION, False),
    None,
)
_REMOVED_RESPONSE_HEADERS = NOT_FORWARDED_HEADERS | {HOP_HEADER}


class CallerRequestHandler:
    """Serves the callers of this node, including the upstream of its host.

    Args:
        state: State of the node.
        peer_client: Client for the other nodes.
        loop: The event loop.
        random: Returns a random number in [0, 1).

    """

    def __init__(
        self,
        *,
        state: NodeState,
        peer_client: PeerClient,
        loop: asyncio.AbstractEventLoop,
        random: Callable[[], float],
    ) -> None:
        self._state = state
        self._peer_client = peer_client
        self._loop = loop
        self._random = random
        self._retry_budgets = RetryBudgets()
        self._slot_searches: dict[ServiceId, SlotSearch] = {}
        self._feedback = ResponseFeedback(state=state, loop=loop)
        self._in_progress = RequestsInProgress(log=state.log)

    async def serve(self, request: Request) -> Response:
        """Return the response to one request of a caller."""
        try:
            return await self._serve(request)
        except asyncio.CancelledError:
            self._state.metrics.count("requests", outcome="abandoned")
            raise
        # Callers get a response even after an internal error.
        except Exception as error:
            self._state.log.failure(
                "request.fault", self._loop.time(), error=repr(error)
            )
            return refuse(Refusal.FAULT)

    async def _serve(self, request: Request) -> Response:
        now = self._loop.time()
        route_table = self._state.route_table
        if route_table is None:
            retry_after_s = NO_CONFIGURATION_RETRY_AFTER_S
            return self._refuse(
                request, Refusal.NO_CONFIGURATION, retry_after_s=retry_after_s
            )
        route = route_table.find_route(request.header(b"host") or b"", request.target)
        if route is None:
            return self._refuse(request, Refusal.NO_ROUTE)
        request_id = request.header(self._state.header_names.request_id)
        if not request_id:
            return self._refuse(request, Refusal.MALFORMED)
        workspace = route_table.find_workspace(request.header(b"authorization"))
        needs_key = bool(route_table.configuration.workspaces) and not route.public
        if needs_key and workspace is None:
            return self._refuse(request, Refusal.NO_KEY)
        context = self._make_context(
            request, request_id, route_table, route, workspace, now
        )
        if self._is_too_late(context):
            return self._refuse_as_stopping(context)
        # A request that is shed needs no token, for which token owners may be asked.
        refusal = self._check_admission(context)
        if refusal is not None:
            return refusal
        if workspace is not None and not await self._take_token(context):
            wait_s = self._state.quota.retry_after_s(workspace, now)
            retry_after_s = self._jitter(
                min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
            )
            domain = self._state.settings.failure_domain
            token_owners = self._state.token_owners.owners_of(workspace, nearest=domain)
            return self._refuse(
                request,
                Refusal.OVER_RATE,
                context,
                retry_after_s=retry_after_s,
                token_owners=token_owners,
            )
        if self._is_too_late(context):  # the token took time
            self._refund_token(context)
            return self._refuse_as_stopping(context)
        task = asyncio.current_task(self._loop)
        assert task is not None
        self._in_progress.begin(context, task)
        if context.parent is not None:
            context.parent.begin_call(self._loop.time())
        timer = self._loop.call_at(context.deadline, self._in_progress.expire, context)
        try:
            return await self._route_request(context)
        except asyncio.CancelledError:
            # One cancellation may come from the deadline; any other one comes from the
            # caller's connection.
            if not context.expired or task.uncancel() > 0:
                raise
            return self._time_out(context)
        finally:
            timer.cancel()
            for attempt in context.attempts:
                attempt.task.cancel()
            self._in_progress.end(context)
            if context.parent is not None:
                context.parent.end_call(self._loop.time())

    def interrupt(self, now: float, stop_requested_at: float) -> int:
        """End the requests in progress, as the node exits; return their number."""
        return self._in_progress.interrupt(now, stop_requested_at)

    def _is_too_late(self, context: RequestContext) -> bool:
        """Return whether the node exits too early for a request."""
        state = self._state
        if context.parent is None:
            return context.deadline > state.exit_at
        if math.isinf(state.complete_at):
            return False
        route, service = context.route.id, context.service
        now = self._loop.time()
        return not ends_before_exit(
            self._feedback.timeout_of(route, service),
            now,
            deadline=context.deadline,
            complete_at=state.complete_at,
            pending_s=self._in_progress.longest_pending_s(route, service, now),
        )

    def _time_out(self, context: RequestContext) -> Response:
        """Return the response to a request whose time is up.

        The token is refunded only if no attempt is in progress and none may have
        reached an upstream. An attempt that has just been cancelled counts as in
        progress.
        """
        if context.attempts or context.arrivals:
            reason = Refusal.INTERRUPTED if context.interrupted else Refusal.TIMED_OUT
            return self._refuse(context.request, reason, context)
        self._refund_token(context)
        return self._refuse(
            context.request,
            Refusal.EXPIRED,
            context,
            retry_after_s=NO_ROOM_RETRY_AFTER_S,
        )

    def _make_context(
        self,
        request: Request,
        request_id: bytes,
        route_table: RouteTable,
        route: Route,
        workspace: WorkspaceId | None,
        now: float,
    ) -> RequestContext:
        deadline = now + route.timeout_s
        requested_ms = request.header(self._state.header_names.deadline_ms)
        if requested_ms is not None and requested_ms.isdigit():
            deadline = min(deadline, now + int(requested_ms) / 1e3)
        parent = self._state.running_requests.find_parent(request_id)
        own_target_at = target_at = now + route.target_latency_s
        if parent is None:
            # Class 0 is the most important; the highest positions are shed first.
            draw = xxh32_intdigest(request_id) / 2**32
            position = float(route_table.importance_class(route, workspace))
            position += self._state.fair_share.place(
                workspace,
                int(position),
                draw,
                now,
                short=self._state.divides_shortage(now),
            )
        else:
            position = parent.position
            # Calls are queued by the latency target of their root requests. If they
            # were queued by their own targets, all call trees would be delayed alike,
            # and each would fail on one of its calls.
            target_at = max(now, parent.target_at)
        return RequestContext(
            request=request,
            request_id=request_id,
            route=route,
            service=self._state.service_round_robin.pick(route),
            workspace=workspace,
            parent=parent,
            position=position,
            received_at=now,
            target_at=target_at,
            earliest_target_at=min(own_target_at, target_at),
            deadline=deadline,
        )

    async def _take_token(self, context: RequestContext) -> bool:
        """Take a token of the workspace, borrowing if needed; return whether it did.

        Calls that carry the key of a workspace take a token like root requests.
        """
        workspace = context.workspace
        assert workspace is not None
        quota = self._state.quota
        if quota.take(workspace, context.received_at):
            return True
        quota.begin_waiting(workspace)
        try:
            # Other requests may take the borrowed tokens first, so borrow again until
            # the borrowing time is over.
            while (now := self._loop.time()) - context.received_at < BORROW_TIMEOUT_S:
                loan_request = quota.plan_loan(workspace, now)
                if loan_request is None:
                    return False
                await self._peer_client.borrow(loan_request)
                if quota.take_after_loan(workspace, self._loop.time()):
                    return True
        finally:
            quota.end_waiting(workspace)
        return False

    def _refund_token(self, context: RequestContext) -> None:
        if context.workspace is not None:
            self._state.quota.refund(context.workspace)

    def _check_admission(self, context: RequestContext) -> Response | None:
        """Return the refusal if the request is a root that must be shed, or None."""
        if context.parent is not None:
            return None
        decision = self._state.admission.decide(
            context.route.id,
            context.service,
            context.position,
            context.received_at,
            jitter=self._random(),
        )
        if decision.limiting_service is None:
            return None
        self._state.metrics.count(
            "shed",
            service=decision.limiting_service,
            workspace=context.workspace or "-",
        )
        self._state.log.failure(
            "request.shed",
            context.received_at,
            request=context.request_id,
            route=context.route.id,
            workspace=context.workspace,
            position=round(context.position, 3),
            service=decision.limiting_service,
            level=round(decision.level, 3),
        )
        return self._refuse(
            context.request, Refusal.SHED, context, retry_after_s=decision.retry_after_s
        )

    async def _route_request(self, context: RequestContext) -> Response:
        """Try one host after another until one responds or no attempt is left.

        The retry of an attempt that may have reached an upstream is charged and counted
        before a host is chosen for it, even if none is found.
        """
        self._retry_budget(context.service).deposit()
        while True:
            record = self._choose_host(context)
            if record is None or len(context.tried) >= MAX_TRIED_HOSTS:
                return await self._finish_overdue(context)
            upstream_result = await self._send(context, record)
            hop_response = upstream_result.hop_response
            context.last_outcome = hop_response.outcome
            if self._record_search(context, record, hop_response.outcome):
                continue
            if hop_response.outcome is Outcome.ANSWERED:
                response = upstream_result.response
                assert response is not None
                if not self._is_retriable_error(context, response, upstream_result):
                    return self._deliver(context, response)
            # The retry after an attempt timeout is already charged to the budget.
            retry_charged = context.attempt_timed_out
            context.attempt_timed_out = False
            if retry_charged or hop_response.outcome is Outcome.REJECTED:
                context.avoided = record.host
            else:
                context.tried.append(record.host)
            if hop_response.outcome is Outcome.NO_ROOM:
                self._record_full_host(context, hop_response.notice)
                if context.full_hosts >= MAX_FULL_HOSTS:
                    return await self._finish_overdue(context)
            if (
                hop_response.arrived
                and not retry_charged
                and not self._try_charge_retry(context)
            ):
                return await self._finish_overdue(context)
            if hop_response.arrived:
                self._log_retry(context, record)

    def _record_full_host(
        self, context: RequestContext, notice: UpstreamNotice | None
    ) -> None:
        """Record that a host refused the request for lack of room.

        A refusal due to a limit that the upstream names says nothing about hosts that
        have room without one.

        Args:
            context: The request.
            notice: What the upstream of the host says of itself; None if nothing.

        """
        if notice is None or notice.limit_per_s is None:
            context.full_hosts += 1
            return
        wait_s = notice.wait_s
        if context.room_in_s is not None:
            wait_s = min(wait_s, context.room_in_s)
        context.room_in_s = wait_s
        context.full_hosts += not self._state.load_balancer.has_unlimited_room(
            context.service, self._loop.time()
        )

    def _record_search(
        self, context: RequestContext, record: HostRecord, outcome: Outcome
    ) -> bool:
        """Record the result of a search for a free slot; return whether it goes on."""
        if not context.searching:
            return False
        found = outcome is not Outcome.BUSY
        if context.busy:
            self._state.metrics.count("slot_searches", found=str(found).lower())
            self._slot_search(context.service).record_search(
                self._loop.time(), found=found
            )
        if not found:
            context.busy.append(record.host)
        return not found

    def _slot_search(self, service: ServiceId) -> SlotSearch:
        search = self._slot_searches.get(service)
        if search is None:
            search = self._slot_searches[service] = SlotSearch()
        return search

    def _choose_host(self, context: RequestContext) -> HostRecord | None:
        """Return the host to try next, or None.

        While the request looks for a free slot, hosts that were busy are not chosen; if
        no other is reachable, the search ends. Hosts with an overdue attempt, and the
        last one that rejected the request or timed out, are chosen only if there is no
        other; those in `context.tried` are not chosen.
        """
        now = self._loop.time()
        candidates = self._state.host_registry.hosts_of(context.service)
        time_left_s = context.earliest_target_at - now
        choose = self._state.load_balancer.choose
        context.searching = self._slot_search(context.service).may_search(
            now,
            busy_hosts=len(context.busy),
            body_bytes=len(context.request.body),
        )
        overdue = [attempt.record.host for attempt in context.attempts]
        avoided = [] if context.avoided is None else [context.avoided, *overdue]
        if context.searching and context.busy:
            other = choose(
                candidates,
                now,
                excluded=[*context.tried, *avoided, *context.busy],
                time_left_s=time_left_s,
                last_resort=False,
            )
            if other is not None:
                return other
            context.searching = False
        if avoided:
            excluded = [*context.tried, *avoided]
            other = choose(candidates, now, excluded=excluded, time_left_s=time_left_s)
            if other is not None:
                return other
        return choose(candidates, now, excluded=context.tried, time_left_s=time_left_s)

    async def _send(
        self, context: RequestContext, record: HostRecord
    ) -> UpstreamResult:
        now = self._loop.time()
        state = self._state
        hop_request = HopRequest(
            state.settings.host,
            context.service,
            state.settings.service,
            context.workspace,
            context.position,
            context.parent is not None,
            context.arrivals > 0
            or (context.parent is not None and context.parent.retry),
            context.route.idempotent,
            context.target_at - now,
            context.deadline - now,
            state.config_version,
            state.host_registry.revision,
            not context.searching,
            state.upstream_notices.get(record.host),
        )
        attempt = Attempt(
            record=record,
            sent_at=now,
            task=self._loop.create_task(
                self._run_attempt(context, record, hop_request)
            ),
        )
        state.load_balancer.record_sent(record.host)
        attempt.task.add_done_callback(
            lambda _: state.load_balancer.record_done(record.host)
        )
        context.attempts.append(attempt)
        finished = await self._wait_for_response(context, attempt)
        if finished is None:
            state.load_balancer.record_outcome(
                record.host, failed=True, now=self._loop.time()
            )
            self._peer_client.check(record)
            upstream_result = UNKNOWN_RESULT
        else:
            upstream_result = self._take_result(context, finished)
        if finished is attempt or finished is None:
            self._count_attempt(context, upstream_result.hop_response)
        return upstream_result

    async def _wait_for_response(
        self, context: RequestContext, attempt: Attempt
    ) -> Attempt | None:
        """Wait for an attempt, or for a usable response to an overdue one before it.

        Returns:
            The attempt that has finished; None if the last one has timed out.

        """
        timeout_s = self._attempt_timeout_s(context, attempt.sent_at)
        timeout_at = None if timeout_s is None else attempt.sent_at + timeout_s
        while True:
            done = await self._wait_for_attempts(context, timeout_at)
            if attempt in done:
                return attempt
            if not done:
                if self._may_time_out(context):
                    return None
                timeout_at = None
            for overdue in done:
                if self._is_usable(context, overdue.task.result()):
                    return overdue
                self._take_result(context, overdue)

    async def _finish_overdue(self, context: RequestContext) -> Response:
        """Wait for the overdue attempts, as no other host takes the request."""
        while context.attempts:
            for overdue in await self._wait_for_attempts(context, None):
                upstream_result = self._take_result(context, overdue)
                response = upstream_result.response
                if response and self._is_usable(context, upstream_result):
                    return self._deliver(context, response)
        return self._fail_request(context)

    async def _run_attempt(
        self, context: RequestContext, record: HostRecord, hop_request: HopRequest
    ) -> UpstreamResult:
        """Send the request to a host; a fault leaves its outcome unknown."""
        try:
            return await self._peer_client.send(record, context.request, hop_request)
        except Exception as error:  # other attempts may still succeed
            self._state.log.failure(
                "request.fault",
                self._loop.time(),
                request=context.request_id,
                peer=record.host,
                error=repr(error),
            )
            return UNKNOWN_RESULT

    async def _wait_for_attempts(
        self, context: RequestContext, timeout_at: float | None
    ) -> list[Attempt]:
        """Wait until an attempt has finished; return those that have.

        Args:
            context: The request.
            timeout_at: Time at which the wait ends, in seconds; None for no end.

        """
        timeout_s = None if timeout_at is None else timeout_at - self._loop.time()
        await asyncio.wait(
            [attempt.task for attempt in context.attempts],
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return [attempt for attempt in context.attempts if attempt.task.done()]

    def _take_result(self, context: RequestContext, attempt: Attempt) -> UpstreamResult:
        """Return the result of a finished attempt and record its feedback."""
        context.attempts.remove(attempt)
        context.sent_at = attempt.sent_at
        upstream_result = attempt.task.result()
        self._feedback.record_response(context, attempt.record, upstream_result)
        if upstream_result.response is not None and not self._is_usable(
            context, upstream_result
        ):
            context.server_error = upstream_result.response
        return upstream_result

    def _count_attempt(
        self, context: RequestContext, hop_response: HopResponse
    ) -> None:
        """Count an attempt that may have reached, or run at, an upstream.

        A rejected or misdirected request has reached it, but has not run.
        """
        if hop_response.arrived:
            context.arrivals += 1
            context.possible_runs += not hop_response.outcome.not_run

    def _is_usable(
        self, context: RequestContext, upstream_result: UpstreamResult
    ) -> bool:
        response = upstream_result.response
        return response is not None and not self._is_retriable_error(
            context, response, upstream_result
        )

    def _attempt_timeout_s(self, context: RequestContext, now: float) -> float | None:
        """Return the timeout of an attempt; None if the request must not run twice."""
        if not context.route.idempotent:
            return None
        attempt_timeout = self._feedback.timeout_of(context.route.id, context.service)
        return attempt_timeout.timeout_s(context.deadline - now)

    def _may_time_out(self, context: RequestContext) -> bool:
        """Return whether an overdue attempt may be retried at another host.

        Charges the retry to the retry budget. A node that is stopping lets the attempts
        in progress finish.
        """
        state = self._state
        candidates = state.host_registry.hosts_of(context.service)
        excluded = [
            *context.tried,
            *(attempt.record.host for attempt in context.attempts),
        ]
        now = self._loop.time()
        other_has_room = state.load_balancer.has_room(
            candidates, now, excluded=excluded
        )
        if not state.serving or not other_has_room:
            return False
        # For this check, count the attempt as one that reached an upstream and may have
        # run.
        context.arrivals += 1
        context.possible_runs += 1
        context.attempt_timed_out = self._try_charge_retry(context)
        context.arrivals -= 1
        context.possible_runs -= 1
        return context.attempt_timed_out

    def _log_retry(self, context: RequestContext, record: HostRecord) -> None:
        # Metrics and logs name retries "repeats" and "repeated".
        self._state.metrics.count("repeats", service=context.service)
        self._state.log.failure(
            "request.repeated",
            self._loop.time(),
            request=context.request_id,
            route=context.route.id,
            peer=record.host,
            cause=context.last_outcome.log_name if context.last_outcome else None,
            arrivals=context.arrivals,
        )

    def _is_retriable_error(
        self,
        context: RequestContext,
        response: Response,
        upstream_result: UpstreamResult,
    ) -> bool:
        """Return whether a response is a server error that a retry may avoid.

        This excludes the errors of requests that made calls, as a called service may be
        their cause.
        """
        if response.status not in SERVER_ERROR_STATUSES or not context.route.idempotent:
            return False
        return (
            not upstream_result.hop_response.call_refused
            and not upstream_result.hop_response.calls
        )

    def _try_charge_retry(self, context: RequestContext) -> bool:
        """Charge a retry of a request that may have reached an upstream.

        The route's `max_attempts` limits the attempts that may have run.

        Returns:
            Whether the retry is allowed; if so, its cost has been withdrawn from the
            retry budget.

        """
        if context.arrivals >= MAX_UPSTREAM_ATTEMPTS:
            return False
        if context.possible_runs >= context.route.max_attempts:
            return False
        if context.parent is not None and context.parent.retry:
            return False
        if context.last_outcome is Outcome.UNKNOWN and not context.route.idempotent:
            return False
        calls = self._state.admission.expected_calls(context.route.id, context.service)
        return self._retry_budget(context.service).try_withdraw(
            call=context.parent is not None, cost=1.0 + calls
        )

    def _deliver(self, context: RequestContext, response: Response) -> Response:
        """Return the response to the caller, from the response of an upstream."""
        now = self._loop.time()
        elapsed_s = now - context.received_at
        state = self._state
        state.metrics.count_answered()
        state.metrics.observe_latency(
            context.workspace or "-", str(int(context.position)), elapsed_s
        )
        failed = response.status in SERVER_ERROR_STATUSES
        kind = EventKind.FAILURE if failed else EventKind.SUCCESS
        if state.log.allows(kind, "request.answered", now):
            state.log.write(
                "request.answered",
                request=context.request_id,
                route=context.route.id,
                status=response.status,
                hosts=context.tried,
                ms=round(elapsed_s * 1e3, 1),
                config=state.config_version,
            )
        headers = strip_headers(response.headers, _REMOVED_RESPONSE_HEADERS)
        return response._replace(headers=headers, reusable=True)

    def _fail_request(self, context: RequestContext) -> Response:
        """Return the response to a request for which no attempt is left."""
        if context.server_error is not None:
            return self._deliver(context, context.server_error)
        last_outcome = context.last_outcome
        if context.possible_runs:
            return self._refuse(context.request, Refusal.UNKNOWN, context)
        self._refund_token(context)
        if last_outcome in (Outcome.NO_ROOM, Outcome.BUSY, Outcome.REJECTED):
            room_in_s = min(MAX_RETRY_AFTER_S, context.room_in_s or 0.0)
            retry_after_s = self._jitter(max(NO_ROOM_RETRY_AFTER_S, room_in_s))
            reason = Refusal.NO_ROOM
        else:
            retry_after_s = self._jitter(NO_UPSTREAM_RETRY_AFTER_S)
            reason = Refusal.NO_UPSTREAM
        return self._refuse(
            context.request, reason, context, retry_after_s=retry_after_s
        )

    def _refuse(
        self,
        request: Request,
        reason: Refusal,
        context: RequestContext | None = None,
        *,
        retry_after_s: float | None = None,
        token_owners: list[HostId] | None = None,
    ) -> Response:
        state = self._state
        state.metrics.count("requests", outcome=reason.value)
        state.log.failure(
            "request.refused",
            self._loop.time(),
            request=request.header(state.header_names.request_id),
            reason=reason,
            route=context.route.id if context else None,
            workspace=context.workspace if context else None,
            hosts=context.tried if context else None,
            cause=context.last_outcome.log_name
            if context and context.last_outcome
            else None,
            keepers=token_owners,  # the name of token owners in the log
            retry_after_s=retry_after_s,
            config=state.config_version,
        )
        return refuse(reason, retry_after_s=retry_after_s)

    def _refuse_as_stopping(self, context: RequestContext) -> Response:
        """Return a refusal that also ends the caller's connection."""
        retry_after_s = self._jitter(STOPPING_RETRY_AFTER_S)
        response = self._refuse(
            context.request, Refusal.STOPPING, context, retry_after_s=retry_after_s
        )
        return response._replace(reusable=False)

    def _jitter(self, retry_after_s: float) -> float:
        """Return a delay varied by up to half, to spread the retries of callers."""
        return retry_after_s * (0.5 + self._random())

    def _retry_budget(self, service: ServiceId) -> RetryBudget:
        settings = self._state.settings
        return self._retry_budgets.get(
            service,
            ratio=settings.retry_budget_ratio,
            slack=settings.retry_budget_slack,
            # The hosts that may hold tokens stand for all nodes that share the slack.
            hosts=self._state.token_owners.host_count,
        )
