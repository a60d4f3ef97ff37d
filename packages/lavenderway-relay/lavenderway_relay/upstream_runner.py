"""Runs requests at the upstream of this host within its concurrency limit.

The upstream is the service process beside this node. Requests come from entry nodes,
which are the nodes that received them from callers: this node or others. A run lasts
until the complete response, including the calls that the upstream makes meanwhile, and
holds a slot. Times are on the monotonic clock of the event loop, in seconds; the
`target_s` and `deadline_s` of a request are the seconds left when it was sent here.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from lavenderway_relay.admission_level import AdmissionLevel
from lavenderway_relay.concurrency import ConcurrencyLimiter, SlotRequest
from lavenderway_relay.hops import HopResponse, Outcome, UpstreamResult
from lavenderway_relay.learned_limit import LearnedLimit
from lavenderway_relay.messages import (
    Request,
    Response,
    encode_request_parts,
    strip_headers,
)
from lavenderway_relay.model import UpstreamStatus
from lavenderway_relay.named_limit import NamedLimit
from lavenderway_relay.pools import (
    MAX_IDLE_S,
    ConnectError,
    ConnectionBrokenError,
    ConnectionPool,
    ResponseLimitError,
)
from lavenderway_relay.response_classifier import (
    MISDIRECTED_STATUS,
    ResponseKind,
    classify_response,
)
from lavenderway_relay.running_requests import RunningRequest
from lavenderway_relay.slot_queue import SlotQueue
from lavenderway_relay.upstream_limit import UpstreamLimit, pace, report_run_time
from lavenderway_relay.upstream_notices import (
    NoticeFormatError,
    UpstreamNotice,
    read_leaving,
    read_limit,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_core.ids import ServiceId

    from lavenderway_relay.hops import HopRequest
    from lavenderway_relay.model import Upstream
    from lavenderway_relay.state import NodeState

# The upstream runs on the same host; a longer delay means that it is not listening.
CONNECT_TIMEOUT_S = 1.0
UNACKNOWLEDGED_TIMEOUT_MS = 500  # data on the same host is acknowledged sooner
FULL_LOAD_LAG_S = 0.05  # event loop lag that counts as full load
INITIAL_BACKOFF_S = 0.2  # first pause after a failed connection to the upstream
# Longest pause; bounds the time until a recovered upstream is noticed, provided that
# requests arrive.
MAX_BACKOFF_S = 1.0
# Idle limit of a connection used for a request that may run only once. Some upstreams
# silently drop connections that have been idle for 0.3 s.
AT_MOST_ONCE_MAX_IDLE_S = 0.2
MIN_TIME_LEFT_S = 0.002  # a request with less time left is not sent
# Time after the deadline at which a run ends if the entry node has not cancelled it.
CANCELLATION_MARGIN_S = 0.25
MAX_REPORTED_WAIT_S = 60.0  # longer waits all mean that no request is taken soon


class _Slot:
    """Slot held by a run.

    Attributes:
        released: Whether the slot was released before the run ended, because the
            response is overdue.

    """

    __slots__ = ("released",)

    def __init__(self) -> None:
        self.released = False


class UpstreamRunner:
    """Queues requests and runs them at the upstream of this host.

    Args:
        state: State of the node.
        loop: The event loop.

    Attributes:
        stopping: Set by the node when it stops; new requests are then refused, and
            queued ones still run.
        on_leaving: Called when a response says that the upstream is leaving.

    """

    def __init__(self, *, state: NodeState, loop: asyncio.AbstractEventLoop) -> None:
        now = loop.time()
        self._state = state
        self._loop = loop
        self._queue = SlotQueue(loop=loop)
        self._admission_level = AdmissionLevel(classes=state.class_count, now=now)
        self._overdue = 0  # runs in progress whose slots were released as stale
        self._upstream: Upstream | None = None
        self._unreachable_until = now
        self._backoff_s = INITIAL_BACKOFF_S
        self._pool = self._open_pool()
        self._limit = UpstreamLimit()
        self._learned = LearnedLimit(slots=1, now=now)
        self.stopping = False
        self.on_leaving: Callable[[], None] = lambda: None

    @property
    def _limiter(self) -> ConcurrencyLimiter:
        return self._queue.limiter

    @property
    def busy(self) -> bool:
        """Whether requests are running or queued."""
        return self._limiter.running + self._limiter.waiting + self._overdue > 0

    @property
    def load(self) -> float:
        """Load of the slots or of the event loop, whichever is higher; 1.0 is full."""
        load = self._limiter.load(self._loop.time())
        return max(load, self._state.lag_s / FULL_LOAD_LAG_S)

    @property
    def level(self) -> float:
        """Admission level, from the demand of root requests and calls.

        Entry nodes, to which it is published, refuse root requests at or above it.
        """
        return self._admission_level.level

    @property
    def limit_per_s(self) -> float:
        """Requests per second that the upstream takes; 0.0 without a limit."""
        pacer = self._limiter.pacer
        return 0.0 if pacer is None else pacer.per_s

    @property
    def learned_limit(self) -> float:
        """Requests that the upstream has been found to take well at once."""
        return self._learned.limit

    @property
    def cold(self) -> bool:
        """Whether the upstream is cold and therefore limited."""
        cold_per_s = self._state.cold_per_s
        return self._limit.warmup.limit_per_s(cold_per_s, self._loop.time()) is not None

    def record_warmup(self, left_s: float) -> None:
        """Follow what the upstream announces about its warm-up.

        Args:
            left_s: Time for which it stays cold, in seconds; 0.0 if it is warm.

        """
        self._limit.warmup.announce(left_s, self._loop.time())
        self._apply_limit()

    def apply_evacuation(self) -> None:
        """Refuse what is queued, or begin again carefully after an evacuation."""
        if self._state.evacuated:
            self._queue.refuse_all()
        else:
            self._limit.warmup.suspect()
            self._apply_limit()

    def _limit_per_s(self) -> float | None:
        return self._limit.per_s(self._state.cold_per_s, self._loop.time())

    def apply_announcement(self) -> None:
        """Apply the latest announcement of the upstream.

        A new process or slot count resets the limiter if no request runs or is queued;
        otherwise only the slot count is changed. For a new process, the limit that the
        former one named ends, idle connections are closed and the back-off pause ends,
        but the length of the next pause is kept until a response arrives. If the
        upstream no longer accepts requests, the queued ones are refused. If there is no
        upstream, new requests are refused, and queued ones once they get a slot.
        """
        known, self._upstream = self._upstream, self._state.local_upstream.current
        upstream = self._upstream
        if upstream is None:
            return
        process = (upstream.id, upstream.started_ms)
        is_new = known is None or (known.id, known.started_ms) != process
        if is_new:
            self._limit.named = NamedLimit()
            self._apply_limit()
        if is_new or known is None or known.slots != upstream.slots:
            self._learned = LearnedLimit(slots=upstream.slots, now=self._loop.time())
            self._limiter.ceiling = self._learned.limit
        if known is None or known.id != upstream.id or known.slots != upstream.slots:
            running, waiting = self._limiter.running, self._limiter.waiting
            if not running and not waiting:
                self._queue.limiter = ConcurrencyLimiter(
                    slots=upstream.slots, now=self._loop.time()
                )
                self._apply_limit()
            else:
                self._limiter.slots = upstream.slots
        if known is not None and known.id != upstream.id:
            self._pool.close()
            self._unreachable_until = self._loop.time()
        if not self._state.accepts_requests:
            self._queue.refuse_all()

    def tick(self, now: float) -> None:
        """Update the admission level, and the limit of a cold upstream."""
        if self._limiter.pacer is not None or self.cold:
            self._apply_limit()
        self._update_learned_limit(now)
        self._admission_level.set_class_count(self._state.class_count)
        before = self.level
        self._admission_level.tick(
            now,
            waiting=self._limiter.waiting,
            limit=self._limiter.concurrency,
            mean_s=self._limiter.mean_s,
        )
        if self.level < before:
            self._state.log.state(
                "level.lowered",
                now,
                level=round(self.level, 3),
                before=round(before, 3),
                demand=round(self._admission_level.demand, 3),
                mean_ms=round(self._limiter.mean_s * 1e3, 1),
            )

    def _update_learned_limit(self, now: float) -> None:
        """Follow the concurrency that the upstream has been found to take well."""
        if not self._state.settings.learns_capacity:
            self._limiter.ceiling = float(self._limiter.slots)
            return
        if not self._learned.update(now, waiting=self._limiter.waiting > 0):
            return
        self._limiter.ceiling = self._learned.limit
        self._state.log.state(
            "upstream.learned_limit",
            now,
            upstream=self._upstream.id if self._upstream else None,
            limit=round(self._learned.limit, 1),
            phase=self._learned.phase.value,
        )
        self._queue.start_waiting()

    def close_idle(self, now: float) -> None:
        """Close connections to the upstream that have been idle for too long."""
        self._pool.close_idle(now)

    async def run(self, request: Request, hop_request: HopRequest) -> UpstreamResult:
        """Run a request at the upstream once a slot is free, or refuse it."""
        upstream = self._upstream
        if self.stopping:
            return self._refused(Outcome.STOPPING)
        if upstream is None or not self._state.accepts_requests:
            return self._refused(Outcome.ABSENT)
        if upstream.service != hop_request.service:
            return self._refused(Outcome.ABSENT)
        received = self._loop.time()
        if received < self._unreachable_until:
            return self._refused(Outcome.ABSENT)
        if hop_request.notice is not None:
            self._restore_limit(hop_request.notice, received)
        deadline = received + hop_request.deadline_s
        slot_request = self._make_slot_request(hop_request, received)
        if not hop_request.may_wait and self._limiter.is_busy(
            slot_request.start_by,
            received,
            importance_class=slot_request.importance_class,
        ):
            return self._refused(Outcome.BUSY, slot_request)
        self._admission_level.record_arrival(hop_request.position, received)
        if not await self._wait_for_slot(slot_request, received):
            # A queued request is refused if the upstream stops accepting requests.
            upstream_gone = not self._state.accepts_requests
            outcome = Outcome.ABSENT if upstream_gone else Outcome.NO_ROOM
            return self._refused(outcome, slot_request)
        started = self._loop.time()
        elapsed_s: float | None = None
        sent = False
        slot = _Slot()
        timer = self._loop.call_later(
            self._limiter.stale_after_s, self._release_stale_slot, slot
        )
        try:
            upstream = self._upstream
            if upstream is None or not self._state.accepts_requests:
                return self._refused(Outcome.ABSENT)
            if deadline - started < MIN_TIME_LEFT_S:
                return self._refused(Outcome.NO_ROOM)
            sent = True
            result = await self._execute(request, hop_request, upstream, deadline)
            if result.hop_response.outcome is Outcome.ANSWERED:
                elapsed_s = self._loop.time() - started
            elif result.hop_response.outcome is Outcome.REJECTED:
                self._limiter.record_rejection(self._loop.time())
            return result
        finally:
            timer.cancel()
            if slot.released:
                self._overdue -= 1
                if elapsed_s is not None:
                    self._limiter.record_run_time(elapsed_s)
            else:
                self._limiter.release(elapsed_s, sent=sent)
            self._queue.start_waiting()

    def _release_stale_slot(self, slot: _Slot) -> None:
        """Release the slot of a run that has most likely lost its response.

        Designed for upstreams that lose responses. Such an upstream has finished the
        request, whose slot would otherwise stay occupied until the entry node cancels
        the request at its deadline. At most as many runs as the upstream has slots may
        be overdue; the slots of further ones are kept.
        """
        if self._overdue >= self._limiter.slots:
            return
        slot.released = True
        self._overdue += 1
        self._limiter.release(None)
        self._queue.start_waiting()

    def _make_slot_request(self, hop_request: HopRequest, now: float) -> SlotRequest:
        mean_s = self._limiter.mean_s
        # The mean run time, but at most half of the time left, is kept for the run.
        # `start_by` orders the queue, and a root request expected to start later is
        # refused on arrival; of the two, only `expires_at` ends the wait.
        latest_start = (
            now + hop_request.deadline_s - min(mean_s, hop_request.deadline_s / 2)
        )
        return SlotRequest(
            start_by=min(latest_start, now + max(hop_request.target_s - mean_s, 0.0)),
            expires_at=latest_start,
            call=hop_request.call,
            importance_class=int(hop_request.position),
        )

    async def _wait_for_slot(self, slot_request: SlotRequest, now: float) -> bool:
        """Wait for a slot; return whether one was obtained."""
        return await self._queue.wait(slot_request, now)

    async def _execute(
        self,
        request: Request,
        hop_request: HopRequest,
        upstream: Upstream,
        deadline: float,
    ) -> UpstreamResult:
        header_names = self._state.header_names
        request_id = request.header(header_names.request_id) or b""
        now = self._loop.time()
        concurrency = self._limiter.running
        # The target counts from here, after the wait for a slot.
        running = RunningRequest(
            position=hop_request.position,
            workspace=hop_request.workspace,
            target_at=now + hop_request.target_s,
            retry=hop_request.retry,
        )
        data = encode_request_parts(
            self._upstream_request(request, hop_request, upstream, deadline - now)
        )
        running = self._state.running_requests.begin(request_id, running)
        try:
            async with asyncio.timeout_at(deadline + CANCELLATION_MARGIN_S):
                response = await self._pool.exchange(
                    upstream.address,
                    data,
                    expected_id=request_id,
                    max_idle_s=MAX_IDLE_S
                    if hop_request.idempotent
                    else AT_MOST_ONCE_MAX_IDLE_S,
                )
        except ConnectError as error:
            self._back_off(self._loop.time())
            self._limit.warmup.suspect()
            self._apply_limit()
            self._log_failure("upstream.unreachable", request_id, error)
            return self._refused(Outcome.ABSENT)
        except ResponseLimitError as error:
            self._log_failure(f"upstream.{error.limit.value}", request_id, error)
            return self._build_result(Outcome.UNKNOWN, None, running, arrived=True)
        except TimeoutError:
            self._log_failure("upstream.overdue", request_id, None)
            return self._build_result(Outcome.UNKNOWN, None, running, arrived=True)
        except ConnectionBrokenError as error:
            self._log_failure("upstream.broken", request_id, error)
            return self._build_result(Outcome.UNKNOWN, None, running, arrived=True)
        finally:
            self._state.running_requests.end(request_id)
        self._backoff_s = INITIAL_BACKOFF_S
        self._apply_notices(response, request_id, upstream, sent_at=now)
        kind = classify_response(response, request_id, header_names)
        outcome = _OUTCOME_BY_KIND[kind]
        if outcome is not Outcome.ANSWERED:
            self._log_failure(f"upstream.{kind.value}", request_id, response.status)
            return self._build_result(outcome, None, running, arrived=True)
        ended = self._loop.time()
        if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            own_s = ended - now - running.waited_s(ended)
            self._learned.record_run(
                own_s, concurrency=concurrency, kind=hop_request.call
            )
        return self._build_result(outcome, response, running, arrived=True)

    def _apply_notices(
        self,
        response: Response,
        request_id: bytes,
        upstream: Upstream,
        *,
        sent_at: float,
    ) -> None:
        """Follow what the upstream says of itself in the headers of a response.

        Ignores the responses of another upstream, of a former process, and to another
        request, which may be late.
        """
        state = self._state
        header_names = state.header_names
        current = self._upstream
        answered_id = response.header(header_names.request_id)
        if (
            response.status == MISDIRECTED_STATUS
            or (answered_id is not None and answered_id != request_id)
            or current is None
            or (current.id, current.started_ms) != (upstream.id, upstream.started_ms)
        ):
            return
        try:
            limit_per_s = read_limit(response.headers, header_names.limit)
            now = self._loop.time()
            if self._limit.named.record_response(limit_per_s, sent_at=sent_at, now=now):
                self._apply_limit()
        except NoticeFormatError as error:
            self._log_failure("upstream.notice_malformed", request_id, error)
        try:
            leaving = read_leaving(response.headers, header_names.leaving)
        except NoticeFormatError as error:
            self._log_failure("upstream.notice_malformed", request_id, error)
            return
        if leaving and state.local_upstream.record_leaving(
            upstream.id, upstream.started_ms
        ):
            state.log.state("upstream.leaving", self._loop.time(), upstream=upstream.id)
            self.apply_announcement()
            self.on_leaving()

    def _restore_limit(self, notice: UpstreamNotice, now: float) -> None:
        """Follow a limit named before this node started, as another node knows it."""
        if (
            notice.limit_per_s is not None
            and notice.is_about(self._upstream)
            and self._limit.named.restore(notice.limit_per_s, now)
        ):
            self._apply_limit()

    def _apply_limit(self) -> None:
        """Pace the requests by the limit in force, or no longer."""
        now = self._loop.time()
        per_s = self._limit_per_s()
        limiter = self._limiter
        if not pace(limiter, per_s, now):
            return
        self._state.log.state(
            "upstream.limit_changed",
            now,
            upstream=self._upstream.id if self._upstream else None,
            limit_per_s=per_s,
            cold=self.cold,
            running=limiter.running,
            waiting=limiter.waiting,
        )
        self._queue.apply_limit(limited=per_s is not None)

    def _back_off(self, now: float) -> None:
        """Refuse requests for a while after a failed connection to the upstream."""
        if now >= self._unreachable_until:
            self._unreachable_until = now + self._backoff_s
            self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)

    def _upstream_request(
        self,
        request: Request,
        hop_request: HopRequest,
        upstream: Upstream,
        time_left_s: float,
    ) -> Request:
        """Return the request with the headers that the upstream expects."""
        header_names = self._state.header_names
        headers = strip_headers(request.headers, header_names.removed)
        headers.append(
            (header_names.deadline_ms, b"%d" % max(1, int(time_left_s * 1e3)))
        )
        headers.append((header_names.expected_upstream, upstream.id.encode()))
        headers.append(
            (header_names.caller_service, hop_request.caller_service.encode())
        )
        if hop_request.workspace is not None:
            headers.append((header_names.workspace, hop_request.workspace.encode()))
        return Request(request.method, request.target, headers, request.body)

    def refuse_for_memory(self) -> HopResponse:
        """Return the outcome of a request that this node has no memory for."""
        return self._refused(Outcome.NO_ROOM).hop_response

    def _refused(
        self, outcome: Outcome, slot_request: SlotRequest | None = None
    ) -> UpstreamResult:
        return self._build_result(
            outcome, None, None, arrived=False, slot_request=slot_request
        )

    def _build_result(
        self,
        outcome: Outcome,
        response: Response | None,
        running: RunningRequest | None,
        *,
        arrived: bool,
        slot_request: SlotRequest | None = None,
    ) -> UpstreamResult:
        """Return a result with the present state of this node.

        Args:
            outcome: Outcome of the request.
            response: Response of the upstream, if it is usable.
            running: The run, with its calls counted by service; None if there was none.
            arrived: Whether the upstream may have received the request.
            slot_request: The request, if it was refused for lack of room.

        """
        state = self._state
        levels: dict[ServiceId, float] = {}
        if self._upstream is not None and self._admission_level.should_publish(
            self._loop.time()
        ):
            levels[self._upstream.service] = self._admission_level.level
        calls: dict[ServiceId, float] = {}
        if running is not None:
            calls = running.calls
            for service in calls:
                level = state.admission.service_level(service, self._loop.time())
                if level is not None and service not in levels:
                    levels[service] = level
        hop_response = HopResponse(
            outcome,
            arrived,
            self.load,
            report_run_time(self._limiter),
            running is not None and running.call_refused,
            levels,
            calls,
            state.config_version,
            state.host_registry.revision,
            notice=self._build_notice(slot_request),
        )
        return UpstreamResult(hop_response, response)

    def _build_notice(self, slot_request: SlotRequest | None) -> UpstreamNotice | None:
        """Return what the upstream has said of itself, or None if nothing."""
        upstream = self._upstream
        limit_per_s = self._limit_per_s()
        if upstream is None:
            return None
        leaving = upstream.status is UpstreamStatus.LEAVING
        if limit_per_s is None and not leaving:
            return None
        wait_s = 0.0
        if slot_request is not None:
            wait_s = self._limiter.predict_wait(
                slot_request.start_by,
                self._loop.time(),
                importance_class=slot_request.importance_class,
            )
        return UpstreamNotice(
            upstream.id,
            upstream.started_ms,
            limit_per_s,
            leaving,
            min(wait_s, MAX_REPORTED_WAIT_S),
        )

    def _log_failure(self, event: str, request_id: bytes, detail: object) -> None:
        self._state.metrics.count("upstream_failures", event=event)
        self._state.log.failure(
            event,
            self._loop.time(),
            request=request_id,
            upstream=self._upstream.id if self._upstream else None,
            detail=str(detail),
        )

    def _open_pool(self) -> ConnectionPool:
        return ConnectionPool(
            loop=self._loop,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            unacknowledged_timeout_ms=UNACKNOWLEDGED_TIMEOUT_MS,
            reads_late=True,
            id_header=self._state.header_names.request_id,
            budget=self._state.response_budget,
        )


_OUTCOME_BY_KIND = {
    ResponseKind.USABLE: Outcome.ANSWERED,
    ResponseKind.REJECTED: Outcome.REJECTED,
    ResponseKind.MISDIRECTED: Outcome.ABSENT,
    ResponseKind.UNUSABLE: Outcome.UNKNOWN,
}
