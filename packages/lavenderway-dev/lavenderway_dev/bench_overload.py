"""Benchmark of overload with real processes, compared with two baseline policies.

The load passes a chain of four services that models the deployment of a user, Coulee,
with proportionally fewer slots. The last service is the bottleneck. Clients make up to
three attempts per request and ignore Retry-After.
"""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from lavenderway_dev.baseline_node import POLICY_VARIABLE
from lavenderway_dev.bench_registry import benchmark, quantile
from lavenderway_dev.fleet import Fleet, HostPlan, UpstreamPlan
from lavenderway_dev.load import LoadClass, LoadGenerator, Sample

if TYPE_CHECKING:
    from pathlib import Path

SERVICE_CHAIN = ("archive", "catalogue", "certify", "sitecure")
SLOTS = {"archive": 28, "catalogue": 28, "certify": 36, "sitecure": 4}
SERVICE_MS = {"archive": 4.0, "catalogue": 4.0, "certify": 4.0, "sitecure": 60.0}
UPSTREAMS_PER_SERVICE = 2
CAPACITY_PER_S = (
    UPSTREAMS_PER_SERVICE * SLOTS["sitecure"] / (SERVICE_MS["sitecure"] / 1000)
)
DEADLINE_MS = 1000
WARM_UP_S = 6.0
TRIGGER_DURATION_S = 6.0
RECOVERY_DURATION_S = 8.0
RECOVERY_BUCKET_S = 0.5
RECOVERED_RATIO = 0.95
RATE_RATIO = 2.5  # rate relative to the capacity share, if one workspace floods
AMPLE_RATIO = 10.0  # the same, high enough that rates do not limit the load
IMPORTANCES = ("critical", "normal", "low")
POLICIES = ("pass-through", "fixed", "lavenderway")
# Workspace, importance and share of the demand.
TRAFFIC_MIX = (
    ("crew", "critical", 0.2),
    ("crew", "normal", 0.1),
    ("lab", "normal", 0.2),
    ("plant", "normal", 0.3),
    ("plant", "low", 0.2),
)
Trigger = Callable[[Fleet, bool], None]


class Case(NamedTuple):
    """An overload experiment.

    Attributes:
        demand: Demand relative to capacity before and after the trigger.
        peak: Demand relative to capacity during the trigger.
        flood: Workspace that sends ten times its share during the trigger, or empty.
        trigger: Called with true when the trigger starts and false when it ends.
        remaining_capacity: Fraction of the capacity that remains during the trigger.

    """

    name: str
    demand: float
    peak: float
    flood: str
    trigger: Trigger
    remaining_capacity: float


def _keep_capacity(fleet: Fleet, active: bool) -> None:
    """Do nothing: the increased demand is the trigger."""


def _slow_bottleneck(fleet: Fleet, active: bool) -> None:
    for number in range(UPSTREAMS_PER_SERVICE):
        fleet.set_upstream_behavior(
            f"sitecure-h{number}", f"sitecure-{number}", slow_factor=10 if active else 1
        )


def _freeze_upstream(fleet: Fleet, active: bool) -> None:
    fleet.set_upstream_behavior("sitecure-h0", "sitecure-0", frozen=active)


CASES = (
    Case("slow to a tenth", 0.7, 0.7, "", _slow_bottleneck, 0.1),
    Case("twice the capacity", 0.7, 2.0, "", _keep_capacity, 1.0),
    Case("one workspace tenfold", 0.7, 0.7, "plant", _keep_capacity, 1.0),
    Case("tenfold and slow", 0.7, 0.7, "plant", _slow_bottleneck, 0.1),
    Case("an upstream freezes", 0.5, 0.5, "", _freeze_upstream, 0.5),
)


class PolicyFleet(Fleet):
    """A fleet whose nodes run one of the compared policies.

    Attributes:
        policy: One of `POLICIES`.

    """

    policy = "lavenderway"

    def start_node(self, name: str) -> None:
        """Start the node of a host, with a baseline policy if one is selected."""
        if self.policy == "lavenderway":
            super().start_node(name)
            return
        os.environ[POLICY_VARIABLE] = self.policy
        host = self.hosts[name]
        module = ["-m", "lavenderway_dev.baseline_node", "--config", str(host.config)]
        host.node = self._spawn(f"{name}.node", [self.python, *module])


def build_host_plans() -> list[HostPlan]:
    """Return host plans: in each failure domain one host of each service."""
    plans = []
    for position, service in enumerate(SERVICE_CHAIN):
        next_services = SERVICE_CHAIN[position + 1 : position + 2]
        for number in range(UPSTREAMS_PER_SERVICE):
            upstream = UpstreamPlan(
                f"{service}-{number}",
                service,
                SLOTS[service],
                SERVICE_MS[service],
                tuple(f"/{each}/call" for each in next_services),
            )
            domain = ("saskatoon", "regina")[number % 2]
            plans.append(HostPlan(f"{service}-h{number}", domain, (upstream,)))
    return plans


def create_resources(fleet: Fleet, *, ratio: float) -> dict[str, str]:
    """Create workspaces, keys and routes; return the keys' secrets by workspace.

    Args:
        fleet: Running fleet.
        ratio: Rate of each workspace relative to its share of the capacity.

    """
    fleet.wait_until_serving(set(SERVICE_CHAIN))
    secrets = {}
    for workspace in ("crew", "lab", "plant"):
        share = sum(each[2] for each in TRAFFIC_MIX if each[0] == workspace)
        rate = CAPACITY_PER_S * share * ratio
        spec = {"rate": rate, "burst": rate}
        fleet.call_operator_api("PUT", f"/v1/workspaces/{workspace}", {"spec": spec})
        key = {"spec": {"workspace": workspace}}
        created_key = fleet.call_operator_api(
            "PUT", f"/v1/keys/{workspace}", key
        ).json()
        secrets[workspace] = str(created_key["secret"])
    for importance in ("critical", "normal", "low"):
        _put_route(fleet, importance, "archive", importance)
    revision = 0
    for service in SERVICE_CHAIN[1:]:
        revision = _put_route(fleet, service, service, "critical")
    fleet.wait_until_in_force(revision)
    for workspace in secrets:
        fleet.wait_until_allotted(workspace)
    return secrets


def _put_route(fleet: Fleet, name: str, service: str, importance: str) -> int:
    spec = {
        "path_prefix": f"/{name}",
        "service": service,
        "idempotent": True,
        "importance": importance,
        "timeout_ms": DEADLINE_MS,
    }
    created_route = fleet.call_operator_api(
        "PUT", f"/v1/routes/{name}", {"spec": spec}
    ).json()
    return int(created_route["revision"])


def build_classes(case: Case, secrets: dict[str, str]) -> list[LoadClass]:
    """Return the load classes of an experiment."""

    def rate(workspace: str, share: float) -> Callable[[float], float]:
        def rate_at(at: float) -> float:
            triggered = WARM_UP_S <= at < WARM_UP_S + TRIGGER_DURATION_S
            demand = case.peak if triggered else case.demand
            factor = 10.0 if triggered and workspace == case.flood else 1.0
            return CAPACITY_PER_S * demand * share * factor

        return rate_at

    return [
        LoadClass(w, i, f"/{i}/call", secrets[w], rate(w, share), attempts=3)
        for w, i, share in TRAFFIC_MIX
    ]


class Report(NamedTuple):
    """Results of one run.

    Attributes:
        goodput: Requests served per second during the trigger, relative to the
            remaining capacity.
        after: Served ratio from two seconds after the trigger on, relative to the
            served ratio before the trigger.
        recovery_s: Seconds from the end of the trigger until the served ratio is back
            to `RECOVERED_RATIO` of the former one and stays there; None if never.
        critical: Served ratio of critical requests during the trigger.
        worst_share: Served requests of the worst-served workspace relative to its fair
            share, its max-min part of the capacity left by more important requests.
        refused_before: Ratio of requests not served before the trigger.
        runs_per_served: Executions at the bottleneck per served request.
        p99_ms: 99th percentile latency of requests served during the trigger.

    """

    goodput: float
    after: float
    recovery_s: float | None
    critical: float
    worst_share: float
    refused_before: float
    runs_per_served: float
    p99_ms: float


def compute_report(case: Case, samples: list[Sample], executions: int) -> Report:
    """Compute the results of one run."""
    trigger_end_s = WARM_UP_S + TRIGGER_DURATION_S
    before = [s for s in samples if 2.0 <= s.sent_at < WARM_UP_S - 1.0]
    during = [s for s in samples if WARM_UP_S + 1.0 <= s.sent_at < trigger_end_s]
    after_trigger = [
        s
        for s in samples
        if trigger_end_s + 2.0 <= s.sent_at < trigger_end_s + RECOVERY_DURATION_S - 1.5
    ]
    served_samples = [s for s in samples if s.is_served]
    finished = [
        s
        for s in served_samples
        if WARM_UP_S + 1.0 <= s.sent_at + s.elapsed_s < trigger_end_s
    ]
    latencies = [s.elapsed_s * 1000 for s in served_samples if s in during] or [0.0]
    return Report(
        goodput=len(finished)
        / (TRIGGER_DURATION_S - 1.0)
        / (CAPACITY_PER_S * case.remaining_capacity),
        after=_compute_served_ratio(after_trigger)
        / max(_compute_served_ratio(before), 1e-9),
        recovery_s=_measure_recovery(samples, _compute_served_ratio(before)),
        critical=_compute_served_ratio(
            [s for s in during if s.importance == "critical"]
        ),
        worst_share=_compute_worst_share(
            during, CAPACITY_PER_S * case.remaining_capacity
        ),
        refused_before=1 - _compute_served_ratio(before),
        runs_per_served=executions / max(1, len(served_samples)),
        p99_ms=quantile(latencies, 0.99),
    )


def _compute_worst_share(samples: list[Sample], capacity_per_s: float) -> float:
    """Return the lowest ratio of served requests to fair share of any workspace."""
    left = capacity_per_s * (TRIGGER_DURATION_S - 1.0)
    shares: Counter[str] = Counter()
    for importance in IMPORTANCES:
        demand = Counter(s.workspace for s in samples if s.importance == importance)
        fair = _allocate_max_min(dict(demand), left)
        left -= sum(fair.values())
        shares.update(fair)
    served = Counter(s.workspace for s in samples if s.is_served)
    return min(served[name] / share for name, share in shares.items() if share)


def _allocate_max_min(demand: dict[str, int], capacity: float) -> dict[str, float]:
    """Return the max-min fair allocation of a capacity."""
    shares: dict[str, float] = {}
    left = dict(sorted(demand.items(), key=lambda item: item[1]))
    while left:
        name, wanted = next(iter(left.items()))
        shares[name] = min(float(wanted), max(0.0, capacity) / len(left))
        capacity -= shares[name]
        del left[name]
    return shares


def _compute_served_ratio(samples: list[Sample]) -> float:
    return sum(s.is_served for s in samples) / max(1, len(samples))


def _measure_recovery(samples: list[Sample], ratio_before: float) -> float | None:
    """Return the time after which the served ratio stays recovered; None if never."""
    trigger_end_s = WARM_UP_S + TRIGGER_DURATION_S
    recovered: float | None = None
    step = 0
    while (step + 1) * RECOVERY_BUCKET_S <= RECOVERY_DURATION_S - 1.5:
        start = trigger_end_s + step * RECOVERY_BUCKET_S
        chosen = [s for s in samples if start <= s.sent_at < start + RECOVERY_BUCKET_S]
        if _compute_served_ratio(chosen) >= RECOVERED_RATIO * ratio_before:
            recovered = step * RECOVERY_BUCKET_S if recovered is None else recovered
        else:
            recovered = None
        step += 1
    return recovered


async def _run_load(fleet: Fleet, case: Case, secrets: dict[str, str]) -> list[Sample]:
    ports = [host.ports.callers for host in fleet.hosts.values()]
    generator = LoadGenerator(ports=ports, seed=20261203)
    loop = asyncio.get_running_loop()

    async def trigger() -> None:
        await asyncio.sleep(WARM_UP_S)
        await loop.run_in_executor(None, case.trigger, fleet, True)
        await asyncio.sleep(TRIGGER_DURATION_S)
        await loop.run_in_executor(None, case.trigger, fleet, False)

    triggering = asyncio.create_task(trigger())
    duration_s = WARM_UP_S + TRIGGER_DURATION_S + RECOVERY_DURATION_S
    await generator.run(build_classes(case, secrets), duration_s)
    await triggering
    return generator.samples


def run_case(case: Case, policy: str, log_to: Path | None = None) -> Report:
    """Run one experiment with one policy; return its results."""
    fleet = PolicyFleet(plans=build_host_plans(), log_to=log_to)
    fleet.policy = policy
    with fleet:
        floods = case.flood and policy == "lavenderway"
        secrets = create_resources(fleet, ratio=RATE_RATIO if floods else AMPLE_RATIO)
        samples = asyncio.run(_run_load(fleet, case, secrets))
        records: list[Any] = [
            fleet.read_upstream_record(f"sitecure-h{n}", f"sitecure-{n}")
            for n in range(UPSTREAMS_PER_SERVICE)
        ]
    executions = sum(sum(each["executions"].values()) for each in records)
    return compute_report(case, samples, executions)


@benchmark("overload")
def bench_overload() -> None:
    """Print the results of each case and policy.

    `LAVENDERWAY_CASES` selects cases by a part of their name, `LAVENDERWAY_POLICIES`
    lists the policies to run.
    """
    chosen = os.environ.get("LAVENDERWAY_CASES", "")
    policies = os.environ.get("LAVENDERWAY_POLICIES", " ".join(POLICIES)).split()
    print(f"capacity {CAPACITY_PER_S:.0f} whole requests/s; goodput relative to it")
    for case in CASES:
        if chosen and chosen not in case.name:
            continue
        print(f"-- {case.name}")
        print(
            "policy        goodput  critical  worst ws  recovery s  after  "
            "refused calm  runs/whole  p99 ms"
        )
        for policy in policies:
            report = run_case(case, policy)
            recovery = (
                "never" if report.recovery_s is None else f"{report.recovery_s:.1f}"
            )
            print(
                f"{policy:<12}  {report.goodput:7.2f}  {report.critical:8.3f}  "
                f"{report.worst_share:8.3f}  {recovery:>10}  {report.after:5.2f}  "
                f"{report.refused_before:12.4f}  {report.runs_per_served:10.2f}  "
                f"{report.p99_ms:6.0f}",
                flush=True,
            )
