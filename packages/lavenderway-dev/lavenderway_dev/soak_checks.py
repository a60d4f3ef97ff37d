"""Observations of a soak run and the invariants that are checked on them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

# A response with one of these statuses states that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
RATE_WINDOW_S = 5.0
RATE_TOLERANCE_RATIO = 0.1
RATE_TOLERANCE_REQUESTS = 20.0
DRAIN_GRACE_S = 2.0  # after the acknowledgement; later requests are a violation
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
RETRY_SLACK_REQUESTS = 50.0


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
    RETRY_BUDGET = "retries exceeded the budget of the fleet"
    PLANNED_OPERATION = "a planned operation broke a request"
    RECOVERED = "a host did not recover in time"
    CONFIGURED = "a configuration did not take effect in time"


class Finding(NamedTuple):
    """A violated invariant and the observation that violates it."""

    invariant: Invariant
    detail: str


@dataclass(kw_only=True)
class ClientRequest:
    """A request of a client and its result.

    Attributes:
        at_most_once: Whether the request is not idempotent.
        status: Status of the response; None without a complete response.
        connection_broken: Whether the connection broke before the response ended.

    """

    id: str
    path: str
    workspace: str | None
    at_most_once: bool
    sent_at: float
    status: int | None = None
    connection_broken: bool = False
    body: bytes = b""


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


@dataclass(kw_only=True)
class Observations:
    """Requests, executions and findings of one soak run.

    Attributes:
        sent: Requests of all clients, by request ID.
        executions: Executions at all upstreams, in order of time.
        drained_at: Time at which the node acknowledged that an upstream is draining, by
            the name of the upstream.

    """

    sent: dict[str, ClientRequest] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    drained_at: dict[str, float] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)

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
            if (
                planned_only
                and executions
                and (sent.connection_broken or sent.status == 502)
            ):
                self.record_violation(
                    Invariant.PLANNED_OPERATION,
                    f"{sent.id}: {sent.status}, {executions}",
                )
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
        return self.findings

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
        if sent.status == 200 and sent.body != b"served " + sent.path.encode():
            self.record_violation(
                Invariant.MATCHING_RESPONSE, f"{sent.id}: {sent.body!r}"
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
