"""A server deregisters while the store is away and its node is killed twice.

See `claim.txt`. Exits with 1 if the rule was broken, 0 if it held.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import (  # noqa: E402
    Deployment,
    Machine,
    Recorder,
    Work,
    ask,
    make_config,
    make_route,
    run_case,
)

STORE_AWAY_S = 9.0
CONTACT_S = 3.0
DRAIN_S = 2.0
SERVES_ON_S = 14.0  # after its leaving was acknowledged, "at times many seconds"
CALLERS = 8  # on each machine
PAUSE_S = 0.05


async def ask_on_and_on(
    machine: Machine, recorder: Recorder, asked: dict[str, tuple[str, float]]
) -> None:
    """Send ordinary requests, one after the other."""
    while True:
        answer = await ask(machine.outbound_port, "/docs/x", recorder=recorder)
        asked[answer.attempt] = (machine.name, answer.sent_at)
        await asyncio.sleep(PAUSE_S)


def kill(machine: Machine, recorder: Recorder) -> None:
    """Kill the node of a machine."""
    assert machine.process is not None
    recorder.note(f"kill    {machine.name}")
    machine.process.send_signal(signal.SIGKILL)


async def main(trouble: bool) -> int:
    """Play the case; return the exit code."""
    recorder = Recorder(FOLDER / "record.txt")
    machines = [
        Machine(name=f"sidecar-{zone}-1", zone=zone, service="docs")
        for zone in ("saskatoon", "regina", "brandon")
    ]
    machines[0].single_store = True
    arrivals: list[tuple[str, float]] = []
    asked: dict[str, tuple[str, float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(
            folder=Path(folder),
            recorder=recorder,
            machines=machines,
            work=lambda _: Work(work_s=0.15),
        )
        machine, server = machines[0], deployment.servers[0]
        try:
            route = make_route("/docs/", "docs", kind="safe", timeout_ms=3_000)
            await deployment.start(make_config(1, {"docs": route}))
            callers = [
                asyncio.create_task(ask_on_and_on(each, recorder, asked))
                for each in machines
                for _ in range(CALLERS)
            ]
            await asyncio.sleep(CONTACT_S)
            # The server has just sent a heartbeat; the next one is due in 1.5 s.
            server.stop_heartbeats()
            await server.send_heartbeat()
            away_until = time.monotonic()
            if trouble:
                recorder.note(f"store   silent to {machine.name}")
                deployment.store.go_silent()
                away_until += STORE_AWAY_S
                kill(machine, recorder)
                await asyncio.sleep(0.2)
            status = 0
            while not 200 <= status < 300:
                status = await server.deregister()
                await asyncio.sleep(0.02)
            acknowledged_at = time.monotonic()
            recorder.note(f"leaves  {server.name}: Deregister answered {status}")
            server.on_run = lambda attempt: arrivals.append((attempt, time.monotonic()))
            if trouble:
                await asyncio.sleep(0.2)
                kill(machine, recorder)
                await asyncio.sleep(max(0.0, away_until - time.monotonic()))
                deployment.store.come_back()
                recorder.note("store   back")
            await asyncio.sleep(acknowledged_at + SERVES_ON_S - time.monotonic())
            started_at = machine.started_at
            for caller in callers:
                caller.cancel()
        finally:
            await deployment.stop()
    # The machine that acknowledged is bound also while the store is in disruption. It
    # has to have run, without kill or start, for `contact` before the request.
    late = []
    for attempt, at in arrivals:
        origin, sent_at = asked.get(attempt, ("", 0.0))
        if (
            origin == machine.name
            and sent_at > acknowledged_at + DRAIN_S
            and sent_at > started_at + CONTACT_S
        ):
            late.append(at - acknowledged_at)
    after = f", {min(late):.1f} to {max(late):.1f} s after it" if late else ""
    summary = (
        f"requests of {machine.name} that reached {server.name} later than `drain`"
        f" after this machine had acknowledged its leaving: {len(late)}{after}"
    )
    recorder.note(f"result  {summary}")
    print(summary)
    return int(bool(late))


if __name__ == "__main__":
    run_case(main, trouble=os.environ.get("TROUBLE", "1") != "0")
