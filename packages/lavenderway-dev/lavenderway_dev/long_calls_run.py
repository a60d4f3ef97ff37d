"""Stops nodes while their upstreams run requests that make calls, in virtual time."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from lavenderway_dev.interleaving import VirtualFleet, VirtualHost
from lavenderway_dev.relay_config import make_config, make_route
from lavenderway_dev.relay_fleet import STOP_GRACE_S, RelayHostPlan
from lavenderway_dev.server_standin import Call, CallResult, Server, ServerPlan
from lavenderway_dev.soak_checks import Finding, Invariant

if TYPE_CHECKING:
    import random as random_module

    from lavenderway_relay.messages import Request

    from lavenderway_dev.virtual_loop import VirtualLoop

LONG_CALLS, LONG_CALL_S = 14, 0.4
LONG_LIMIT_MS = 6000
# Varied in half of the seeds with long requests.
LONG_CALL_TIMES_S = (0.1, 0.2, 0.4, 0.8, 1.5)
MAX_DELAY_S = 0.3
DELAYED_SHARE = 0.02  # of the calls
SLOWDOWNS = (1.0, 1.25, 1.5)  # of the called upstream, from the stop signal on
MAX_OVERLAP_S = 6.0  # between the stops of two nodes; the grace period
EXCUSED_SENT_S = 3.0  # calls sent until then may be broken off in the last sixth


class LongCallsRun:
    """Stops a node while its upstream runs requests that make calls all the time.

    Args:
        loop: The virtual loop that runs this.
        random: Source of the times.
        findings: Receives the violations.
        operations: Receives the time of the stop.
        varied: Whether the run times of the calls vary, and grow after the signal.
        overlaps: Whether a second node of the service is stopped while the first one
            is stopping.

    """

    def __init__(
        self,
        *,
        loop: VirtualLoop,
        random: random_module.Random,
        findings: list[Finding],
        operations: list[str],
        varied: bool,
        overlaps: bool = False,
    ) -> None:
        self._loop = loop
        self._random = random
        self._findings = findings
        self._operations = operations
        self._results: list[tuple[str, CallResult]] = []
        self._stopped_at: dict[str, float] = {}
        self._call_s, self._delay_s, self._slowdown = LONG_CALL_S, 0.0, 1.0
        times = random.randint(LONG_CALLS // 2, LONG_CALLS)
        if varied:
            self._call_s = random.choice(LONG_CALL_TIMES_S)
            self._delay_s = random.uniform(0.0, MAX_DELAY_S)
            self._slowdown = random.choice(SLOWDOWNS)
            times = int(LONG_LIMIT_MS / 1e3 / self._call_s)
        calls = {
            "/order/": [Call(authority="app.example", path="/stock/x", times=times)]
        }
        limit = f"{LONG_LIMIT_MS}ms"
        config = make_config(
            1,
            {
                "order": make_route("/order/", "orders", kind="unsafe", timeout=limit),
                "stock": make_route("/stock/", "stock", timeout=limit),
            },
        )
        stock = ServerPlan(service="stock", slots=40, service_time_s=self._call_s)
        orders = ServerPlan(service="orders", slots=40, calls=calls)
        plans = [
            RelayHostPlan(name="stock", zone="east", server=stock),
            RelayHostPlan(name="orders", zone="west", server=orders),
        ]
        self._stopping = ["orders"]
        if overlaps:
            other = ServerPlan(service="orders", slots=40, calls=calls)
            plans.append(RelayHostPlan(name="orders2", zone="east", server=other))
            self._stopping.append("orders2")
        self._fleet = VirtualFleet(plans, config=config)

    async def play(self) -> None:
        """Send the requests, stop the nodes and check the calls."""
        async with self._fleet:
            stock = self._fleet.hosts["stock"]
            for name in self._stopping:
                self._fleet.hosts[name].server.on_call = self._record_call

            def draw_run_time(server: Server, _: Request) -> None:
                slow = self._slowdown if self._stopped_at else 1.0
                delayed = self._random.random() < DELAYED_SHARE
                delay_s = self._random.uniform(0.0, self._delay_s) if delayed else 0.0
                server.plan.service_time_s = self._call_s * slow + delay_s

            if self._delay_s:
                stock.server.on_arrival = draw_run_time
            sending = []
            for _ in range(self._random.randint(4, 12)):
                sending.append(asyncio.create_task(self._order()))
                await asyncio.sleep(self._random.uniform(0.0, 0.3))
            stops = [asyncio.create_task(self._stop(self._stopping[0]))]
            for name in self._stopping[1:]:
                await asyncio.sleep(self._random.uniform(0.0, MAX_OVERLAP_S))
                stops.append(asyncio.create_task(self._stop(name)))
            await asyncio.gather(*stops, *sending)
            ran = {
                (run.header(b"lavenderway-attempt-id") or b"").decode()
                for run in stock.server.runs
            }
        for host, call in self._results:
            failed = call.response is None or call.response.status != 200
            late_s = call.sent_at - self._stopped_at.get(host, call.sent_at)
            if failed and call.id in ran and late_s > EXCUSED_SENT_S:
                detail = (
                    f"call {call.id}, sent {late_s:.2f} s after SIGTERM, broken off"
                )
                self._findings.append(Finding(Invariant.PLANNED_OPERATION, detail))

    def _record_call(self, server: Server, result: CallResult) -> None:
        (host,) = [
            name for name in self._stopping if self._fleet.hosts[name].server is server
        ]
        self._results.append((host, result))

    async def _stop(self, name: str) -> None:
        """Stop one node and check that it ends in time."""
        host = self._fleet.hosts[name]
        assert isinstance(host, VirtualHost)
        stopped_at = self._stopped_at[name] = self._loop.time()
        self._operations.append(
            f"{stopped_at:.2f} stop {name} (calls of {self._call_s} s,"
            f" delays up to {self._delay_s:.3f} s, then {self._slowdown} as slow)"
        )
        host.signal(signal.SIGTERM)
        await host.virtual.wait()
        if self._loop.time() > stopped_at + STOP_GRACE_S:
            self._findings.append(Finding(Invariant.EXITED_IN_TIME, name))

    async def _order(self) -> None:
        await self._fleet.send(
            "stock", "/order/x", method="POST", deadline_ms=LONG_LIMIT_MS
        )
