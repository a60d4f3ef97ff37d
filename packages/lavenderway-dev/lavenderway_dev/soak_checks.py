"""Observations of a soak run and the invariants that are checked on them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from lavenderway_dev.loop_stalls import Stall, find_stalls, measure_stalls
from lavenderway_dev.notice_checks import NoticeObservations
from lavenderway_dev.relay_fleet import STOP_GRACE_S

# A response with one of these statuses states that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
RATE_WINDOW_S = 5.0
RATE_TOLERANCE_RATIO = 0.1
RATE_TOLERANCE_REQUESTS = 20.0
DRAIN_GRACE_S = 2.0  # after the acknowledgement; later requests are a violation
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
RETRY_SLACK_REQUESTS = 50.0
LAST_STOP_PERIOD_S = STOP_GRACE_S / 6  # in which long requests may be broken off
LONG_REQUEST_LIMIT_S = 3.0  # after SIGTERM; only earlier requests may be broken off
# Between the last byte of an unread or queued request and the end of its connection.
DROP_SLACK_S = 0.2
# The same for a connection that was reset, as bytes that were never read cause that.
RESET_DROP_SLACK_S = 1.0
TIME_LIMIT_TOLERANCE_S = 0.1
# Between the end of a run and the answer that replaces the response of the upstream.
REPLACED_RESPONSE_S = 0.2


class Invariant(Enum):
    """Invariants of a soak run; the value describes the violation."""

    AT_MOST_ONCE = "a non-idempotent request ran more than once"
    TRUE_REFUSAL = "a request reported as not run has run"
    MATCHING_RESPONSE = "a response does not belong to its request"
    IDENTITY_STRIPPED = "an upstream received a caller's key or another workspace"
    AUTHENTICATED = "a request ran without a valid key"
    ROUTED_SERVICE = "a request ran at a service other than that of its route"
    RATE_LIMIT = "a workspace exceeded its rate and burst"
    DRAINED = "a draining upstream got a new request"
    NAMED_LIMIT = "an upstream got more requests than the limit that it named"
    NAMED_DEPARTURE = "a leaving upstream got a request of a host that it had told"
    RETRY_BUDGET = "retries exceeded the budget of the fleet"
    PLANNED_OPERATION = "a planned operation broke a request"
    NOT_DROPPED = "a planned operation dropped a request that had not run"
    EXITED_IN_TIME = "a node did not exit within its grace period"
    KEPT_RUNNING = "a node ended by itself"
    RECOVERED = "a host did not recover in time"
    CONFIGURED = "a configuration did not take effect in time"
    MEMORY_RETURNED = "a node held memory after all clients had gone"
    EVACUATED = "an upstream of an evacuated failure domain got a request"


class Finding(NamedTuple):
    """A violated invariant and the observation that violates it."""

    invariant: Invariant
    detail: str


@dataclass(kw_only=True)
class ClientRequest:
    """A request of a client and its result.

    Attributes:
        at_most_once: Whether the request is not idempotent.
        deadline_s: Time that the client will wait, in seconds.
        limit_s: Time after which the request may fail, in seconds.
        body_bytes: Size of the response body beyond its first line.
        host: Name of the host whose node received the request.
        behind: Whether an earlier request on the connection was unanswered.
        unread_s: Time for which the client read nothing before the result, in seconds.
        ended_at: When the response or the end of the connection was received; None
            if the client received neither.
        status: Status of the response; None without a complete response.
        connection_broken: Whether the connection broke before the response ended.
        connection_reset: Whether it was reset rather than closed.
        headers: Headers of the response.

    """

    id: str
    path: str
    workspace: str | None
    at_most_once: bool
    sent_at: float
    deadline_s: float = 2.0
    limit_s: float = 2.0
    body_bytes: int = 0
    host: str = ""
    behind: bool = False
    unread_s: float = 0.0
    ended_at: float | None = None
    status: int | None = None
    connection_broken: bool = False
    connection_reset: bool = False
    body: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)


class Execution(NamedTuple):
    """An execution of a request at an upstream.

    Attributes:
        started_at: Time of the event loop, in seconds.
        has_authorization: Whether the request had an authorization header field.

    """

    id: str
    service: str
    upstream: str
    started_at: float
    workspace: str | None
    has_authorization: bool


class RunEnd(NamedTuple):
    """End of an execution; `completed` is False if it was cancelled."""

    at: float
    completed: bool


class Stop(NamedTuple):
    """A SIGTERM to the node of a host."""

    host: str
    at: float


@dataclass(kw_only=True)
class Observations:
    """Requests, executions and findings of one soak run.

    Attributes:
        sent: Requests of all clients, by request ID.
        executions: Executions at all upstreams, in order of time.
        drained_at: Time at which the node acknowledged that an upstream is draining, by
            the name of the upstream.
        run_ends: Ends of executions, by request ID and name of the upstream.
        upstreams_stopped_at: Time at which an upstream ended, by its name.
        upstream_hosts: Host of each upstream, by its name.
        stops: First SIGTERM to each process, in order of time.
        notices: What upstreams said of themselves, and the requests they got.
        stalls: Periods in which the soak itself did not run, in order of time.

    """

    sent: dict[str, ClientRequest] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    drained_at: dict[str, float] = field(default_factory=dict)
    run_ends: dict[tuple[str, str], RunEnd] = field(default_factory=dict)
    upstreams_stopped_at: dict[str, float] = field(default_factory=dict)
    upstream_hosts: dict[str, str] = field(default_factory=dict)
    stops: list[Stop] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)
    notices: NoticeObservations = field(default_factory=NoticeObservations)
    stalls: list[Stall] = field(default_factory=list)

    def record_violation(self, invariant: Invariant, detail: str) -> None:
        """Record a violation of an invariant."""
        self.findings.append(Finding(invariant, detail))

    def check(
        self,
        *,
        services: dict[str, frozenset[str]],
        rates: dict[str, tuple[float, float]],
        planned_only: bool,
    ) -> list[Finding]:
        """Check all invariants; return all findings.

        Args:
            services: Services that may run requests, by path prefix.
            rates: Rate and burst, by workspace.
            planned_only: Whether only planned operations were injected.

        """
        by_id: dict[str, list[Execution]] = defaultdict(list)
        for execution in self.executions:
            by_id[execution.id].append(execution)
        for request_id, sent in self.sent.items():
            executions = by_id.get(request_id, [])
            self._check_request(sent, executions, services)
            if planned_only:
                self._check_planned_operation(sent, executions)
        for execution in self.executions:
            drained_at = self.drained_at.get(execution.upstream)
            if (
                drained_at is not None
                and execution.started_at > drained_at + DRAIN_GRACE_S
            ):
                late_s = execution.started_at - drained_at
                self.record_violation(
                    Invariant.DRAINED,
                    f"{execution.id} at {execution.upstream}, "
                    f"{late_s:.2f} s after the acknowledgement",
                )
        for workspace, (rate_per_s, burst) in rates.items():
            self._check_rate(workspace, rate_per_s, burst)
        self._check_retries()
        self._check_notices()
        return self.findings

    def _check_notices(self) -> None:
        """Check that the fleet kept to what upstreams said of themselves."""
        ended = [each for each in self.sent.values() if each.ended_at is not None]
        for sent in sorted(ended, key=lambda each: each.ended_at or 0.0):
            fields = dict(sent.headers)
            signature = fields.get(b"lavenderway-server-signature")
            if signature is not None and sent.ended_at is not None:
                self.notices.record_response(
                    sent.host, signature.decode(), sent.headers, sent.ended_at
                )
        for detail in self.notices.find_exceeded_limits():
            self.record_violation(Invariant.NAMED_LIMIT, detail)
        for detail in self.notices.find_late_arrivals():
            self.record_violation(Invariant.NAMED_DEPARTURE, detail)

    def _check_request(
        self,
        sent: ClientRequest,
        executions: list[Execution],
        services: dict[str, frozenset[str]],
    ) -> None:
        if sent.at_most_once and len(executions) > 1:
            self.record_violation(
                Invariant.AT_MOST_ONCE, f"{sent.id} ran {len(executions)} times"
            )
        if sent.status in NOT_RUN_STATUSES and executions and sent.at_most_once:
            self.record_violation(
                Invariant.TRUE_REFUSAL, f"{sent.id}: {sent.status}, {executions}"
            )
        expected = b"served " + sent.path.encode() + bytes(sent.body_bytes)
        if sent.status == 200 and sent.body != expected:
            self.record_violation(
                Invariant.MATCHING_RESPONSE, f"{sent.id}: {sent.body[:80]!r}"
            )
        if sent.status == 200 and not executions:
            self.record_violation(
                Invariant.MATCHING_RESPONSE, f"{sent.id}: got a response but never ran"
            )
        prefix = sent.path[: sent.path.index("/", 1) + 1]
        for execution in executions:
            if execution.has_authorization or execution.workspace != sent.workspace:
                self.record_violation(
                    Invariant.IDENTITY_STRIPPED, f"{sent.id}: {execution}"
                )
            if execution.service not in services.get(prefix, frozenset()):
                self.record_violation(
                    Invariant.ROUTED_SERVICE, f"{sent.id}: {execution}"
                )
            if sent.status in (401, 403, 404):
                self.record_violation(
                    Invariant.AUTHENTICATED, f"{sent.id}: {sent.status}, {execution}"
                )

    def _check_planned_operation(
        self, sent: ClientRequest, executions: list[Execution]
    ) -> None:
        """Check that a request was neither broken off nor dropped."""
        ended_at = sent.sent_at if sent.ended_at is None else sent.ended_at
        waited_s = ended_at - sent.sent_at
        if waited_s >= sent.limit_s - TIME_LIMIT_TOLERANCE_S:
            return
        if executions:
            last = executions[-1]
            is_broken = sent.connection_broken or sent.status in (502, 504)
            if not is_broken and not self._is_replaced(sent, last, ended_at):
                return
            if self._may_be_broken_off(sent, last, ended_at):
                return
            invariant = Invariant.PLANNED_OPERATION
        else:
            slack_s = RESET_DROP_SLACK_S if sent.connection_reset else DROP_SLACK_S
            # The end of the connection was observed after the stalls.
            waited_s -= sent.unread_s + measure_stalls(
                self.stalls, sent.sent_at, ended_at
            )
            if not sent.connection_broken or sent.behind or waited_s <= slack_s:
                return
            invariant = Invariant.NOT_DROPPED
        self.record_violation(invariant, self._describe(sent, executions, ended_at))

    def _is_replaced(
        self, sent: ClientRequest, execution: Execution, ended_at: float
    ) -> bool:
        """Return whether a refusal was sent while the upstream was at work."""
        if sent.status not in NOT_RUN_STATUSES:
            return False
        end = self.run_ends.get((execution.id, execution.upstream))
        if end is None:
            return True
        return not end.completed and end.at > ended_at - REPLACED_RESPONSE_S

    def _may_be_broken_off(
        self, sent: ClientRequest, execution: Execution, ended_at: float
    ) -> bool:
        """Return whether the upstream ended, or the grace period before the run."""
        end = self.run_ends.get((execution.id, execution.upstream))
        run_ended_at = ended_at if end is None else end.at
        stopped_at = self.upstreams_stopped_at.get(execution.upstream)
        if stopped_at is not None and execution.started_at <= stopped_at <= min(
            ended_at, run_ended_at
        ):
            return True
        hosts = (sent.host, self.upstream_hosts.get(execution.upstream))
        return any(
            sent.sent_at <= stop.at + LONG_REQUEST_LIMIT_S
            and run_ended_at >= stop.at + STOP_GRACE_S - LAST_STOP_PERIOD_S
            and ended_at <= stop.at + STOP_GRACE_S + 1.0
            for stop in self.stops
            if stop.host in hosts
        )

    def _describe(
        self, sent: ClientRequest, executions: list[Execution], ended_at: float
    ) -> str:
        """Return what happened to a broken request, in seconds after the SIGTERM."""
        stop_times = [
            stop.at
            for stop in self.stops
            if stop.host == sent.host and stop.at <= ended_at
        ]
        origin = stop_times[-1] if stop_times else sent.sent_at
        result = str(sent.status)
        if sent.connection_broken:
            result = "connection reset" if sent.connection_reset else "closed"
        text = (
            f"{sent.id} {sent.path} to {sent.host}"
            f"{' (never stopped)' if not stop_times else ''}, seconds after SIGTERM:"
            f" sent {sent.sent_at - origin:.2f}{' behind another' * sent.behind},"
            f" {result} {ended_at - origin:.2f}"
        )
        for execution in executions:
            end = self.run_ends.get((execution.id, execution.upstream))
            ended = "not ended" if end is None else f"{end.at - origin:.2f}"
            text += (
                f", ran at {execution.upstream}"
                f" {execution.started_at - origin:.2f} to {ended}"
            )
        for stall in find_stalls(self.stalls, sent.sent_at, ended_at):
            text += (
                f", soak stalled {stall.started_at - origin:.2f}"
                f" to {stall.ended_at - origin:.2f}"
                f" ({stall.processor_s:.2f} s of processor time)"
            )
        return text

    def _check_rate(self, workspace: str, rate_per_s: float, burst: float) -> None:
        allowed = rate_per_s * RATE_WINDOW_S + burst
        allowed = allowed * (1 + RATE_TOLERANCE_RATIO) + RATE_TOLERANCE_REQUESTS
        times = [
            execution.started_at
            for execution in self.executions
            if execution.workspace == workspace and execution.id in self.sent
        ]
        first = 0
        for index, started_at in enumerate(times):
            while times[first] < started_at - RATE_WINDOW_S:
                first += 1
            if index - first + 1 > allowed:
                count = index - first + 1
                self.record_violation(
                    Invariant.RATE_LIMIT,
                    f"{workspace}: {count} ran, expected at most {allowed:.0f}",
                )
                return

    def _check_retries(self) -> None:
        """Check the ratio of retries to first executions per service and window."""
        arrivals: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        seen: set[str] = set()
        for execution in self.executions:
            arrivals[execution.service].append(
                (execution.started_at, execution.id in seen)
            )
            seen.add(execution.id)
        for service, events in arrivals.items():
            for start, _ in events[::20]:
                window = [e for e in events if start <= e[0] < start + RETRY_WINDOW_S]
                retries = sum(is_retry for _, is_retry in window)
                firsts = len(window) - retries
                if retries > RETRY_RATIO * firsts + RETRY_SLACK_REQUESTS:
                    self.record_violation(
                        Invariant.RETRY_BUDGET,
                        f"{service}: {retries} retries for {firsts} first executions",
                    )
                    return
