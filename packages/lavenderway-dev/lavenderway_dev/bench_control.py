"""Benchmark of the control plane: cost per node over the number of hosts.

Measures bytes, messages, processor time and memory of a steady fleet, the propagation
of a change and the detection of a failed host, on the deterministic simulation.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING, Any, NamedTuple

from lavenderway_core.ids import HostId
from lavenderway_core.membership import HostState
from lavenderway_core.resources import Kind
from lavenderway_node.codec import decode, encode

from lavenderway_dev.bench_rates import HOST_COUNTS, build_fleet
from lavenderway_dev.bench_registry import benchmark, quantile

if TYPE_CHECKING:
    from lavenderway_dev.simulation import SimulatedFleet

WORKSPACE_COUNT = 8
ROUTE_COUNT = 69
STEADY_DURATION_S = 10.0
SETTLE_DURATION_S = 8.0
POST_JOIN_DURATION_S = 3.0
FRAME_OVERHEAD_BYTES = 14  # WebSocket frame header and mask, without TCP and IP
PROPAGATION_TIMEOUT_S = 30.0
SIMULATION_STEP_S = 0.05
CODEC_ROUNDS = 300


class Traffic:
    """Counter of control messages and their encoded bytes.

    Attributes:
        samples: First message of each type.

    """

    def __init__(self) -> None:
        self.bytes = 0
        self.messages = 0
        self.samples: dict[str, Any] = {}

    def record(self, message: Any) -> None:
        """Count a control message."""
        self.bytes += len(encode(message)) + FRAME_OVERHEAD_BYTES
        self.messages += 1
        self.samples.setdefault(type(message).__name__, message)


class SteadyCost(NamedTuple):
    """Cost of the control plane in a steady fleet.

    Attributes:
        bytes_per_s: Bytes sent and received per second and host.
        messages_per_s: Messages sent and received per second and host.
        reducer_us_per_s: Processor time in microseconds per second and host.
        reads_per_s: Reads of the platform's table per second over the whole fleet.
        memory_kb: Memory of the state per host, in kilobytes.

    """

    bytes_per_s: float
    messages_per_s: float
    reducer_us_per_s: float
    reads_per_s: float
    memory_kb: float


def build_settled_fleet(hosts: int) -> SimulatedFleet:
    """Return a fleet with workspaces, routes and complete membership."""
    fleet = build_fleet(hosts, upstream=False)
    for number in range(hosts):
        name = f"u-{number}"
        service = f"s-{number % ROUTE_COUNT}"
        fleet.add_upstream(f"h-{number}", name, service, slots=8, service_s=0.01)
    for number in range(WORKSPACE_COUNT):
        fleet.add_workspace(f"w-{number}", rate=1000.0, burst=1000.0)
    for number in range(ROUTE_COUNT):
        fleet.add_route(f"r-{number}", f"s-{number}", idempotent=True)
    fleet.run(SETTLE_DURATION_S)
    fleet.populate_membership()
    fleet.run(SETTLE_DURATION_S + POST_JOIN_DURATION_S)
    return fleet


def measure_steady(fleet: SimulatedFleet, memory_kb: float) -> SteadyCost:
    """Measure the cost of control in a fleet without changes."""
    hosts = len(fleet.hosts)
    reads = fleet.table_reads
    started_at = time.process_time()
    fleet.run(fleet.now + STEADY_DURATION_S)
    cpu_s = time.process_time() - started_at
    traffic = Traffic()
    fleet.on_control_message = traffic.record
    fleet.run(fleet.now + STEADY_DURATION_S)
    fleet.on_control_message = None
    host_seconds = hosts * STEADY_DURATION_S
    return SteadyCost(
        2 * traffic.bytes / host_seconds,  # each message is sent once and received once
        2 * traffic.messages / host_seconds,
        cpu_s / host_seconds * 1e6,
        (fleet.table_reads - reads) / (2 * STEADY_DURATION_S),
        memory_kb,
    )


def measure_change(fleet: SimulatedFleet) -> tuple[float, float, float]:
    """Measure the propagation of a configuration change.

    Returns:
        Seconds until half of the hosts that applied the change before the timeout have
        it, seconds until the last of them has it, and control bytes per host.

    """
    traffic = Traffic()
    fleet.on_control_message = traffic.record
    changed_at = fleet.now
    revision = fleet.write(Kind.WORKSPACE, "w-0", {"rate": 900.0, "burst": 900.0})
    times: dict[HostId, float] = {}
    while (
        len(times) < len(fleet.hosts) and fleet.now < changed_at + PROPAGATION_TIMEOUT_S
    ):
        fleet.run(fleet.now + SIMULATION_STEP_S)
        for name, host in fleet.hosts.items():
            if host.state.configuration_store.revision >= revision:
                times.setdefault(name, fleet.now - changed_at)
    fleet.on_control_message = None
    values = list(times.values())
    per_host = 2 * traffic.bytes / len(fleet.hosts)
    return quantile(values, 0.5), max(values), per_host


def measure_failure_detection(fleet: SimulatedFleet) -> tuple[float, float]:
    """Kill a host and measure how the others detect it.

    Returns:
        Seconds until all other hosts regard it as dead, and control bytes per host.

    """
    traffic = Traffic()
    fleet.on_control_message = traffic.record
    killed_host = HostId("h-3")
    fleet.kill(killed_host)
    killed_at = fleet.now
    while fleet.now < killed_at + PROPAGATION_TIMEOUT_S:
        fleet.run(fleet.now + SIMULATION_STEP_S)
        states = [
            h.state.members.records[killed_host].state for h in fleet.hosts.values()
        ]
        if all(state is HostState.DEAD for state in states):
            break
    fleet.on_control_message = None
    return fleet.now - killed_at, 2 * traffic.bytes / len(fleet.hosts)


@benchmark("control")
def bench_control() -> None:
    """Print the cost of control over the number of hosts."""
    print(
        "hosts  bytes/s  msgs/s  reducer µs/s  reads/s fleet  KB state  "
        "change p50/all s  change bytes  death s  death bytes"
    )
    fleet = None
    for hosts in HOST_COUNTS:
        gc.collect()
        tracemalloc.start()
        fleet = build_settled_fleet(hosts)
        memory_kb = tracemalloc.get_traced_memory()[0] / 1000 / hosts
        tracemalloc.stop()
        steady = measure_steady(fleet, memory_kb)
        median_s, slowest_s, change_bytes = measure_change(fleet)
        death_s, death_bytes = measure_failure_detection(fleet)
        print(
            f"{hosts:5d}  {steady.bytes_per_s:7.0f}  {steady.messages_per_s:6.2f}  "
            f"{steady.reducer_us_per_s:12.0f}  {steady.reads_per_s:13.1f}  "
            f"{steady.memory_kb:8.0f}  {median_s:7.2f} / {slowest_s:5.2f}  "
            f"{change_bytes:12.0f}  {death_s:7.2f}  {death_bytes:11.0f}"
        )
    if fleet is not None:
        _print_codec(fleet)


def _print_codec(fleet: SimulatedFleet) -> None:
    """Print the codec's processor time for one message of each type."""
    traffic = Traffic()
    fleet.on_control_message = traffic.record
    fleet.write(Kind.WORKSPACE, "w-1", {"rate": 800.0, "burst": 800.0})
    fleet.run(fleet.now + 3.0)
    for name, message in sorted(traffic.samples.items()):
        started_at = time.process_time()
        for _ in range(CODEC_ROUNDS):
            decode(encode(message))
        cost = (time.process_time() - started_at) / CODEC_ROUNDS * 1e6
        print(f"codec of {name}: {cost:.0f} µs, {len(encode(message))} bytes")
