"""Benchmark of fleet-wide rate limits, compared with two baseline schemes.

Compares allotments with loans, an equal static split over all hosts, and one counter
in the platform's table. All schemes get the same arrivals.
"""

from __future__ import annotations

from functools import partial
from random import Random
from typing import NamedTuple

from lavenderway_core.bucket import TokenBucket

from lavenderway_dev.bench_registry import benchmark
from lavenderway_dev.simulation import SimulatedFleet

HOST_COUNTS = (14, 56, 224, 710)
DOMAINS = ("saskatoon", "regina", "brandon", "winnipeg")
RATE_PER_S = 200.0
BURST = 200.0
LOAD_RATIO = 0.8  # demand below the rate, so that every refusal is wrong
DURATION_S = 20.0
HOTSPOT_DURATION_S = 5.0
TABLE_WRITES_PER_S = 400.0
WARM_UP_S = 8.0
TICK_S = 0.25


class Arrival(NamedTuple):
    """Arrival of a request.

    Attributes:
        at: Time since the start of the load, in seconds.
        host: Index of the host that receives the request.

    """

    at: float
    host: int


class Result(NamedTuple):
    """Result of one scheme.

    Attributes:
        served: Number of admitted requests.
        overshoot: Maximum admissions above burst plus rate times length, over all
            intervals.
        table_per_s: Table operations per second.

    """

    served: int
    overshoot: float
    table_per_s: float


def generate_arrivals(hosts: int, *, skewed: bool, ratio: float) -> list[Arrival]:
    """Return Poisson arrivals.

    Args:
        hosts: Number of hosts.
        skewed: Whether all requests arrive at one host at a time, which changes every
            `HOTSPOT_DURATION_S`.
        ratio: Demand relative to the rate.

    """
    random = Random(hosts)
    arrivals: list[Arrival] = []
    at = 0.0
    while at < DURATION_S:
        at += random.expovariate(RATE_PER_S * ratio)
        hotspot = int(at / HOTSPOT_DURATION_S) * 7 % hosts
        arrivals.append(Arrival(at, hotspot if skewed else random.randrange(hosts)))
    return arrivals


def measure_overshoot(times: list[float]) -> float:
    """Return the maximum admissions above `burst + rate * t` over all intervals."""
    lowest, worst = float("inf"), 0.0
    for number, at in enumerate(sorted(times)):
        level = number - RATE_PER_S * at
        lowest = min(lowest, level)
        worst = max(worst, level - lowest + 1 - BURST)
    return worst


def run_loans(hosts: int, arrivals: list[Arrival]) -> Result:
    """Run allotments with loans on the deterministic simulation."""
    fleet = build_fleet(hosts)
    secret = fleet.add_workspace("coulee", rate=RATE_PER_S, burst=BURST)
    fleet.add_route("orders", "certify", idempotent=False)
    fleet.run(WARM_UP_S)
    names = list(fleet.hosts)
    operations = fleet.table_reads + fleet.table_writes
    for arrival in arrivals:
        fleet.at(
            WARM_UP_S + arrival.at,
            partial(_send, fleet, names[arrival.host], secret),
        )
    fleet.run(WARM_UP_S + DURATION_S + 2.0)
    operations = fleet.table_reads + fleet.table_writes - operations
    times = [at for at, _ in fleet.admissions]
    return Result(len(times), measure_overshoot(times), operations / DURATION_S)


def _send(fleet: SimulatedFleet, host: str, secret: str) -> None:
    fleet.request(host, "/orders", secret=secret)


def build_fleet(hosts: int, *, upstream: bool = True) -> SimulatedFleet:
    """Return a simulated fleet with complete membership."""
    fleet = SimulatedFleet(seed=hosts, tick_s=TICK_S)
    for number in range(hosts):
        domain = DOMAINS[number % len(DOMAINS)]
        fleet.add_host(f"h-{number}", domain, seeds=("h-0:1",))
    if upstream:
        fleet.add_upstream("h-0", "certify-0", "certify", slots=10_000, service_s=0.0)
    fleet.populate_membership()
    return fleet


def run_static(hosts: int, arrivals: list[Arrival]) -> Result:
    """Run an equal static split of the rate over all hosts."""
    share = {"rate_per_s": RATE_PER_S / hosts, "burst": max(1.0, BURST / hosts)}
    buckets = [TokenBucket(**share, now=-1e6) for _ in range(hosts)]
    times = [a.at for a in arrivals if buckets[a.host].take(1.0, a.at)]
    return Result(len(times), measure_overshoot(times), 0.0)


def run_counter(hosts: int, arrivals: list[Arrival]) -> Result:
    """Run one counter in the table, at a bounded rate of table writes."""
    bucket = TokenBucket(rate_per_s=RATE_PER_S, burst=BURST, now=-1e6)
    table = TokenBucket(rate_per_s=TABLE_WRITES_PER_S, burst=40.0, now=-1e6)
    times = [a.at for a in arrivals if table.take(1.0, a.at) and bucket.take(1.0, a.at)]
    return Result(len(times), measure_overshoot(times), len(arrivals) / DURATION_S)


SCHEMES = {
    "allotments and loans": run_loans,
    "equal static split": run_static,
    "counter in the table": run_counter,
}


@benchmark("rates")
def bench_rates() -> None:
    """Print wrong refusals, overshoot and table operations of each scheme."""
    print("arrivals  hosts  scheme                refused  overshoot  table ops/s")
    for skewed in (False, True):
        for hosts in HOST_COUNTS:
            arrivals = generate_arrivals(hosts, skewed=skewed, ratio=LOAD_RATIO)
            for name, run in SCHEMES.items():
                result = run(hosts, arrivals)
                _print_result(skewed, hosts, name, result, len(arrivals))
    print("ten times the rate, at all hosts (refusals are due; overshoot must be 0)")
    for hosts in HOST_COUNTS[:2]:
        arrivals = generate_arrivals(hosts, skewed=False, ratio=10.0)
        for name, run in SCHEMES.items():
            _print_result(False, hosts, name, run(hosts, arrivals), len(arrivals))


def _print_result(
    skewed: bool, hosts: int, name: str, result: Result, sent: int
) -> None:
    refused = 100 * (1 - result.served / sent)
    kind = "moving" if skewed else "spread"
    print(
        f"{kind:<8}  {hosts:5d}  {name:<20}  {refused:6.2f}%  "
        f"{result.overshoot:9.1f}  {result.table_per_s:11.1f}"
    )
