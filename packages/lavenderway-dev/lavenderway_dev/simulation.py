"""Deterministic simulation of a fleet of nodes on one virtual clock.

Each host runs the reducer of `lavenderway_core` on a real `NodeState`. Links, the
platform's table and upstreams are fakes that can be partitioned, frozen or made to
lose responses. The simulation is meant for tests of failure handling: it does not model
network queues, bandwidth or process scheduling.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from lavenderway_core import effects as fx
from lavenderway_core.assembly import create_state, reduce
from lavenderway_core.configuration import row_key
from lavenderway_core.configuration_store import digest_secret
from lavenderway_core.events import (
    AttemptLinkLost,
    AttemptRefused,
    ControlFailed,
    ControlReceived,
    DeadlinePassed,
    Event,
    JobArrived,
    JobCancelled,
    JobExpired,
    JobFinished,
    RequestArrived,
    ResponseEnded,
    ResponseRecorded,
    ResponseStarted,
    RowsRead,
    RunResult,
    StopRequested,
    TimerTicked,
    TransactionCompleted,
    UpstreamAnnounced,
    UpstreamLeft,
)
from lavenderway_core.gossip import JOIN_ROUNDS
from lavenderway_core.hosting import measure_load
from lavenderway_core.identification import RequestHead, identify
from lavenderway_core.ids import (
    ExchangeId,
    FailureDomainId,
    HostId,
    Incarnation,
    JobId,
    Revision,
    RootId,
    ServiceId,
    UpstreamId,
)
from lavenderway_core.messages import Envelope
from lavenderway_core.refusal import Refusal
from lavenderway_core.resources import Kind
from lavenderway_core.table import Row, TransactOutcome

from lavenderway_dev.platform_standin import Table

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_core.state import NodeState

LINK_DELAY_S = 0.0005
TABLE_DELAY_S = 0.003
CONTROL_TIMEOUT_S = 1.0
TABLE_TIMEOUT_S = 2.0
TICK_INTERVAL_S = 0.1
ANNOUNCE_INTERVAL_S = 0.5


class Outcome(NamedTuple):
    """Result of a simulated request.

    Attributes:
        refusal: Refusal sent to the caller; None if a response was sent.
        broken: Whether the response broke off before its end.
        ended_at: Virtual time at which the request ended, in seconds.

    """

    refusal: Refusal | None
    broken: bool
    ended_at: float


class SimulatedUpstream:
    """Simulated upstream with a fixed concurrency and service time.

    Args:
        service: Name of the service that the upstream belongs to.
        slots: Number of requests that run concurrently.
        service_s: Service time of one request, in seconds.

    Attributes:
        announces: Whether the upstream still announces itself to its node.
        breaks_responses: Whether each request runs but its response is lost.
        executions: Number of executions by the root ID of the request.
        running: Virtual start time of each running job.
        queued: Jobs that wait for a slot, oldest first.

    """

    def __init__(self, *, service: str, slots: int, service_s: float) -> None:
        self.service = service
        self.slots = slots
        self.service_s = service_s
        self.frozen = False
        self.announces = True
        self.breaks_responses = False
        self.executions: Counter[str] = Counter()
        self.running: dict[JobId, float] = {}
        self.queued: list[JobId] = []


class SimulatedHost:
    """A node's state, its upstreams and the jobs that they run.

    Attributes:
        frozen: Whether the node process is suspended.
        deferred_events: Events that arrived while the process was suspended.
        run_effects: Effects that started the jobs which have not finished yet.

    """

    def __init__(self, *, state: NodeState) -> None:
        self.state = state
        self.frozen = False
        self.killed = False
        self.deferred_events: list[tuple[Event, int]] = []
        self.upstreams: dict[UpstreamId, SimulatedUpstream] = {}
        self.run_effects: dict[JobId, fx.RunJob] = {}


class SimulatedFleet:
    """Simulated hosts, links and platform table on one virtual clock.

    Args:
        seed: Seed of the random number generator.
        tick_s: Interval between two ticks of a host, in seconds.

    Attributes:
        now: Virtual time, in seconds.
        outcomes: Results of the requests that have ended, by request name.
        admissions: Time and workspace of each request admitted under a rate.
        job_starts: Time and host of each start of a job on an upstream.
        table_down: Whether the platform's table is unavailable to all hosts.
        responses_to_lose: Number of coming commits whose responses are lost.
        messages: Number of control messages sent, by type.
        on_control_message: Called with each control message that is sent.

    """

    def __init__(self, *, seed: int, tick_s: float = TICK_INTERVAL_S) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.table = Table()
        self.hosts: dict[HostId, SimulatedHost] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.admissions: list[tuple[float, str]] = []
        self.job_starts: list[tuple[float, str]] = []
        self._admitted_jobs: set[JobId] = set()
        self.table_down = False
        self.responses_to_lose = 0
        self.domains_without_table: set[FailureDomainId] = set()
        self.partitioned_pairs: set[frozenset[FailureDomainId]] = set()
        self.messages: Counter[str] = Counter()
        self.on_control_message: Callable[[Any], None] | None = None
        self.table_reads = 0
        self.table_writes = 0
        self._tick_s = tick_s
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._exchange_numbers = itertools.count(1)
        self._request_names: dict[tuple[HostId, ExchangeId], str] = {}
        self._pending_control_requests: dict[tuple[HostId, int], float] = {}

    def add_host(
        self,
        name: str,
        domain: str,
        *,
        incarnation: int = 1,
        seeds: tuple[str, ...] = (),
    ) -> SimulatedHost:
        """Start a host and return it; it replaces a former host of the same name.

        Args:
            name: Name of the host.
            domain: Failure domain of the host.
            incarnation: Incarnation number; higher than before after a restart.
            seeds: Addresses to join through; by default those of all hosts.

        """
        state = create_state(
            host=HostId(name),
            failure_domain=FailureDomainId(domain),
            address=f"{name}:1",
            incarnation=Incarnation(incarnation),
            seed=self.random.getrandbits(32),
            seeds=seeds
            or tuple(record.state.address for record in self.hosts.values()),
            now=self.now,
        )
        host = SimulatedHost(state=state)
        self.hosts[state.host] = host
        self.after(self.random.random() * self._tick_s, lambda: self._tick(host))
        return host

    def add_upstream(
        self, host: str, name: str, service: str, *, slots: int, service_s: float
    ) -> SimulatedUpstream:
        """Add an upstream to a host and announce it to the host's node."""
        upstream = SimulatedUpstream(service=service, slots=slots, service_s=service_s)
        target = self.hosts[HostId(host)]
        target.upstreams[UpstreamId(name)] = upstream
        self.announce(target, UpstreamId(name))
        return upstream

    def write(self, kind: Kind, name: str, spec: dict[str, object] | None) -> Revision:
        """Write a resource directly to the table; return its revision."""
        self.table.revision += 1
        self.table.write(row_key(kind, name), {"spec": spec}, None, self.now)
        return Revision(self.table.revision)

    def add_workspace(self, name: str, *, rate: float, burst: float) -> str:
        """Write a workspace and an API key for it; return the key's secret."""
        self.write(Kind.WORKSPACE, name, {"rate": rate, "burst": burst})
        secret = f"secret-of-{name}"
        spec: dict[str, object] = {"workspace": name, "digest": digest_secret(secret)}
        self.write(Kind.KEY, name, spec)
        return secret

    def add_route(self, name: str, service: str, **spec: object) -> None:
        """Write a route with the path prefix `/NAME`."""
        document = {"path_prefix": f"/{name}", "service": service, **spec}
        self.write(Kind.ROUTE, name, document)

    def request(
        self, host: str, path: str, *, secret: str = "", idempotency_key: str = ""
    ) -> str:
        """Send a request to a host now; return its key in `outcomes`."""
        number = ExchangeId(next(self._exchange_numbers))
        name = f"r{number}"
        target = self.hosts[HostId(host)]
        head = RequestHead(
            method="POST",
            path=path,
            root=RootId(name),
            key_digest=digest_secret(secret) if secret else None,
            context=None,
            importance=None,
            timeout_ms=None,
            idempotency_key=idempotency_key or None,
        )
        if target.frozen or target.killed:
            return name
        call = identify(
            target.state.configuration_store, head, target.state.host, self.now
        )
        if isinstance(call, Refusal):
            self.outcomes[name] = Outcome(call, False, self.now)
            return name
        self._request_names[target.state.host, number] = name
        self.at(
            call.deadline, lambda: self.deliver_event(target, DeadlinePassed(number))
        )
        self.deliver_event(target, RequestArrived(number, call, "fingerprint"))
        return name

    def freeze(self, host: str) -> None:
        """Suspend a host's process; events are deferred until `thaw`."""
        self.hosts[HostId(host)].frozen = True

    def thaw(self, host: str) -> None:
        """Resume a frozen host and deliver its deferred events."""
        target = self.hosts[HostId(host)]
        target.frozen = False
        deferred_events, target.deferred_events = target.deferred_events, []
        for event, _ in deferred_events:
            self.deliver_event(target, event)

    def kill(self, host: str) -> None:
        """Kill a host's process, closing its links; its upstreams finish their jobs."""
        target = self.hosts.pop(HostId(host))
        target.killed = True
        for other in self.hosts.values():
            self._report_lost_link(other, target.state.host)

    def stop(self, host: str) -> None:
        """Request a graceful shutdown of a host."""
        self.deliver_event(self.hosts[HostId(host)], StopRequested())

    def partition(self, left: str, right: str) -> None:
        """Partition two failure domains from each other."""
        pair = frozenset({FailureDomainId(left), FailureDomainId(right)})
        self.partitioned_pairs.add(pair)

    def heal(self) -> None:
        """End all network partitions."""
        self.partitioned_pairs.clear()
        self.domains_without_table.clear()

    def run(self, until: float) -> None:
        """Run all actions due until a virtual time and advance the clock to it."""
        while self._queue and self._queue[0][0] <= until:
            at, _, action = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            action()
        self.now = until

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self._queue, (time_s, next(self._sequence), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now + delay_s, action)

    def deliver_event(self, host: SimulatedHost, event: Event) -> None:
        """Reduce an event on a host and execute the resulting effects.

        A killed host drops the event. A frozen host drops ticks and defers all other
        events.
        """
        if host.killed:
            return
        if host.frozen:
            if not isinstance(event, TimerTicked):
                host.deferred_events.append((event, 0))
            return
        for effect in reduce(host.state, event, self.now):
            self._record_admission(host, effect)
            _EFFECT_HANDLERS.get(type(effect), _ignore_effect)(self, host, effect)

    def executions(self) -> Counter[str]:
        """Return the number of executions of each request over all upstreams."""
        total: Counter[str] = Counter()
        for host in self.hosts.values():
            for upstream in host.upstreams.values():
                total += upstream.executions
        return total

    def sum_allotted_rate(self, workspace: str) -> float:
        """Return the sum of a workspace's rate over the allotments held now."""
        return sum(
            allotment.share.rate_per_s
            for host in self.hosts.values()
            for allotment in host.state.allotments.values()
            if allotment.id.workspace == workspace and allotment.is_held(self.now)
        )

    def are_linked(self, left: HostId, right: HostId) -> bool:
        """Return whether two hosts can exchange messages."""
        if left not in self.hosts or right not in self.hosts:
            return False
        left_domain = self.hosts[left].state.failure_domain
        right_domain = self.hosts[right].state.failure_domain
        return (
            left_domain == right_domain
            or frozenset({left_domain, right_domain}) not in self.partitioned_pairs
        )

    def leave(self, host: str) -> None:
        """Deregister a host's upstreams from its node."""
        target = self.hosts[HostId(host)]
        for name, upstream in target.upstreams.items():
            upstream.announces = False
            self.deliver_event(target, UpstreamLeft(name))

    def populate_membership(self) -> None:
        """Make every host known to all others without running the join rounds."""
        records = [host.state.members.own for host in self.hosts.values()]
        for host in self.hosts.values():
            host.state.gossip.rounds = JOIN_ROUNDS
            for record in records:
                host.state.members.merge(record)

    def _record_admission(self, host: SimulatedHost, effect: fx.Effect) -> None:
        """Record the time of a request's first attempt as its admission."""
        job = getattr(effect, "job", None)
        if job is None and isinstance(effect, fx.Transact):
            job = effect.tag.job
        if job is None or job.origin != host.state.host or job.attempt != 1:
            return
        if job in self._admitted_jobs:
            return
        self._admitted_jobs.add(job)
        exchange = host.state.exchanges.get(job.exchange)
        if exchange is not None and exchange.call.workspace is not None:
            self.admissions.append((self.now, exchange.call.workspace))

    def _tick(self, host: SimulatedHost) -> None:
        if host.killed:
            return
        self.deliver_event(host, TimerTicked())
        self.after(self._tick_s, lambda: self._tick(host))

    def announce(self, host: SimulatedHost, name: UpstreamId) -> None:
        """Announce an upstream to its node now and at regular intervals."""
        upstream = host.upstreams.get(name)
        if upstream is None or host.killed:
            return
        if upstream.announces:
            service = ServiceId(upstream.service)
            event = UpstreamAnnounced(name, service, f"{name}:80", draining=False)
            self.deliver_event(host, event)
        self.after(ANNOUNCE_INTERVAL_S, lambda: self.announce(host, name))

    def _report_lost_link(self, host: SimulatedHost, lost: HostId) -> None:
        for exchange in list(host.state.exchanges.values()):
            if exchange.peer == lost and exchange.job is not None:
                self.deliver_event(host, AttemptLinkLost(exchange.job, sent=True))
        for job in [job for job in host.state.jobs if job.origin == lost]:
            self.deliver_event(host, JobCancelled(job))

    def execute_control(self, host: SimulatedHost, effect: fx.SendControl) -> None:
        """Send a control message; an unanswered request fails after a timeout."""
        sender = host.state.host
        message = effect.message
        self.messages[type(message).__name__] += 1
        if self.on_control_message is not None:
            self.on_control_message(message)
        name = type(message).__name__
        request_number = getattr(message, "request_number", 0)
        if name.endswith("Request"):
            self._pending_control_requests[sender, request_number] = self.now
            failed = ControlFailed(effect.peer, request_number)
            self.after(
                CONTROL_TIMEOUT_S,
                lambda: self._fail_control_request(host, request_number, failed),
            )
        receiver = HostId(effect.address.split(":")[0])
        if not self.are_linked(sender, receiver):
            return
        self.after(
            LINK_DELAY_S, lambda: self._deliver_message(sender, receiver, message)
        )

    def _fail_control_request(
        self, host: SimulatedHost, request_number: int, event: ControlFailed
    ) -> None:
        if (
            self._pending_control_requests.pop((host.state.host, request_number), None)
            is not None
        ):
            self.deliver_event(host, event)

    def _deliver_message(self, sender: HostId, receiver: HostId, message: Any) -> None:
        target = self.hosts.get(receiver)
        if target is None or not self.are_linked(sender, receiver):
            return
        requested_at = self.now
        if type(message).__name__.endswith("Reply"):
            sent = self._pending_control_requests.pop(
                (receiver, message.request_number), None
            )
            if sent is None:
                return
            requested_at = sent
        self.deliver_event(
            target, ControlReceived(Envelope(sender, message), requested_at)
        )

    def execute_read(self, host: SimulatedHost, effect: fx.ReadRows) -> None:
        """Read rows of the table and deliver them after the table's delay."""
        self.table_reads += 1
        requested_at = self.now
        if self._is_table_unreachable(host):
            event = RowsRead(effect.tag, None, Revision(0), requested_at)
            self.after(TABLE_TIMEOUT_S, lambda: self.deliver_event(host, event))
            return
        found = self.table.read(effect.prefix, effect.since_revision, self.now)
        rows = tuple(Row(r["key"], r["version"], r["value"]) for r in found)  # type: ignore[arg-type]
        revision = Revision(self.table.revision)
        event = RowsRead(effect.tag, rows, revision, requested_at)
        self.after(TABLE_DELAY_S, lambda: self.deliver_event(host, event))

    def execute_transact(self, host: SimulatedHost, effect: fx.Transact) -> None:
        """Commit a transaction after the table's delay; its response may be lost."""
        self.table_writes += 1
        requested_at = self.now
        if self._is_table_unreachable(host):
            self._report_transaction(
                host, effect, TransactOutcome.UNKNOWN, requested_at
            )
            return
        self.after(
            TABLE_DELAY_S, lambda: self._commit_transaction(host, effect, requested_at)
        )

    def _commit_transaction(
        self, host: SimulatedHost, effect: fx.Transact, requested_at: float
    ) -> None:
        for key, version in effect.conditions:
            if self.table.version(key, self.now) != version:
                self._report_transaction(
                    host, effect, TransactOutcome.CONFLICT, requested_at
                )
                return
        self.table.revision += 1
        for key, value, ttl_s in effect.writes:
            self.table.write(key, value, ttl_s, self.now)
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            self._report_transaction(
                host, effect, TransactOutcome.UNKNOWN, requested_at
            )
            return
        self._report_transaction(host, effect, TransactOutcome.COMMITTED, requested_at)

    def _report_transaction(
        self,
        host: SimulatedHost,
        effect: fx.Transact,
        outcome: TransactOutcome,
        requested_at: float,
    ) -> None:
        versions: dict[str, int] = {}
        rows: tuple[Row, ...] = ()
        if outcome is TransactOutcome.COMMITTED:
            versions = {write.key: self.table.revision for write in effect.writes}
        if outcome is TransactOutcome.CONFLICT:
            keys = [key for key, _ in effect.conditions if key in self.table.rows]
            found = [(key, self.table.rows[key]) for key in keys]
            rows = tuple(Row(key, row.version, row.value) for key, row in found)
        event = TransactionCompleted(effect.tag, outcome, versions, rows, requested_at)
        is_unknown = outcome is TransactOutcome.UNKNOWN
        delay_s = TABLE_TIMEOUT_S if is_unknown else TABLE_DELAY_S
        self.after(delay_s, lambda: self.deliver_event(host, event))

    def _is_table_unreachable(self, host: SimulatedHost) -> bool:
        return (
            self.table_down or host.state.failure_domain in self.domains_without_table
        )

    def execute_attempt(self, host: SimulatedHost, effect: fx.SendAttempt) -> None:
        """Send an attempt to a peer, or report that it could not be sent."""
        sender = host.state.host
        if effect.peer not in self.hosts:
            event = AttemptLinkLost(effect.job, sent=False)
            self.after(LINK_DELAY_S, lambda: self.deliver_event(host, event))
            return
        if not self.are_linked(sender, effect.peer):
            lost = AttemptLinkLost(effect.job, sent=False)
            self.after(CONTROL_TIMEOUT_S, lambda: self.deliver_event(host, lost))
            return
        target = self.hosts[effect.peer]
        arrived = JobArrived(effect.job, effect.spec)
        self.after(LINK_DELAY_S, lambda: self.deliver_event(target, arrived))

    def execute_cancel(self, host: SimulatedHost, effect: fx.CancelAttempt) -> None:
        """Send the cancellation of an attempt to a peer."""
        target = self.hosts.get(effect.peer)
        if target is not None and self.are_linked(host.state.host, effect.peer):
            event = JobCancelled(effect.job)
            self.after(LINK_DELAY_S, lambda: self.deliver_event(target, event))

    def execute_run(self, host: SimulatedHost, effect: fx.RunJob) -> None:
        """Start a job on its upstream, or queue it if all slots are in use."""
        upstream = host.upstreams[effect.upstream]
        host.run_effects[effect.job] = effect
        if len(upstream.running) < upstream.slots:
            self._start_job(host, upstream, effect.job)
        else:
            upstream.queued.append(effect.job)

    def _start_job(
        self, host: SimulatedHost, upstream: SimulatedUpstream, job: JobId
    ) -> None:
        effect = host.run_effects[job]
        upstream.executions[effect.context.root] += 1
        self.job_starts.append((self.now, host.state.host))
        upstream.running[job] = self.now
        if not upstream.frozen:
            self.after(
                upstream.service_s, lambda: self._finish_job(host, upstream, job)
            )

    def _finish_job(
        self, host: SimulatedHost, upstream: SimulatedUpstream, job: JobId
    ) -> None:
        if upstream.running.pop(job, None) is None:
            return
        effect = host.run_effects.pop(job, None)
        if upstream.queued:
            self._start_job(host, upstream, upstream.queued.pop(0))
        if effect is None or host.killed:
            return
        if upstream.breaks_responses:
            self.deliver_event(
                host, JobFinished(job, RunResult.BROKEN, response_started=False)
            )
            return
        self._send_response(host, job)
        if effect.keep_response:
            self.deliver_event(host, ResponseRecorded(job, {"status": 200, "body": ""}))
        self.deliver_event(
            host, JobFinished(job, RunResult.COMPLETE, response_started=True)
        )

    def _send_response(self, host: SimulatedHost, job: JobId) -> None:
        load = measure_load(host.state, job, self.now)
        entry = self.hosts.get(job.origin)
        if entry is None or not self.are_linked(host.state.host, job.origin):
            return
        self.after(LINK_DELAY_S, lambda: self._deliver_response(entry, job, load))

    def _deliver_response(self, entry: SimulatedHost, job: JobId, load: Any) -> None:
        exchange = entry.state.exchanges.get(job.exchange)
        is_current = exchange is not None and exchange.job == job
        self.deliver_event(entry, ResponseStarted(job, load))
        self.deliver_event(entry, ResponseEnded(job, complete=True))
        if is_current and not entry.frozen:
            self._record_outcome(entry, job.exchange, Outcome(None, False, self.now))

    def execute_refuse_job(self, host: SimulatedHost, effect: fx.RefuseJob) -> None:
        """Send a refusal to the node that the job came from."""
        entry = self.hosts.get(effect.job.origin)
        if entry is None or not self.are_linked(host.state.host, effect.job.origin):
            return
        event = AttemptRefused(effect.job, effect.refusal, effect.load)
        self.after(LINK_DELAY_S, lambda: self.deliver_event(entry, event))

    def execute_abort(self, host: SimulatedHost, effect: fx.AbortJob) -> None:
        """Cancel a running or queued job on its upstream."""
        run_effect = host.run_effects.pop(effect.job, None)
        for upstream in host.upstreams.values():
            upstream.running.pop(effect.job, None)
            if effect.job in upstream.queued:
                upstream.queued.remove(effect.job)
        if run_effect is not None:
            event = JobFinished(effect.job, RunResult.CANCELLED, response_started=False)
            self.after(0.0, lambda: self.deliver_event(host, event))

    def execute_replay(self, host: SimulatedHost, effect: fx.ReplayResponse) -> None:
        """Send a job's response that was stored by an earlier execution."""
        self._send_response(host, effect.job)

    def execute_refuse(self, host: SimulatedHost, effect: fx.Refuse) -> None:
        """Record that a request was refused."""
        outcome = Outcome(effect.refusal, False, self.now)
        self._record_outcome(host, effect.exchange, outcome)

    def execute_abort_response(
        self, host: SimulatedHost, effect: fx.AbortResponse
    ) -> None:
        """Record that a response broke off."""
        self._record_outcome(host, effect.exchange, Outcome(None, True, self.now))

    def execute_timer(self, host: SimulatedHost, effect: fx.StartTimer) -> None:
        """Schedule the expiry of a job."""
        self.at(effect.at, lambda: self.deliver_event(host, JobExpired(effect.job)))

    def _record_outcome(
        self, host: SimulatedHost, number: ExchangeId, outcome: Outcome
    ) -> None:
        name = self._request_names.get((host.state.host, number))
        if name is not None:
            self.outcomes.setdefault(name, outcome)


def _ignore_effect(fleet: SimulatedFleet, host: SimulatedHost, effect: Any) -> None:
    """Ignore an effect that has no counterpart in the simulation."""


_EFFECT_HANDLERS: dict[type, Callable[[SimulatedFleet, SimulatedHost, Any], None]] = {
    fx.SendControl: SimulatedFleet.execute_control,
    fx.ReadRows: SimulatedFleet.execute_read,
    fx.Transact: SimulatedFleet.execute_transact,
    fx.SendAttempt: SimulatedFleet.execute_attempt,
    fx.CancelAttempt: SimulatedFleet.execute_cancel,
    fx.RunJob: SimulatedFleet.execute_run,
    fx.RefuseJob: SimulatedFleet.execute_refuse_job,
    fx.AbortJob: SimulatedFleet.execute_abort,
    fx.ReplayResponse: SimulatedFleet.execute_replay,
    fx.Refuse: SimulatedFleet.execute_refuse,
    fx.AbortResponse: SimulatedFleet.execute_abort_response,
    fx.StartTimer: SimulatedFleet.execute_timer,
}
