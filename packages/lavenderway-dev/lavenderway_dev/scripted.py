"""Reducers with scripted fakes at their interfaces, on one virtual clock.

Each host is a real `NodeState`; peers, the platform's table and upstreams are fakes
that can be cut off, frozen, slowed or made to lose answers. It is a harness for focused
tests of failures: it models no queues, bandwidth or scheduling.
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
from lavenderway_core.directory import digest_secret
from lavenderway_core.events import (
    AnswerRecorded,
    AttemptAnswered,
    AttemptDone,
    AttemptLost,
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
    RowsRead,
    RunResult,
    StopRequested,
    Ticked,
    TransactSettled,
    UpstreamAnnounced,
    UpstreamLeft,
)
from lavenderway_core.gossip import JOIN_ROUNDS
from lavenderway_core.hosting import load_of
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
TICK_S = 0.1
ANNOUNCE_S = 0.5


class Outcome(NamedTuple):
    """How a scripted request ended.

    Attributes:
        refusal: None for a whole answer.
        at: Virtual time of the end, in seconds.

    """

    refusal: Refusal | None
    broken: bool
    at: float


class ScriptedUpstream:
    """Fake upstream with slots and a service time.

    Args:
        service: Its service.
        slots: Requests that it runs at once.
        service_s: Seconds per request.

    """

    def __init__(self, *, service: str, slots: int, service_s: float) -> None:
        self.service = service
        self.slots = slots
        self.service_s = service_s
        self.frozen = False
        self.announces = True
        self.dies_after_run = False
        self.executions: Counter[str] = Counter()
        self.busy: dict[JobId, float] = {}
        self.waiting: list[JobId] = []


class ScriptedHost:
    """A reducer with what belongs to its host."""

    def __init__(self, *, state: NodeState) -> None:
        self.state = state
        self.frozen = False
        self.killed = False
        self.held_back: list[tuple[Event, int]] = []
        self.upstreams: dict[UpstreamId, ScriptedUpstream] = {}
        self.runs: dict[JobId, fx.RunJob] = {}


class ScriptedFleet:
    """Hosts and fakes on one clock.

    Args:
        seed: Seed of all random choices.
        tick_s: Interval of the hosts' ticks, in seconds.

    """

    def __init__(self, *, seed: int, tick_s: float = TICK_S) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.table = Table()
        self.hosts: dict[HostId, ScriptedHost] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.spent: list[tuple[float, str]] = []
        self.begun: list[tuple[float, str]] = []
        self._admitted: set[JobId] = set()
        self.table_down = False
        self.lose_answers = 0
        self.cut_from_table: set[FailureDomainId] = set()
        self.cut_links: set[frozenset[FailureDomainId]] = set()
        self.messages: Counter[str] = Counter()
        self.on_control: Callable[[Any], None] | None = None
        self.table_reads = 0
        self.table_writes = 0
        self._tick_s = tick_s
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._exchanges = itertools.count(1)
        self._names: dict[tuple[HostId, ExchangeId], str] = {}
        self._requests: dict[tuple[HostId, int], float] = {}

    def add_host(
        self,
        name: str,
        domain: str,
        *,
        incarnation: int = 1,
        seeds: tuple[str, ...] = (),
    ) -> ScriptedHost:
        """Add and start a host; a name that is known is a restart."""
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
        host = ScriptedHost(state=state)
        self.hosts[state.host] = host
        self.after(self.random.random() * self._tick_s, lambda: self._tick(host))
        return host

    def add_upstream(
        self, host: str, name: str, service: str, *, slots: int, service_s: float
    ) -> ScriptedUpstream:
        """Add an upstream to a host; it announces itself."""
        upstream = ScriptedUpstream(service=service, slots=slots, service_s=service_s)
        target = self.hosts[HostId(host)]
        target.upstreams[UpstreamId(name)] = upstream
        self.announce(target, UpstreamId(name))
        return upstream

    def write(self, kind: Kind, name: str, spec: dict[str, object] | None) -> Revision:
        """Write a resource straight into the table, as an operator's node would."""
        self.table.revision += 1
        self.table.write(row_key(kind, name), {"spec": spec}, None, self.now)
        return Revision(self.table.revision)

    def add_workspace(self, name: str, *, rate: float, burst: float) -> str:
        """Write a workspace with a key; return the key's secret."""
        self.write(Kind.WORKSPACE, name, {"rate": rate, "burst": burst})
        secret = f"secret-of-{name}"
        spec: dict[str, object] = {"workspace": name, "digest": digest_secret(secret)}
        self.write(Kind.KEY, name, spec)
        return secret

    def add_route(self, name: str, service: str, **spec: object) -> None:
        """Write a route with the prefix `/name`."""
        document = {"path_prefix": f"/{name}", "service": service, **spec}
        self.write(Kind.ROUTE, name, document)

    def request(
        self, host: str, path: str, *, secret: str = "", idempotency_key: str = ""
    ) -> str:
        """Send a request to a host now; return its name in `outcomes`."""
        number = ExchangeId(next(self._exchanges))
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
        call = identify(target.state.directory, head, target.state.host, self.now)
        if isinstance(call, Refusal):
            self.outcomes[name] = Outcome(call, False, self.now)
            return name
        self._names[target.state.host, number] = name
        self.at(call.deadline, lambda: self.give(target, DeadlinePassed(number)))
        self.give(target, RequestArrived(number, call, "fingerprint"))
        return name

    def freeze(self, host: str) -> None:
        """Stop a host's process; what comes meanwhile waits."""
        self.hosts[HostId(host)].frozen = True

    def thaw(self, host: str) -> None:
        """Let a frozen host go on."""
        target = self.hosts[HostId(host)]
        target.frozen = False
        held_back, target.held_back = target.held_back, []
        for event, _ in held_back:
            self.give(target, event)

    def kill(self, host: str) -> None:
        """End a host's process with all that it runs; its upstreams live on."""
        target = self.hosts.pop(HostId(host))
        target.killed = True
        for other in self.hosts.values():
            self._lose_link(other, target.state.host)

    def stop(self, host: str) -> None:
        """Begin a planned stop of a host."""
        self.give(self.hosts[HostId(host)], StopRequested())

    def cut(self, left: str, right: str) -> None:
        """Cut two failure domains off from each other."""
        pair = frozenset({FailureDomainId(left), FailureDomainId(right)})
        self.cut_links.add(pair)

    def heal(self) -> None:
        """End all cuts."""
        self.cut_links.clear()
        self.cut_from_table.clear()

    def run(self, until: float) -> None:
        """Let virtual time pass."""
        while self._queue and self._queue[0][0] <= until:
            at, _, action = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            action()
        self.now = until

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Do something at a virtual time."""
        heapq.heappush(self._queue, (time_s, next(self._sequence), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a delay."""
        self.at(self.now + delay_s, action)

    def give(self, host: ScriptedHost, event: Event) -> None:
        """Give an event to a host and carry out the effects."""
        if host.killed:
            return
        if host.frozen:
            if not isinstance(event, Ticked):
                host.held_back.append((event, 0))
            return
        for effect in reduce(host.state, event, self.now):
            self._note_admission(host, effect)
            _EXECUTORS.get(type(effect), _ignore)(self, host, effect)

    def executions(self) -> Counter[str]:
        """Return how often each request ran on any upstream."""
        total: Counter[str] = Counter()
        for host in self.hosts.values():
            for upstream in host.upstreams.values():
                total += upstream.executions
        return total

    def held_rate(self, workspace: str) -> float:
        """Return the rate that hosts hold in allotments now."""
        return sum(
            allotment.share.rate_per_s
            for host in self.hosts.values()
            for allotment in host.state.allotments.values()
            if allotment.id.workspace == workspace and allotment.is_held(self.now)
        )

    def linked(self, left: HostId, right: HostId) -> bool:
        """Tell whether two hosts reach each other."""
        if left not in self.hosts or right not in self.hosts:
            return False
        one = self.hosts[left].state.failure_domain
        other = self.hosts[right].state.failure_domain
        return one == other or frozenset({one, other}) not in self.cut_links

    def leave(self, host: str) -> None:
        """Have a host's upstreams leave."""
        target = self.hosts[HostId(host)]
        for name, upstream in target.upstreams.items():
            upstream.announces = False
            self.give(target, UpstreamLeft(name))

    def introduce_all(self) -> None:
        """Have every host know every other, as in a fleet that has run for long."""
        records = [host.state.members.own for host in self.hosts.values()]
        for host in self.hosts.values():
            host.state.gossip.rounds = JOIN_ROUNDS
            for record in records:
                host.state.members.merge(record)

    def _note_admission(self, host: ScriptedHost, effect: fx.Effect) -> None:
        """Record when a request has passed the rate: with its first attempt."""
        job = getattr(effect, "job", None)
        if job is None and isinstance(effect, fx.Transact):
            job = effect.ticket.job
        if job is None or job.origin != host.state.host or job.attempt != 1:
            return
        if job in self._admitted:
            return
        self._admitted.add(job)
        exchange = host.state.exchanges.get(job.exchange)
        if exchange is not None and exchange.call.workspace is not None:
            self.spent.append((self.now, exchange.call.workspace))

    def _tick(self, host: ScriptedHost) -> None:
        if host.killed:
            return
        self.give(host, Ticked())
        self.after(self._tick_s, lambda: self._tick(host))

    def announce(self, host: ScriptedHost, name: UpstreamId) -> None:
        """Have an upstream announce itself, and again at intervals."""
        upstream = host.upstreams.get(name)
        if upstream is None or host.killed:
            return
        if upstream.announces:
            service = ServiceId(upstream.service)
            event = UpstreamAnnounced(name, service, f"{name}:80", draining=False)
            self.give(host, event)
        self.after(ANNOUNCE_S, lambda: self.announce(host, name))

    def _lose_link(self, host: ScriptedHost, lost: HostId) -> None:
        for exchange in list(host.state.exchanges.values()):
            if exchange.peer == lost and exchange.job is not None:
                self.give(host, AttemptLost(exchange.job, sent=True))
        for job in [job for job in host.state.jobs if job.origin == lost]:
            self.give(host, JobCancelled(job))

    def execute_control(self, host: ScriptedHost, effect: fx.SendControl) -> None:
        """Deliver a control message after the delay of a link."""
        sender = host.state.host
        message = effect.message
        self.messages[type(message).__name__] += 1
        if self.on_control is not None:
            self.on_control(message)
        name = type(message).__name__
        number = getattr(message, "number", 0)
        if name.endswith("Request"):
            self._requests[sender, number] = self.now
            failed = ControlFailed(effect.peer, number)
            self.after(CONTROL_TIMEOUT_S, lambda: self._fail(host, number, failed))
        receiver = HostId(effect.address.split(":")[0])
        if not self.linked(sender, receiver):
            return
        self.after(LINK_DELAY_S, lambda: self._deliver(sender, receiver, message))

    def _fail(self, host: ScriptedHost, number: int, event: ControlFailed) -> None:
        if self._requests.pop((host.state.host, number), None) is not None:
            self.give(host, event)

    def _deliver(self, sender: HostId, receiver: HostId, message: Any) -> None:
        target = self.hosts.get(receiver)
        if target is None or not self.linked(sender, receiver):
            return
        asked_at = self.now
        if type(message).__name__.endswith("Reply"):
            sent = self._requests.pop((receiver, message.number), None)
            if sent is None:
                return
            asked_at = sent
        self.give(target, ControlReceived(Envelope(sender, message), asked_at))

    def execute_read(self, host: ScriptedHost, effect: fx.ReadRows) -> None:
        """Read the table after its delay."""
        self.table_reads += 1
        asked_at = self.now
        if self._table_away(host):
            event = RowsRead(effect.ticket, None, Revision(0), asked_at)
            self.after(TABLE_TIMEOUT_S, lambda: self.give(host, event))
            return
        found = self.table.read(effect.prefix, effect.since, self.now)
        rows = tuple(Row(r["key"], r["version"], r["value"]) for r in found)  # type: ignore[arg-type]
        revision = Revision(self.table.revision)
        event = RowsRead(effect.ticket, rows, revision, asked_at)
        self.after(TABLE_DELAY_S, lambda: self.give(host, event))

    def execute_transact(self, host: ScriptedHost, effect: fx.Transact) -> None:
        """Write the table after its delay; the answer may be lost."""
        self.table_writes += 1
        asked_at = self.now
        if self._table_away(host):
            self._settle(host, effect, TransactOutcome.UNKNOWN, asked_at)
            return
        self.after(TABLE_DELAY_S, lambda: self._commit(host, effect, asked_at))

    def _commit(self, host: ScriptedHost, effect: fx.Transact, asked_at: float) -> None:
        for key, version in effect.conditions:
            if self.table.version(key, self.now) != version:
                self._settle(host, effect, TransactOutcome.CONFLICT, asked_at)
                return
        self.table.revision += 1
        for key, value, ttl_s in effect.writes:
            self.table.write(key, value, ttl_s, self.now)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            self._settle(host, effect, TransactOutcome.UNKNOWN, asked_at)
            return
        self._settle(host, effect, TransactOutcome.COMMITTED, asked_at)

    def _settle(
        self,
        host: ScriptedHost,
        effect: fx.Transact,
        outcome: TransactOutcome,
        asked_at: float,
    ) -> None:
        versions: dict[str, int] = {}
        rows: tuple[Row, ...] = ()
        if outcome is TransactOutcome.COMMITTED:
            versions = {write.key: self.table.revision for write in effect.writes}
        if outcome is TransactOutcome.CONFLICT:
            keys = [key for key, _ in effect.conditions if key in self.table.rows]
            held = [(key, self.table.rows[key]) for key in keys]
            rows = tuple(Row(key, row.version, row.value) for key, row in held)
        event = TransactSettled(effect.ticket, outcome, versions, rows, asked_at)
        away = outcome is TransactOutcome.UNKNOWN
        delay_s = TABLE_TIMEOUT_S if away else TABLE_DELAY_S
        self.after(delay_s, lambda: self.give(host, event))

    def _table_away(self, host: ScriptedHost) -> bool:
        return self.table_down or host.state.failure_domain in self.cut_from_table

    def execute_attempt(self, host: ScriptedHost, effect: fx.SendAttempt) -> None:
        """Deliver an attempt to a peer."""
        sender = host.state.host
        if effect.peer not in self.hosts:
            event = AttemptLost(effect.job, sent=False)
            self.after(LINK_DELAY_S, lambda: self.give(host, event))
            return
        if not self.linked(sender, effect.peer):
            lost = AttemptLost(effect.job, sent=False)
            self.after(CONTROL_TIMEOUT_S, lambda: self.give(host, lost))
            return
        target = self.hosts[effect.peer]
        arrived = JobArrived(effect.job, effect.spec)
        self.after(LINK_DELAY_S, lambda: self.give(target, arrived))

    def execute_cancel(self, host: ScriptedHost, effect: fx.CancelAttempt) -> None:
        """Deliver a cancellation to a peer."""
        target = self.hosts.get(effect.peer)
        if target is not None and self.linked(host.state.host, effect.peer):
            event = JobCancelled(effect.job)
            self.after(LINK_DELAY_S, lambda: self.give(target, event))

    def execute_run(self, host: ScriptedHost, effect: fx.RunJob) -> None:
        """Give a job to the fake upstream."""
        upstream = host.upstreams[effect.upstream]
        host.runs[effect.job] = effect
        if len(upstream.busy) < upstream.slots:
            self._begin(host, upstream, effect.job)
        else:
            upstream.waiting.append(effect.job)

    def _begin(
        self, host: ScriptedHost, upstream: ScriptedUpstream, job: JobId
    ) -> None:
        effect = host.runs[job]
        upstream.executions[effect.context.root] += 1
        self.begun.append((self.now, host.state.host))
        upstream.busy[job] = self.now
        if not upstream.frozen:
            self.after(upstream.service_s, lambda: self._end(host, upstream, job))

    def _end(self, host: ScriptedHost, upstream: ScriptedUpstream, job: JobId) -> None:
        if upstream.busy.pop(job, None) is None:
            return
        effect = host.runs.pop(job, None)
        if upstream.waiting:
            self._begin(host, upstream, upstream.waiting.pop(0))
        if effect is None or host.killed:
            return
        if upstream.dies_after_run:
            self.give(host, JobFinished(job, RunResult.BROKEN, answered=False))
            return
        self._answer(host, job)
        if effect.keep_answer:
            self.give(host, AnswerRecorded(job, {"status": 200, "body": ""}))
        self.give(host, JobFinished(job, RunResult.WHOLE, answered=True))

    def _answer(self, host: ScriptedHost, job: JobId) -> None:
        load = load_of(host.state, job, self.now)
        entry = self.hosts.get(job.origin)
        if entry is None or not self.linked(host.state.host, job.origin):
            return
        self.after(LINK_DELAY_S, lambda: self._pass_answer(entry, job, load))

    def _pass_answer(self, entry: ScriptedHost, job: JobId, load: Any) -> None:
        exchange = entry.state.exchanges.get(job.exchange)
        current = exchange is not None and exchange.job == job
        self.give(entry, AttemptAnswered(job, load))
        self.give(entry, AttemptDone(job, whole=True))
        if current and not entry.frozen:
            self._finish(entry, job.exchange, Outcome(None, False, self.now))

    def execute_refuse_job(self, host: ScriptedHost, effect: fx.RefuseJob) -> None:
        """Deliver a refusal to the entry node."""
        entry = self.hosts.get(effect.job.origin)
        if entry is None or not self.linked(host.state.host, effect.job.origin):
            return
        event = AttemptRefused(effect.job, effect.refusal, effect.load)
        self.after(LINK_DELAY_S, lambda: self.give(entry, event))

    def execute_abort(self, host: ScriptedHost, effect: fx.AbortJob) -> None:
        """Cancel a job at the fake upstream."""
        run = host.runs.pop(effect.job, None)
        for upstream in host.upstreams.values():
            upstream.busy.pop(effect.job, None)
            if effect.job in upstream.waiting:
                upstream.waiting.remove(effect.job)
        if run is not None:
            event = JobFinished(effect.job, RunResult.CANCELLED, answered=False)
            self.after(0.0, lambda: self.give(host, event))

    def execute_replay(self, host: ScriptedHost, effect: fx.ReplayAnswer) -> None:
        """Answer a job with a kept answer."""
        self._answer(host, effect.job)

    def execute_refuse(self, host: ScriptedHost, effect: fx.Refuse) -> None:
        """Record a refusal."""
        outcome = Outcome(effect.refusal, False, self.now)
        self._finish(host, effect.exchange, outcome)

    def execute_break(self, host: ScriptedHost, effect: fx.BreakAnswer) -> None:
        """Record a broken answer."""
        self._finish(host, effect.exchange, Outcome(None, True, self.now))

    def execute_timer(self, host: ScriptedHost, effect: fx.StartTimer) -> None:
        """Report a job's expiry."""
        self.at(effect.at, lambda: self.give(host, JobExpired(effect.job)))

    def _finish(self, host: ScriptedHost, number: ExchangeId, outcome: Outcome) -> None:
        name = self._names.get((host.state.host, number))
        if name is not None:
            self.outcomes.setdefault(name, outcome)


def _ignore(fleet: ScriptedFleet, host: ScriptedHost, effect: Any) -> None:
    """Do nothing for effects that a script does not look at."""


_EXECUTORS: dict[type, Callable[[ScriptedFleet, ScriptedHost, Any], None]] = {
    fx.SendControl: ScriptedFleet.execute_control,
    fx.ReadRows: ScriptedFleet.execute_read,
    fx.Transact: ScriptedFleet.execute_transact,
    fx.SendAttempt: ScriptedFleet.execute_attempt,
    fx.CancelAttempt: ScriptedFleet.execute_cancel,
    fx.RunJob: ScriptedFleet.execute_run,
    fx.RefuseJob: ScriptedFleet.execute_refuse_job,
    fx.AbortJob: ScriptedFleet.execute_abort,
    fx.ReplayAnswer: ScriptedFleet.execute_replay,
    fx.Refuse: ScriptedFleet.execute_refuse,
    fx.BreakAnswer: ScriptedFleet.execute_break,
    fx.StartTimer: ScriptedFleet.execute_timer,
}
