"""Explores in which orders hosts join and leave, and adds up what they may issue.

Plays every order of a few operations, up to a depth, on the deciding code of the token
owners: `TokenRole`, `TokenOwnerMap`, `HostRegistry` and `ViewAges`. Time is virtual and
messages are operations, so that a message may be lost, late or never sent. States that
were reached before, by operations in another order, are explored once.
"""

from __future__ import annotations

import copy
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.ids import FailureDomainId, HostId, WorkspaceId
from lavenderway_relay.host_registry import HostRegistry
from lavenderway_relay.model import Address, HostRecord
from lavenderway_relay.revision import Revision
from lavenderway_relay.token_owners import TokenOwnerMap
from lavenderway_relay.token_role import (
    LEASE_S,
    SPLIT_SHARE,
    Acknowledgement,
    TokenRole,
)
from lavenderway_relay.view_age import View, ViewAges

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# Waits of half a lease, and a little, let one lease end while a younger one lasts.
STEP_S = LEASE_S * 0.51
WORKSPACES = tuple(WorkspaceId(f"w-{index}") for index in range(8))
TOLERANCE = 1e-9

Operation = tuple[str, ...]
_OPERATIONS: dict[str, Callable[[World, str], Iterator[Operation]]] = {}
_EFFECTS: dict[str, Callable[..., None]] = {}


class Violation(NamedTuple):
    """A state in which the hosts may issue more than one part.

    Attributes:
        workspace: The workspace whose tokens are issued twice.
        total: Sum of the parts that all hosts may issue.
        operations: The operations that lead to the state, in order.

    """

    workspace: WorkspaceId
    total: float
    operations: tuple[Operation, ...]


class Exploration(NamedTuple):
    """Result of an exploration.

    Attributes:
        states: Number of different states reached.
        violation: The first violation found; None if there is none.

    """

    states: int
    violation: Violation | None


@dataclass(kw_only=True)
class Process:
    """Process of one host, with its view of the fleet."""

    record: HostRecord
    role: TokenRole
    registry: HostRegistry = field(default_factory=HostRegistry)
    ages: ViewAges = field(default_factory=ViewAges)
    frozen: bool = False
    has_store: bool = True

    def clone(self) -> Process:
        """Return an independent copy."""
        registry = HostRegistry()
        registry.merge(self.registry.changed_since(Revision(-1, 0)))
        registry.advance_revision(self.registry.revision)
        return replace(
            self,
            registry=registry,
            role=copy.deepcopy(self.role),
            ages=copy.deepcopy(self.ages),
        )


@dataclass(kw_only=True)
class World:
    """The store, and the processes of a few hosts.

    Attributes:
        domains: Failure domain of each host.
        rows: Stored record of each host.
        processes: Running processes, by host.
        cuts: Pairs of hosts whose messages are lost.

    """

    domains: dict[str, str]
    now: float = 0.0
    version: int = 0
    starts: int = 0
    rows: dict[str, HostRecord] = field(default_factory=dict)
    processes: dict[str, Process] = field(default_factory=dict)
    cuts: frozenset[frozenset[str]] = frozenset()

    def clone(self) -> World:
        """Return an independent copy."""
        processes = {host: each.clone() for host, each in self.processes.items()}
        return replace(self, rows=self.rows.copy(), processes=processes)

    def running(self, host: str) -> Process | None:
        """Return the process of a host, if it runs and is not frozen."""
        process = self.processes.get(host)
        return None if process is None or process.frozen else process

    def operations(self) -> Iterator[Operation]:
        """Yield the operations that are possible."""
        yield ("wait",)
        for find in _OPERATIONS.values():
            for host in self.domains:
                yield from find(self, host)

    def apply(self, operation: Operation) -> None:
        """Apply an operation, and update the shares of the running processes."""
        name, *hosts = operation
        _EFFECTS[name](self, *hosts)
        for process in self.processes.values():
            if not process.frozen:
                process.role.share(process.registry.members(), self.now)

    def issued(self, workspace: WorkspaceId) -> float:
        """Return the sum of the parts that all processes may issue.

        Frozen processes are included, as they may wake up at any time.
        """
        return sum(
            self._part(process, workspace) for process in self.processes.values()
        )

    def key(self) -> object:
        """Return a value that is equal for equal states."""

        def age(process: Process) -> float:
            return min(LEASE_S, round(process.ages.age_s(View.HOSTS, self.now), 3))

        processes = tuple(
            (
                host,
                process.frozen,
                process.has_store,
                process.record,
                age(process),
                process.registry.revision,
                tuple(sorted(process.registry.changed_since(Revision(-1, 0)), key=str)),
                _role_key(process.role, self.now),
            )
            for host, process in sorted(self.processes.items())
        )
        return processes, tuple(sorted(self.rows.items())), self.cuts

    def _part(self, process: Process, workspace: WorkspaceId) -> float:
        members = process.registry.members()
        fraction = TokenOwnerMap(members=members).fraction_of(
            workspace, process.record.host
        )
        share = copy.deepcopy(process.role).share(members, self.now)
        expired = process.ages.age_s(View.HOSTS, self.now) >= LEASE_S
        return fraction * share * (SPLIT_SHARE if expired else 1.0)


def _role_key(role: TokenRole, now: float) -> tuple[object, ...]:
    """Return a value that is equal for roles that decide alike from now on."""
    fields = dict(vars(role))
    requested_at = fields.pop("_requested_at")
    waited_s = None if requested_at is None else round(now - requested_at, 3)
    acknowledged_by = frozenset(fields.pop("_acknowledged_by"))
    return (*fields.values(), acknowledged_by, waited_s and min(LEASE_S, waited_s))


def explore(
    domains: dict[str, str],
    *,
    prelude: tuple[Operation, ...] = (),
    depth: int,
    without: frozenset[str] = frozenset(),
) -> Exploration:
    """Play every order of operations up to a depth.

    Args:
        domains: Failure domain of each host.
        prelude: Operations that are played first, in this order.
        depth: Number of operations played after the prelude, at most.
        without: Names of operations to leave out.

    """
    world = World(domains=domains)
    for operation in prelude:
        world.apply(operation)
    seen = {world.key()}
    queue = deque([(world, prelude)])
    while queue:
        world, played = queue.popleft()
        if len(played) - len(prelude) == depth:
            continue
        for operation in tuple(world.operations()):
            if operation[0] in without:
                continue
            after = world.clone()
            after.apply(operation)
            key = after.key()
            if key in seen:
                continue
            seen.add(key)
            operations = (*played, operation)
            for workspace in WORKSPACES:
                total = after.issued(workspace)
                if total > 1 + TOLERANCE:
                    violation = Violation(workspace, total, operations)
                    return Exploration(len(seen), violation)
            queue.append((after, operations))
    return Exploration(len(seen), None)


def list_join_operations(
    host: str, others: tuple[str, ...] = ()
) -> tuple[Operation, ...]:
    """Return the operations by which a host joins a fleet without disruption."""
    return (
        ("start", host),
        ("write", host),
        ("read", host),
        *(("ask", host, other) for other in others),
        ("write", host),
    )


def _operation(
    name: str, possible: Callable[[World, str], Iterator[Operation]]
) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Register the effect of an operation, and when it is possible."""

    def register(effect: Callable[..., None]) -> Callable[..., None]:
        _OPERATIONS[name] = possible
        _EFFECTS[name] = effect
        return effect

    return register


def _is_down(world: World, host: str) -> Iterator[Operation]:
    if host not in world.processes:
        yield "start", host


@_operation("start", _is_down)
def _start(world: World, host: str) -> None:
    """Start a process, which reads the store first."""
    world.starts += 1
    domain = FailureDomainId(world.domains[host])
    process = Process(
        record=HostRecord(
            host=HostId(host),
            address=Address("10.0.0.1", 1),
            failure_domain=domain,
            serving=True,
            upstream=None,
            started_ms=world.starts,
        ),
        role=TokenRole(host=HostId(host), failure_domain=domain),
    )
    world.processes[host] = process
    _read(world, host)
    stored = world.rows.get(host)
    if stored is not None and stored.joined and not stored.retired:
        process.role.restore()


def _can_use_store(name: str) -> Callable[[World, str], Iterator[Operation]]:
    def possible(world: World, host: str) -> Iterator[Operation]:
        process = world.running(host)
        if process is not None and process.has_store:
            yield name, host

    return possible


@_operation("write", _can_use_store("write"))
def _write(world: World, host: str) -> None:
    process = world.processes[host]
    known = process.registry.find(HostId(host))
    record = replace(process.record, joined=process.role.joined)
    if known is not None and replace(known, revision=record.revision) == record:
        return
    world.version += 1
    stored = replace(record, revision=Revision(0, world.version))
    world.rows[host] = stored
    process.registry.merge([stored])


@_operation("read", _can_use_store("read"))
def _read(world: World, host: str) -> None:
    """Read the store; the own record is covered afterwards if it was written."""
    process = world.processes[host]
    process.registry.merge(world.rows.values())
    process.registry.advance_revision(Revision(0, world.version))
    process.ages.confirm(View.HOSTS, world.now)
    stored = world.rows.get(host)
    if stored is not None and stored.started_ms == process.record.started_ms:
        process.role.request(world.now)


def _can_ask(world: World, host: str) -> Iterator[Operation]:
    process = world.running(host)
    if process is None or process.role.joined:
        return
    own = process.registry.find(HostId(host))
    if own is None or own.started_ms != process.record.started_ms:
        return
    if process.registry.revision < own.revision:
        return
    for record in process.registry.members():
        is_cut = frozenset((host, record.host)) in world.cuts
        if record.host != host and world.running(record.host) and not is_cut:
            yield "ask", host, record.host
            yield "ask, no reply", host, record.host


@_operation("ask", _can_ask)
def _ask(world: World, host: str, other: str) -> None:
    _ask_without_reply(world, host, other)
    asking, asked = world.processes[host], world.processes[other]
    known = asked.registry.find(HostId(host))
    if known is None or known.retired or known.started_ms != asking.record.started_ms:
        return
    asking.role.record_acknowledgement(_acknowledge(asked))


def _acknowledge(process: Process) -> Acknowledgement:
    record = process.record
    return Acknowledgement(record.host, record.failure_domain, process.role.established)


def _never(world: World, host: str) -> Iterator[Operation]:
    """Yield nothing, as another operation yields this one."""
    yield from ()


@_operation("ask, no reply", _never)
def _ask_without_reply(world: World, host: str, other: str) -> None:
    asking, asked = world.processes[host], world.processes[other]
    own = asking.registry.find(HostId(host))
    if own is not None:
        asked.registry.merge([own])
        asked.role.record_acknowledgement(_acknowledge(asking))


@_operation("wait", _never)
def _wait(world: World) -> None:
    world.now += STEP_S


def _runs(name: str, flag: str) -> Callable[[World, str], Iterator[Operation]]:
    def possible(world: World, host: str) -> Iterator[Operation]:
        process = world.processes.get(host)
        if process is not None and getattr(process, flag) is (name == "thaw"):
            yield name, host

    return possible


@_operation("freeze", _runs("freeze", "frozen"))
def _freeze(world: World, host: str) -> None:
    world.processes[host].frozen = True


@_operation("thaw", _runs("thaw", "frozen"))
def _thaw(world: World, host: str) -> None:
    world.processes[host].frozen = False


def _has_store(world: World, host: str) -> Iterator[Operation]:
    process = world.processes.get(host)
    if process is not None:
        yield ("lose store" if process.has_store else "regain store"), host


@_operation("lose store", _has_store)
def _lose_store(world: World, host: str) -> None:
    world.processes[host].has_store = False


@_operation("regain store", _never)
def _regain_store(world: World, host: str) -> None:
    world.processes[host].has_store = True


def _can_be_cut(world: World, host: str) -> Iterator[Operation]:
    for other in world.domains:
        if host < other:
            is_cut = frozenset((host, other)) in world.cuts
            yield ("heal" if is_cut else "cut"), host, other


@_operation("cut", _can_be_cut)
def _cut(world: World, host: str, other: str) -> None:
    world.cuts |= {frozenset((host, other))}


@_operation("heal", _never)
def _heal(world: World, host: str, other: str) -> None:
    world.cuts -= {frozenset((host, other))}


def _is_up(world: World, host: str) -> Iterator[Operation]:
    if host in world.processes:
        yield "kill", host


@_operation("kill", _is_up)
def _kill(world: World, host: str) -> None:
    del world.processes[host]


def _can_leave(world: World, host: str) -> Iterator[Operation]:
    process = world.running(host)
    if process is not None and process.record.serving:
        yield "leave", host


@_operation("leave", _can_leave)
def _leave(world: World, host: str) -> None:
    """Release the role; a later write tells the fleet."""
    process = world.processes[host]
    process.role.release()
    process.record = replace(process.record, serving=False)
