"""Benchmark of the latency added by one node, and by an entry and a host node."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path
from typing import TYPE_CHECKING

from lavenderway_dev.bench_registry import benchmark, quantile
from lavenderway_dev.fleet import Fleet, HostPlan, UpstreamPlan
from lavenderway_dev.raw_client import RawClient, build_request

if TYPE_CHECKING:
    from collections.abc import Callable

RATE_PER_S = 80
DURATION_S = 12.0
WARM_UP_S = 3.0
SATURATION_DURATION_S = 4.0
SATURATION_CONNECTIONS = 16
IDLE_DURATION_S = 5.0
REQUEST_TIMEOUT_S = 5.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def build_fleet() -> Fleet:
    """Return a fleet of two hosts in one failure domain, with one upstream."""
    echo = UpstreamPlan("echo-1", "echo", slots=1000, service_ms=0.0)
    return Fleet(plans=[HostPlan("h-1", "a", (echo,)), HostPlan("h-2", "a", ())])


def create_resources(fleet: Fleet) -> str:
    """Create a workspace, a key and a route; return the key's secret."""
    fleet.wait_until_serving({"echo"})
    rate = {"rate": 1e6, "burst": 1e6}
    fleet.call_operator_api("PUT", "/v1/workspaces/bench", {"spec": rate})
    created_key = fleet.call_operator_api(
        "PUT", "/v1/keys/bench", {"spec": {"workspace": "bench"}}
    )
    route = {"path_prefix": "/", "service": "echo", "idempotent": True}
    created_route = fleet.call_operator_api(
        "PUT", "/v1/routes/all", {"spec": route}
    ).json()
    fleet.wait_until_in_force(created_route["revision"])
    fleet.wait_until_allotted("bench")
    return str(created_key.json()["secret"])


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time used by a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measure_paced(
    paths: dict[str, tuple[RawClient, bytes]], rate_per_s: float, duration_s: float
) -> dict[str, list[float]]:
    """Send requests at a constant rate to all paths, interleaved.

    Args:
        paths: Client and encoded request of each path through the fleet, by its name.
        rate_per_s: Request rate on each path.
        duration_s: Duration including the warm-up, in seconds.

    Returns:
        Latencies after the warm-up in milliseconds, by path name.

    Raises:
        RuntimeError: A request was not answered with status 200.

    """
    latencies: dict[str, list[float]] = {name: [] for name in paths}
    tasks: set[asyncio.Task[None]] = set()
    started_at = time.perf_counter()

    async def send(name: str, measured: bool) -> None:
        client, data = paths[name]
        at = time.perf_counter()
        response = await client.request(data, REQUEST_TIMEOUT_S)
        if response.status != 200:
            raise RuntimeError(f"{name}: status {response.status}, expected 200")
        if measured:
            latencies[name].append((time.perf_counter() - at) * 1000)

    number = 0
    while (elapsed := time.perf_counter() - started_at) < duration_s:
        for offset, name in enumerate(paths):
            due = (number + offset / len(paths)) / rate_per_s
            await asyncio.sleep(max(0.0, due - (time.perf_counter() - started_at)))
            task = asyncio.create_task(send(name, elapsed > WARM_UP_S))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        number += 1
    await asyncio.gather(*tasks)
    return latencies


async def measure_saturated(client: RawClient, data: bytes) -> float:
    """Return the throughput of a closed loop of connections, in requests per second."""
    done = 0
    ends_at = time.perf_counter() + SATURATION_DURATION_S

    async def loop() -> None:
        nonlocal done
        while time.perf_counter() < ends_at:
            response = await client.request(data, REQUEST_TIMEOUT_S)
            done += response.status == 200

    await asyncio.gather(*(loop() for _ in range(SATURATION_CONNECTIONS)))
    return done / SATURATION_DURATION_S


@benchmark("hops")
def bench_hops() -> None:
    """Print the latency that nodes add and its ratio to the direct path."""
    with build_fleet() as fleet:
        secret = create_resources(fleet)
        asyncio.run(_measure_hops(fleet, secret))


async def _measure_hops(fleet: Fleet, secret: str) -> None:
    host_node, entry_node = fleet.hosts["h-1"], fleet.hosts["h-2"]
    data = build_request("/echo", fields={"Authorization": f"Bearer {secret}"})
    direct_request = build_request("/echo", fields={"Lavenderway-Request-Id": "direct"})
    paths = {
        "direct": (RawClient(port=host_node.upstream_ports["echo-1"]), direct_request),
        "one node": (RawClient(port=host_node.ports.callers), data),
        "entry + host": (RawClient(port=entry_node.ports.callers), data),
    }
    _print_idle(fleet)
    latencies = await measure_paced(paths, RATE_PER_S, DURATION_S)
    direct = latencies["direct"]
    base50, base99 = quantile(direct, 0.5), quantile(direct, 0.99)
    print(f"at {RATE_PER_S}/s    p50 ms  p99 ms  added p50  added p99  ratio p50")
    for name, values in latencies.items():
        p50, p99 = quantile(values, 0.5), quantile(values, 0.99)
        added = f"{p50 - base50:9.2f}  {p99 - base99:9.2f}  {p50 / base50:9.2f}"
        print(f"{name:<13} {p50:7.2f} {p99:7.2f}  {added}")
    for name, (client, request) in paths.items():
        await _print_saturated(fleet, name, lambda: measure_saturated(client, request))  # noqa: B023
        client.close()


async def _print_saturated(
    fleet: Fleet, name: str, measure: Callable[[], object]
) -> None:
    pids = {n: host.node.pid for n, host in fleet.hosts.items() if host.node}
    before = {host: read_cpu_seconds(pid) for host, pid in pids.items()}
    rate = await measure()  # type: ignore[misc]
    cpu_s = {host: read_cpu_seconds(pid) - before[host] for host, pid in pids.items()}
    done = rate * SATURATION_DURATION_S
    costs = ", ".join(f"{h} {cpu / done * 1e6:.0f}" for h, cpu in cpu_s.items())
    print(f"{name:<13} saturated at {rate:.0f}/s; node processor µs/request: {costs}")


def _print_idle(fleet: Fleet) -> None:
    pids = [host.node.pid for host in fleet.hosts.values() if host.node]
    before = [read_cpu_seconds(pid) for pid in pids]
    time.sleep(IDLE_DURATION_S)
    cpu_s = [read_cpu_seconds(p) - b for p, b in zip(pids, before, strict=True)]
    share = max(cpu_s) / IDLE_DURATION_S * 100
    memory = max(read_resident_mb(pid) for pid in pids)
    print(f"idle node: {memory:.0f} MB resident, {share:.2f}% of a core")
