"""Compares policies on the simulated days of a deployment file.

Prints for each day and policy the worth with its confidence interval and, on request,
what callers got by kind, workspace and failure domain.
"""

from __future__ import annotations

import argparse
import math
import random
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_platform.deployment_file import DeploymentFileError, read_deployment
from lavenderway_relay.admission import AdmissionDecision, RootAdmission

from lavenderway_dev.bench_registry import quantile
from lavenderway_dev.day_results import DayResult, Result, Tally
from lavenderway_dev.disturbances import list_unsupported
from lavenderway_dev.load_simulation import LoadSimulation, Policy

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lavenderway_core.ids import RouteId, ServiceId

    from lavenderway_dev.simulated_nodes import SimulatedNode

CONFIDENCE_FACTOR = 1.96  # 95 % of a normal distribution
UNLIMITED_SLOTS = 100_000
IN_FORCE = "in force"
POLICIES: dict[str, Callable[[], Policy]] = {}


class Estimate(NamedTuple):
    """Mean of several seeds, and half of the width of its confidence interval."""

    mean: float
    margin: float

    def __str__(self) -> str:
        """Return the mean with its margin."""
        return f"{self.mean:.3f} ± {self.margin:.3f}"


def policy(name: str) -> Callable[[Callable[[], Policy]], Callable[[], Policy]]:
    """Return a decorator that registers a policy under a name."""

    def register(make: Callable[[], Policy]) -> Callable[[], Policy]:
        POLICIES[name] = make
        return make

    return register


class SelectiveAdmission(RootAdmission):
    """Admission that may accept a request although a service is overloaded.

    Args:
        accepts: Returns whether to accept it, given that service and the time.

    """

    def __init__(self, *, accepts: Callable[[ServiceId, float], bool]) -> None:
        super().__init__()
        self._accepts = accepts

    def decide(
        self,
        route: RouteId,
        service: ServiceId,
        position: float,
        now: float,
        *,
        jitter: float,
    ) -> AdmissionDecision:
        """Decide whether a root request may start."""
        decision = super().decide(route, service, position, now, jitter=jitter)
        overloaded = decision.limiting_service
        if overloaded is not None and self._accepts(overloaded, now):
            return AdmissionDecision(None)
        return decision


def _accept_all(node: SimulatedNode) -> None:
    node.state.admission = SelectiveAdmission(accepts=lambda _service, _now: True)


def _accept_with_room(node: SimulatedNode) -> None:
    balancer = node.state.load_balancer
    node.state.admission = SelectiveAdmission(accepts=balancer.has_unlimited_room)


@policy(IN_FORCE)
def _decide_as_in_force() -> Policy:
    return Policy()


@policy("no admission levels")
def _admit_all_roots() -> Policy:
    return Policy(prepare=_accept_all)


@policy("levels without room")
def _refuse_without_room() -> Policy:
    return Policy(prepare=_accept_with_room)


@policy("no limits")
def _limit_nothing() -> Policy:
    return Policy(slots=lambda _: UNLIMITED_SLOTS, prepare=_accept_all)


def play(path: Path, day: str, policy_name: str, seed: int) -> DayResult:
    """Play a day of a deployment file."""
    deployment = read_deployment(path)
    simulation = LoadSimulation(
        deployment=deployment,
        day=deployment.days[day],
        policy=POLICIES[policy_name](),
        random=random.Random(f"{day} {seed}"),
    )
    return simulation.run()


def estimate(values: list[float]) -> Estimate:
    """Return the mean of values and the margin of its confidence interval."""
    if len(values) < 2:
        return Estimate(statistics.fmean(values), math.nan)
    margin = CONFIDENCE_FACTOR * statistics.stdev(values) / math.sqrt(len(values))
    return Estimate(statistics.fmean(values), margin)


def _format_tallies(title: str, tallies: Mapping[str, Tally]) -> list[str]:
    lines = [
        f"| {title} | requests | in time | late | refused | wrongly | over rate |"
        " failed |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name, tally in sorted(tallies.items()):
        shares = " | ".join(
            f"{share:.4f}"
            for share in (
                tally.share(Result.IN_TIME),
                tally.share(Result.LATE),
                tally.share(Result.REFUSED),
                tally.wrongly_refused / max(1, tally.requests),
                tally.share(Result.OVER_RATE),
                tally.share(Result.FAILED),
            )
        )
        lines.append(f"| {name} | {tally.requests} | {shares} |")
    return lines


def format_details(result: DayResult) -> str:
    """Return tables of what callers got on one day."""
    lines = [
        *_format_tallies("kind", result.kinds),
        *_format_tallies("workspace", result.workspaces),
        *_format_tallies("failure domain", result.domains),
        "| service | queue time p50 ms | p99 ms |",
        "| --- | --- | --- |",
    ]
    for service, times_s in sorted(result.queue_times_s.items()):
        median, late = quantile(times_s, 0.5) * 1e3, quantile(times_s, 0.99) * 1e3
        lines.append(f"| {service} | {median:.1f} | {late:.1f} |")
    return "\n".join(lines)


def _format_row(day: str, name: str, results: list[DayResult]) -> str:
    totals = [result.total for result in results]
    refused = [total.share(Result.REFUSED) for total in totals]
    wrongly = [total.wrongly_refused / max(1, total.requests) for total in totals]
    served = [
        total.share(Result.IN_TIME) + total.share(Result.LATE) for total in totals
    ]
    wasted = [result.wasted_runs / max(1, result.runs) for result in results]
    recovery = [result.recovery_s for result in results]
    return (
        f"| {day} | {name} | {estimate([result.worth for result in results])} |"
        f" {estimate(served)} | {estimate(refused)} | {estimate(wrongly)} |"
        f" {estimate(wasted)} | {statistics.median(recovery):.0f} |"
    )


def main() -> int:
    """Compare policies; return the exit code, 2 for unusable arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", type=Path, help="deployment file")
    parser.add_argument("--day", action="append", help="days; all by default")
    parser.add_argument(
        "--policy", action="append", choices=list(POLICIES), help="all by default"
    )
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds")
    parser.add_argument("--jobs", type=int, default=2, help="processes")
    parser.add_argument(
        "--details", action="store_true", help="print tables of the first seed"
    )
    arguments = parser.parse_args()
    try:
        deployment = read_deployment(arguments.deployment)
    except (OSError, DeploymentFileError) as error:
        print(error, file=sys.stderr)
        return 2
    days = arguments.day or list(deployment.days)
    unknown = sorted(set(days) - set(deployment.days))
    if unknown:
        expected = ", ".join(deployment.days)
        print(f"unknown: {', '.join(unknown)}; expected: {expected}", file=sys.stderr)
        return 2
    print("| day | policy | worth | served | refused | wrongly | wasted | recovery s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    started = time.monotonic()
    details = []
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for day in days:
            for name in arguments.policy or POLICIES:
                futures = [
                    pool.submit(play, arguments.deployment, day, name, seed)
                    for seed in range(1, arguments.seeds + 1)
                ]
                results = [future.result() for future in futures]
                print(_format_row(day, name, results), flush=True)
                if arguments.details:
                    details.append(f"\n{day}, {name}, seed 1\n")
                    details.append(format_details(results[0]))
    print("\n".join(details))
    for day in days:
        unsupported = list_unsupported(deployment.days[day])
        if unsupported:
            print(f"{day}: not played: {', '.join(unsupported)}")
    print(f"{time.monotonic() - started:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
