"""Compares ways to keep upstreams within the limits that they name.

Simulates the entry nodes and upstreams of one service on one clock, with the decision
code of the relay. Cases: all upstreams name a limit and demand exceeds the sum
(`scarce`); a third of them do while the others have room for all (`spare`); and the
control for the second, which has only its unlimited upstreams (`control`). A limit
causes wrongful refusals if more is refused in the second case than in the control.
"""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.ids import FailureDomainId, HostId, RouteId, ServiceId, UpstreamId
from lavenderway_relay.admission import RootAdmission
from lavenderway_relay.admission_level import LEVEL_UPDATE_INTERVAL_S, AdmissionLevel
from lavenderway_relay.caller_handler import MAX_FULL_HOSTS, MAX_TRIED_HOSTS
from lavenderway_relay.concurrency import ConcurrencyLimiter, SlotDecision, SlotRequest
from lavenderway_relay.load_balancer import LoadBalancer
from lavenderway_relay.model import Address, HostRecord, Upstream, UpstreamStatus
from lavenderway_relay.named_limit import NamedLimit, Pacer
from lavenderway_relay.slot_search import SlotSearch

from lavenderway_dev.bench_registry import benchmark
from lavenderway_dev.notice_checks import (
    LIMIT_TOLERANCE_RATIO,
    LIMIT_TOLERANCE_REQUESTS,
    LIMIT_WINDOW_S,
)

if TYPE_CHECKING:
    from collections.abc import Callable

FLEETS = (14, 76, 195, 710)  # hosts, of which one in `HOSTS_PER_UPSTREAM` serves
HOSTS_PER_UPSTREAM = 4
DOMAINS = 4
SLOTS = 8
MEAN_RUN_S = 0.1
CAPACITY_PER_S = SLOTS / MEAN_RUN_S
LIMIT_PER_S = 10.0
TARGET_LATENCY_S = 0.5
DEADLINE_S = 2.0
HOP_DELAY_S = 0.001
CLASSES = 2  # of importance
IMPORTANT_SHARE = 0.3
NAMED_AT_S = 3.0
BOUND_AT_S = NAMED_AT_S + 3.0
END_S = 12.0
ROUTE = RouteId("route")
SERVICE = ServiceId("service")


class Case(Enum):
    """Demand relative to what the upstreams take."""

    SCARCE = "scarce"
    SPARE = "spare"
    CONTROL = "control"


class Scheme(Enum):
    """Where the limit of an upstream is enforced."""

    BESIDE_UPSTREAM = "node beside the upstream"
    EQUAL_SHARES = "equal share a host"
    EACH_HOST = "whole limit a host"


class Result(NamedTuple):
    """Result of one simulation.

    Attributes:
        worst_window: Largest number of requests that a limited upstream got in a
            window, relative to what is allowed; 0.0 without limited upstreams.
        use: Requests that limited upstreams got, relative to their limits; 0.0 without
            limited upstreams.
        refused: Share of the requests that were refused, by importance class.
        reaction_s: Longest time from the first naming until the limit was in force;
            0.0 without limited upstreams.
        cost_us: Processor time of the simulation a request, in microseconds.

    """

    worst_window: float
    use: float
    refused: tuple[float, ...]
    reaction_s: float
    cost_us: float


@dataclass(kw_only=True, eq=False)
class _Request:
    arrived_at: float
    entry: int
    importance_class: int
    position: float
    run_s: float
    tried: list[HostId] = field(default_factory=list)
    busy: list[HostId] = field(default_factory=list)
    full_hosts: int = 0
    searching: bool = False


@dataclass(kw_only=True)
class _Entry:
    """Entry node, with its own pacers in the schemes that use them."""

    balancer: LoadBalancer
    admission: RootAdmission = field(default_factory=RootAdmission)
    search: SlotSearch = field(default_factory=SlotSearch)
    pacers: dict[int, Pacer] = field(default_factory=dict)


@dataclass(kw_only=True)
class _Gate:
    """Node beside an upstream."""

    limiter: ConcurrencyLimiter
    level: AdmissionLevel
    limited: bool
    limit: NamedLimit = field(default_factory=NamedLimit)
    arrivals: list[float] = field(default_factory=list)
    in_force_at: float | None = None
    timer_at: float = -1.0


def _make_record(index: int) -> HostRecord:
    return HostRecord(
        host=HostId(str(index)),
        address=Address("10.0.0.1", 80),
        failure_domain=FailureDomainId(str(index % DOMAINS)),
        serving=True,
        upstream=Upstream(
            id=UpstreamId(str(index)),
            service=SERVICE,
            address=Address("10.0.0.1", 81),
            slots=SLOTS,
            status=UpstreamStatus.READY,
            started_ms=0,
            sequence=0,
        ),
    )


class LimitSimulation:
    """Poisson arrivals at all hosts of a fleet, for the upstreams of one service.

    Args:
        hosts: Number of hosts, all of which are entry nodes.
        case: Demand relative to what the upstreams take.
        scheme: Where the limits are enforced.
        seed: Seed of the random numbers.

    """

    def __init__(self, *, hosts: int, case: Case, scheme: Scheme, seed: int) -> None:
        self._case = case
        self._scheme = scheme
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()
        upstreams = max(3, hosts // HOSTS_PER_UPSTREAM)
        limited = upstreams if case is Case.SCARCE else upstreams // 3
        self._rate = (
            1.5 * LIMIT_PER_S * upstreams
            if case is Case.SCARCE
            else 0.6 * CAPACITY_PER_S * (upstreams - limited)
        )
        if case is Case.CONTROL:
            upstreams, limited = upstreams - limited, 0
        self._records = [_make_record(index) for index in range(upstreams)]
        self._gates = [
            _Gate(
                limiter=ConcurrencyLimiter(slots=SLOTS, now=0.0),
                level=AdmissionLevel(classes=CLASSES, now=0.0),
                limited=index < limited,
            )
            for index in range(upstreams)
        ]
        self._entries = [
            _Entry(
                balancer=LoadBalancer(
                    host=HostId(str(index)),
                    failure_domain=FailureDomainId(str(index % DOMAINS)),
                    random=self._random.random,
                )
            )
            for index in range(hosts)
        ]
        self._queued: dict[SlotRequest, _Request] = {}
        self._sent: Counter[int] = Counter()
        self._refused: Counter[int] = Counter()
        self._requests = 0

    def run(self) -> Result:
        """Simulate all arrivals; return what limited upstreams and callers got."""
        started = time.process_time()
        self._at(self._random.expovariate(self._rate), self._arrive)
        self._at(LEVEL_UPDATE_INTERVAL_S, self._tick)
        while self._events and self._events[0][0] < END_S:
            now, _, handle = heapq.heappop(self._events)
            handle(now)
        cost_s = time.process_time() - started
        limited = [gate for gate in self._gates if gate.limited]
        bound = [
            [at for at in gate.arrivals if BOUND_AT_S <= at < END_S] for gate in limited
        ]
        got = sum(map(len, bound))
        allowed = (
            LIMIT_TOLERANCE_RATIO * LIMIT_PER_S * LIMIT_WINDOW_S
            + LIMIT_TOLERANCE_REQUESTS
        )
        delays = [
            END_S if gate.in_force_at is None else gate.in_force_at - NAMED_AT_S
            for gate in limited
        ]
        limits = len(limited) * LIMIT_PER_S * (END_S - BOUND_AT_S)
        return Result(
            max(map(_largest_window, bound), default=0) / allowed,
            got / limits if limits else 0.0,
            tuple(
                self._refused[rank] / max(1, self._sent[rank])
                for rank in range(CLASSES)
            ),
            max(delays, default=0.0),
            cost_s / self._requests * 1e6,
        )

    def _at(self, at: float, handle: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), handle))

    def _arrive(self, now: float) -> None:
        self._at(now + self._random.expovariate(self._rate), self._arrive)
        rank = int(self._random.random() >= IMPORTANT_SHARE)
        request = _Request(
            arrived_at=now,
            entry=self._random.randrange(len(self._entries)),
            importance_class=rank,
            position=rank + self._random.random(),
            run_s=MEAN_RUN_S * self._random.lognormvariate(-0.125, 0.5),
        )
        self._requests += 1
        if now >= BOUND_AT_S:
            self._sent[rank] += 1
        entry = self._entries[request.entry]
        decision = entry.admission.decide(
            ROUTE, SERVICE, request.position, now, jitter=0.5
        )
        if decision.limiting_service is not None:
            self._refuse(request)
            return
        self._place(now, request)

    def _refuse(self, request: _Request) -> None:
        if request.arrived_at >= BOUND_AT_S:
            self._refused[request.importance_class] += 1

    def _place(self, now: float, request: _Request) -> None:
        entry = self._entries[request.entry]
        time_left_s = request.arrived_at + TARGET_LATENCY_S - now
        excluded = [*request.tried, *self._find_exhausted(entry, now)]
        request.searching = entry.search.may_search(
            now, busy_hosts=len(request.busy), body_bytes=0
        )
        record = None
        if request.searching and request.busy:
            record = entry.balancer.choose(
                self._records,
                now,
                excluded=[*excluded, *request.busy],
                time_left_s=time_left_s,
                last_resort=False,
            )
            request.searching = record is not None
        if record is None:
            record = entry.balancer.choose(
                self._records, now, excluded=excluded, time_left_s=time_left_s
            )
        if (
            record is None
            or request.full_hosts >= MAX_FULL_HOSTS
            or len(request.tried) >= MAX_TRIED_HOSTS
        ):
            self._refuse(request)
            return
        index = int(record.host)
        pacer = entry.pacers.get(index)
        if pacer is not None and not pacer.take(now):
            self._refuse(request)
            return
        entry.balancer.record_sent(record.host)
        self._at(now + HOP_DELAY_S, lambda at: self._ask(at, request, index))

    def _find_exhausted(self, entry: _Entry, now: float) -> list[HostId]:
        """Return the upstreams whose limit the entry node has used up itself."""
        return [
            HostId(str(index))
            for index, pacer in entry.pacers.items()
            if pacer.wait_s(0, now) > 0.0
        ]

    def _ask(self, now: float, request: _Request, index: int) -> None:
        gate = self._gates[index]
        limiter = gate.limiter
        start_by = request.arrived_at + TARGET_LATENCY_S - limiter.mean_s
        if request.searching and limiter.is_busy(
            start_by, now, importance_class=request.importance_class
        ):
            self._reply(
                now, request, index, lambda at: self._return(at, request, index)
            )
            return
        gate.level.record_arrival(request.position, now)
        slot_request = SlotRequest(
            start_by=start_by,
            expires_at=request.arrived_at + DEADLINE_S - limiter.mean_s,
            call=False,
            importance_class=request.importance_class,
        )
        decision = limiter.submit(slot_request, now)
        if decision is SlotDecision.START:
            self._start(now, request, index)
        elif decision is SlotDecision.WAIT:
            self._queued[slot_request] = request
            displaced = limiter.find_displaced(slot_request, now)
            if displaced is not None:
                self._expire(now, displaced, index)
            self._at(
                slot_request.expires_at,
                lambda at: self._expire(at, slot_request, index),
            )
            self._schedule(now, index)
        else:
            self._turn_away(now, request, index)

    def _turn_away(self, now: float, request: _Request, index: int) -> None:
        limited = self._gates[index].limit.per_s is not None

        def receive(at: float) -> None:
            request.tried.append(HostId(str(index)))
            balancer = self._entries[request.entry].balancer
            request.full_hosts += not (
                limited and balancer.has_unlimited_room(SERVICE, at)
            )
            self._place(at, request)

        self._reply(now, request, index, receive)

    def _expire(self, now: float, slot_request: SlotRequest, index: int) -> None:
        request = self._queued.pop(slot_request, None)
        if request is not None:
            self._gates[index].limiter.cancel(slot_request)
            self._turn_away(now, request, index)

    def _return(self, now: float, request: _Request, index: int) -> None:
        if request.busy:
            self._entries[request.entry].search.record_search(now, found=False)
        request.busy.append(HostId(str(index)))
        self._place(now, request)

    def _start(self, now: float, request: _Request, index: int) -> None:
        self._gates[index].arrivals.append(now)
        self._at(
            now + request.run_s, lambda at: self._end(at, request, index, sent_at=now)
        )

    def _end(
        self, now: float, request: _Request, index: int, *, sent_at: float
    ) -> None:
        gate = self._gates[index]
        if gate.limited and now >= NAMED_AT_S and gate.in_force_at is None:
            gate.in_force_at = now
            if self._scheme is Scheme.BESIDE_UPSTREAM:
                gate.limit.record_response(LIMIT_PER_S, sent_at=sent_at, now=now)
                assert gate.limit.per_s is not None
                gate.limiter.set_pacer(Pacer(per_s=gate.limit.per_s, now=now))
        gate.limiter.release(request.run_s)
        entry = self._entries[request.entry]

        def receive(at: float) -> None:
            if request.searching and request.busy:
                entry.search.record_search(at, found=True)
            if gate.limited and now >= NAMED_AT_S:
                self._tell(entry, index, at)

        self._reply(now, request, index, receive)
        self._start_queued(now, index)

    def _tell(self, entry: _Entry, index: int, now: float) -> None:
        """Let an entry node enforce the limit that a response names, if it does."""
        if self._scheme is Scheme.BESIDE_UPSTREAM or index in entry.pacers:
            return
        shares = len(self._entries) if self._scheme is Scheme.EQUAL_SHARES else 1
        pacer = entry.pacers[index] = Pacer(per_s=LIMIT_PER_S, now=now)
        pacer.per_s = LIMIT_PER_S / shares  # without the lower bound of a whole limit

    def _start_queued(self, now: float, index: int) -> None:
        limiter = self._gates[index].limiter
        while (slot_request := limiter.start_next(now)) is not None:
            self._start(now, self._queued.pop(slot_request), index)
        self._schedule(now, index)

    def _schedule(self, now: float, index: int) -> None:
        gate = self._gates[index]
        start_at = gate.limiter.next_start_at(now)
        if start_at is not None and gate.timer_at <= now:
            gate.timer_at = start_at
            self._at(start_at, lambda at: self._start_queued(at, index))

    def _reply(
        self, now: float, request: _Request, index: int, handle: Callable[[float], None]
    ) -> None:
        """Send a response, which reports load and level, to the entry node."""
        gate = self._gates[index]
        host = HostId(str(index))
        load, mean_s = gate.limiter.load(now), gate.limiter.mean_s
        level, limit = gate.level.level, gate.limit.per_s
        published = gate.level.should_publish(now)
        capacity = min(SLOTS / max(mean_s, 0.001), limit or CAPACITY_PER_S)

        def receive(at: float) -> None:
            entry = self._entries[request.entry]
            entry.balancer.record_done(host)
            entry.balancer.record_report(
                host, load=load, mean_s=mean_s, now=at, limit_per_s=limit
            )
            counts = published and not (
                limit is not None and entry.balancer.has_unlimited_room(SERVICE, at)
            )
            entry.admission.update_level(
                SERVICE,
                host,
                level if counts else float(CLASSES),
                at,
                weight=capacity,
            )
            handle(at)

        self._at(now + HOP_DELAY_S, receive)

    def _tick(self, now: float) -> None:
        self._at(now + LEVEL_UPDATE_INTERVAL_S, self._tick)
        for gate in self._gates:
            gate.level.tick(
                now,
                waiting=gate.limiter.waiting,
                limit=gate.limiter.concurrency,
                mean_s=gate.limiter.mean_s,
            )


def _largest_window(arrivals: list[float]) -> int:
    largest = first = 0
    for index, at in enumerate(arrivals):
        while arrivals[first] < at - LIMIT_WINDOW_S:
            first += 1
        largest = max(largest, index - first + 1)
    return largest


@benchmark("limits")
def compare_limits() -> None:
    """Print a table of all cases, fleets and schemes."""
    print(
        "| case | hosts | enforced by | worst window | use | refused important |",
        end="",
    )
    print(" refused other | reaction ms | cost us |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for case in Case:
        for hosts in FLEETS:
            for scheme in (
                Scheme if case is not Case.CONTROL else [Scheme.BESIDE_UPSTREAM]
            ):
                simulation = LimitSimulation(
                    hosts=hosts, case=case, scheme=scheme, seed=1
                )
                result = simulation.run()
                important, other = result.refused
                print(
                    f"| {case.value} | {hosts} | {scheme.value} |"
                    f" {result.worst_window:.2f} | {result.use:.2f} |"
                    f" {important:.4f} | {other:.4f} |"
                    f" {result.reaction_s * 1e3:.0f} | {result.cost_us:.0f} |",
                    flush=True,
                )
