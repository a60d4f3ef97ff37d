"""Starts a small fleet, sends real requests through it and shows what happened."""

from __future__ import annotations

import json
import sys
import time
from typing import NamedTuple

from lavenderway_dev.fleet import Answer, Fleet, HostPlan, UpstreamPlan, send

RATE_PER_S = 5
BURST = 8
OVER_RATE_REQUESTS = 40


class Step(NamedTuple):
    """One line of the table."""

    what: str
    expected: str
    seen: str

    @property
    def kept(self) -> bool:
        """Whether it went as promised."""
        return self.expected == self.seen


def plan() -> list[HostPlan]:
    """Return the hosts of the quickstart: two services in two failure domains."""
    return [
        HostPlan("sk-1", "saskatoon", (UpstreamPlan("archive-1", "archive"),)),
        HostPlan("sk-2", "saskatoon", (UpstreamPlan("certify-1", "certify"),)),
        HostPlan("rg-1", "regina", (UpstreamPlan("archive-2", "archive"),)),
        HostPlan("rg-2", "regina", (UpstreamPlan("certify-2", "certify"),)),
    ]


def create_resources(fleet: Fleet) -> str:
    """Create a workspace, a key and routes; return the key's secret."""
    from lavenderway_dev.operator import run_operator

    rate = (f"rate={RATE_PER_S}", f"burst={BURST}")
    run_operator(fleet, "put", "workspaces", "coulee", *rate)
    made = run_operator(fleet, "put", "keys", "site-crew", "workspace=coulee")
    run_operator(
        fleet,
        *("put", "routes", "lookups", "path_prefix=/archive", "service=archive"),
        *("idempotent=true", "importance=critical"),
    )
    answer = run_operator(
        fleet,
        *("put", "routes", "orders", "path_prefix=/certify", "service=certify"),
        "idempotent=false",
    )
    fleet.wait_in_force(int(json.loads(answer)["revision"]))
    return str(json.loads(made)["secret"])


def run_steps(fleet: Fleet, secret: str) -> list[Step]:
    """Send the requests of the table."""
    hosts = list(fleet.hosts.values())
    key = {"Authorization": f"Bearer {secret}"}
    order = {**key, "Idempotency-Key": "order-7"}
    first = send("GET", f"{hosts[1].callers}/archive/echo", headers=key)
    second = send(
        "POST", f"{hosts[0].callers}/certify/echo", headers=order, body=b"batch 7"
    )
    again = send(
        "POST", f"{hosts[2].callers}/certify/echo", headers=order, body=b"batch 7"
    )
    nobody = send("GET", f"{hosts[0].callers}/archive/echo")
    lost = send("GET", f"{hosts[0].callers}/nowhere", headers=key)
    return [
        Step("idempotent lookup", "200 hello", f"{first.status} {_text(first)}"),
        Step("order", "200 batch 7", f"{second.status} {_text(second)}"),
        Step("same order again", "200 batch 7", f"{again.status} {_text(again)}"),
        Step("runs of the order", "1", str(_runs(fleet, second, again))),
        Step("without a key", "401 not-run", _refusal(nobody)),
        Step("no such route", "404 not-run", _refusal(lost)),
        _over_rate(fleet, key),
        Step("key seen upstream", "no", "yes" if _leaked(fleet, secret) else "no"),
    ]


def _over_rate(fleet: Fleet, key: dict[str, str]) -> Step:
    hosts = list(fleet.hosts.values())
    began = time.monotonic()
    answers = [
        send("GET", f"{hosts[n % len(hosts)].callers}/archive/echo", headers=key)
        for n in range(OVER_RATE_REQUESTS)
    ]
    allowed = BURST + RATE_PER_S * (time.monotonic() - began)
    served = sum(answer.status == 200 for answer in answers)
    refused = [answer for answer in answers if answer.status != 200]
    kept = all(_refusal(answer) == "429 not-run" for answer in refused)
    held = bool(refused) and kept and served <= allowed
    seen = "429 not-run over it" if held else f"{served} served of {len(answers)}"
    return Step("over the rate, at 4 hosts", "429 not-run over it", seen)


def _runs(fleet: Fleet, *answers: Answer) -> int:
    roots = {answer.headers.get("Lavenderway-Request-Id", "") for answer in answers}
    executions = [record["executions"] for record in fleet.records()]
    return sum(seen.get(root, 0) for seen in executions for root in roots)


def _leaked(fleet: Fleet, secret: str) -> bool:
    return any(secret in json.dumps(record) for record in fleet.records())


def _text(answer: Answer) -> str:
    return answer.body.decode().strip()


def _refusal(answer: Answer) -> str:
    return f"{answer.status} {answer.headers.get('Lavenderway-Outcome', '-')}"


def show(steps: list[Step]) -> None:
    """Print the table."""
    width = max(len(step.what) for step in steps)
    for step in steps:
        mark = "ok " if step.kept else "BAD"
        print(f"{mark}  {step.what:<{width}}  {step.seen}")
        if not step.kept:
            print(f"     {'':<{width}}  expected: {step.expected}")


def main() -> int:
    """Run the quickstart; return the exit code."""
    began = time.monotonic()
    with Fleet(plans=plan()) as fleet:
        fleet.wait_serving({"archive", "certify"})
        secret = create_resources(fleet)
        fleet.wait_allotments("coulee")
        steps = run_steps(fleet, secret)
        show(steps)
    kept = all(step.kept for step in steps)
    print(f"{'All' if kept else 'NOT all'} went as promised ({_elapsed(began)} s).")
    return 0 if kept else 1


def _elapsed(began: float) -> str:
    return f"{time.monotonic() - began:.1f}"


if __name__ == "__main__":
    sys.exit(main())
