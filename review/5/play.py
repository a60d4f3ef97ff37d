"""A machine joins while the store is away from the one that keeps a tenant's tokens."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from standins.fleet import TROUBLE, Client, Fleet, main, route
from standins.http import encode_request

if TYPE_CHECKING:
    from standins.fleet import Machine
    from standins.http import Message
    from standins.server import Server

SILENT_S = 9.0  # day trouble-1: `how = "nodes silent ..", share = 0.35, for_s = 9.0`
JOINS_AFTER_S = 0.5
RATE_PER_S = 60
BURST = 60
WINDOW_S = 5.0  # `quota-window`
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 20  # `quota-overage`, `-tolerance`
CLIENTS = 4  # at each of two machines
INTERVAL_S = 0.02
WORK_MS = 5


async def play(fleet: Fleet) -> bool:
    """Play the case; return whether the rule held."""
    record = fleet.record
    routes = {
        "catalogue-read": route("catalogo", "/catalogue/"),
        "invoice-read": route("facturas", "/invoice/"),
    }
    quota = {"rate-per-s": RATE_PER_S, "burst": BURST}
    await fleet.configure(1, routes, {"lab": ["key-1"]}, quota)
    first = await fleet.add("sidecar-1", "santander", "catalogo")
    for number in (2, 3, 4):
        await fleet.add(f"sidecar-{number}", "santander", "facturas")
    sent_at: dict[str, float] = {}
    runs: list[tuple[float, float]] = []  # when sent, when arrived
    counts: dict[str, int] = {}

    def on_event(event: str, server: Server, request: Message) -> None:
        if event == "run":
            attempt = request.header("lavenderway-attempt-id") or ""
            runs.append((sent_at[attempt], record.now))
            counts[server.name] = counts.get(server.name, 0) + 1
            record(f"server {server.name}: run {attempt}")

    for machine in fleet.machines.values():
        machine.server.on_event = on_event
    await fleet.start_servers()
    done = asyncio.Event()

    async def read_on(machine: Machine, path: str) -> None:
        client = await Client(machine).open()
        while not done.is_set():
            attempt = fleet.next_id()
            data = encode_request("GET", path, fleet.headers("key-1", attempt))
            sent_at[attempt] = record.now
            response = await client.send(data)
            if response is None:
                raise RuntimeError(f"{machine.name} closed a connection")
            record(f"client: {attempt} at {machine.name}: {response.status}")
            await asyncio.sleep(INTERVAL_S)

    def press(machine: Machine, path: str) -> list[asyncio.Task[None]]:
        target = f"{path}{WORK_MS}"
        return [asyncio.create_task(read_on(machine, target)) for _ in range(CLIENTS)]

    clients = press(first, "/catalogue/")
    await asyncio.sleep(WINDOW_S)
    if TROUBLE:
        fleet.store.silent.add("sidecar-1")
        record("store: no response to sidecar-1 from now on")
    silent_until = record.now + SILENT_S
    await asyncio.sleep(JOINS_AFTER_S)
    joiner = await fleet.add("sidecar-5", "santander", "facturas")
    joiner.server.on_event = on_event
    await joiner.wait_until_ready()
    await joiner.server.start()
    record("sidecar-5 has joined")
    clients += press(joiner, "/invoice/")
    await asyncio.sleep(silent_until - record.now)
    fleet.store.silent.clear()
    record("store: serves all machines")
    await asyncio.sleep(1.0)
    done.set()
    await asyncio.gather(*clients)
    most = max(_count(runs, sent) for sent, _ in runs)
    record(f"run at the servers: {counts}")
    record(f"most in {WINDOW_S:g} s: {most}, allowed: {ALLOWED:g}")
    return most <= ALLOWED


def _count(runs: list[tuple[float, float]], begin: float) -> int:
    """Return how many requests were sent and arrived in a window."""
    return sum(sent >= begin and ran <= begin + WINDOW_S for sent, ran in runs)


if __name__ == "__main__":
    main(Path(__file__).parent, play)
