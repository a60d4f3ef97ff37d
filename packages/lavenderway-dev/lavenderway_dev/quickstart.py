"""Quickstart: starts a small fleet, sends requests and checks their results."""

from __future__ import annotations

import json
import sys
import time
from typing import NamedTuple

from lavenderway_dev.fleet import (
    Fleet,
    HostPlan,
    HttpResponse,
    UpstreamPlan,
    send_request,
)

RATE_PER_S = 5
BURST = 8
OVER_RATE_REQUESTS = 40


class Step(NamedTuple):
    """A check of the quickstart, with expected and observed result."""

    name: str
    expected: str
    observed: str

    @property
    def passed(self) -> bool:
        """Whether the observed result is the expected one."""
        return self.expected == self.observed


def build_host_plans() -> list[HostPlan]:
    """Return the hosts of the quickstart, two services in two failure domains."""
    return [
        HostPlan("sk-1", "saskatoon", (UpstreamPlan("archive-1", "archive"),)),
        HostPlan("sk-2", "saskatoon", (UpstreamPlan("certify-1", "certify"),)),
        HostPlan("rg-1", "regina", (UpstreamPlan("archive-2", "archive"),)),
        HostPlan("rg-2", "regina", (UpstreamPlan("certify-2", "certify"),)),
    ]


def create_resources(fleet: Fleet) -> str:
    """Create a workspace, a key and routes; return the key's secret."""
    from lavenderway_dev.operator_tool import run_operator

    rate = (f"rate={RATE_PER_S}", f"burst={BURST}")
    run_operator(fleet, "put", "workspaces", "coulee", *rate)
    created_key = run_operator(fleet, "put", "keys", "site-crew", "workspace=coulee")
    run_operator(
        fleet,
        *("put", "routes", "lookups", "path_prefix=/archive", "service=archive"),
        *("idempotent=true", "importance=critical"),
    )
    response = run_operator(
        fleet,
        *("put", "routes", "orders", "path_prefix=/certify", "service=certify"),
        "idempotent=false",
    )
    fleet.wait_until_in_force(int(json.loads(response)["revision"]))
    return str(json.loads(created_key)["secret"])


def run_steps(fleet: Fleet, secret: str) -> list[Step]:
    """Send the requests and return the checks of their results."""
    hosts = list(fleet.hosts.values())
    key = {"Authorization": f"Bearer {secret}"}
    order = {**key, "Idempotency-Key": "order-7"}
    lookup = send_request("GET", f"{hosts[1].callers}/archive/echo", headers=key)
    order_response = send_request(
        "POST", f"{hosts[0].callers}/certify/echo", headers=order, body=b"batch 7"
    )
    repeated_order = send_request(
        "POST", f"{hosts[2].callers}/certify/echo", headers=order, body=b"batch 7"
    )
    without_key = send_request("GET", f"{hosts[0].callers}/archive/echo")
    without_route = send_request("GET", f"{hosts[0].callers}/nowhere", headers=key)
    return [
        Step(
            "idempotent lookup", "200 hello", f"{lookup.status} {_decode_body(lookup)}"
        ),
        Step(
            "order",
            "200 batch 7",
            f"{order_response.status} {_decode_body(order_response)}",
        ),
        Step(
            "same order again",
            "200 batch 7",
            f"{repeated_order.status} {_decode_body(repeated_order)}",
        ),
        Step(
            "runs of the order",
            "1",
            str(_count_runs(fleet, order_response, repeated_order)),
        ),
        Step("without a key", "401 not-run", _describe_refusal(without_key)),
        Step("no such route", "404 not-run", _describe_refusal(without_route)),
        _check_over_rate(fleet, key),
        Step(
            "key seen upstream", "no", "yes" if _is_key_leaked(fleet, secret) else "no"
        ),
    ]


def _check_over_rate(fleet: Fleet, key: dict[str, str]) -> Step:
    hosts = list(fleet.hosts.values())
    started_at = time.monotonic()
    responses = [
        send_request(
            "GET", f"{hosts[n % len(hosts)].callers}/archive/echo", headers=key
        )
        for n in range(OVER_RATE_REQUESTS)
    ]
    allowed = BURST + RATE_PER_S * (time.monotonic() - started_at)
    served = sum(response.status == 200 for response in responses)
    refused = [response for response in responses if response.status != 200]
    refusals_match = all(
        _describe_refusal(response) == "429 not-run" for response in refused
    )
    passed = bool(refused) and refusals_match and served <= allowed
    observed = (
        "429 not-run over it" if passed else f"{served} served of {len(responses)}"
    )
    return Step("over the rate, at 4 hosts", "429 not-run over it", observed)


def _count_runs(fleet: Fleet, *responses: HttpResponse) -> int:
    roots = {
        response.headers.get("Lavenderway-Request-Id", "") for response in responses
    }
    executions = [record["executions"] for record in fleet.read_upstream_records()]
    return sum(observed.get(root, 0) for observed in executions for root in roots)


def _is_key_leaked(fleet: Fleet, secret: str) -> bool:
    return any(secret in json.dumps(record) for record in fleet.read_upstream_records())


def _decode_body(response: HttpResponse) -> str:
    return response.body.decode().strip()


def _describe_refusal(response: HttpResponse) -> str:
    return f"{response.status} {response.headers.get('Lavenderway-Outcome', '-')}"


def print_steps(steps: list[Step]) -> None:
    """Print one line per check, and the expected result of failed ones."""
    width = max(len(step.name) for step in steps)
    for step in steps:
        mark = "ok " if step.passed else "BAD"
        print(f"{mark}  {step.name:<{width}}  {step.observed}")
        if not step.passed:
            print(f"     {'':<{width}}  expected: {step.expected}")


def main() -> int:
    """Run the quickstart; return the exit code."""
    started_at = time.monotonic()
    with Fleet(plans=build_host_plans()) as fleet:
        fleet.wait_until_serving({"archive", "certify"})
        secret = create_resources(fleet)
        fleet.wait_until_allotted("coulee")
        steps = run_steps(fleet, secret)
        print_steps(steps)
    passed = all(step.passed for step in steps)
    print(
        f"{'All' if passed else 'NOT all'} went as promised "
        f"({_format_elapsed(started_at)} s)."
    )
    return 0 if passed else 1


def _format_elapsed(started_at: float) -> str:
    return f"{time.monotonic() - started_at:.1f}"


if __name__ == "__main__":
    sys.exit(main())
