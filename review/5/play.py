"""A server leaves while the store is away from its machine, whose node is killed."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from standins.fleet import TROUBLE, Client, Fleet, main, route
from standins.http import encode_request

if TYPE_CHECKING:
    from standins.http import Message
    from standins.server import Server

SILENT_S = 4.5  # `platform_down`, `for_s = 4.5, how = "silent"`, in the site file
LEAVES_AFTER_S = 2.0
KILLED_AFTER_S = 1.0  # after the deregistration
RESTART_S = 0.3
DRAIN_S = 2.0
EXIT_S = 8.0  # "it exits anyway, some seconds later"
INTERVAL_S = 0.02
CLIENTS = 4


async def play(fleet: Fleet) -> bool:
    """Play the case; return whether the rule held."""
    record = fleet.record
    routes = {
        "archive-read": route("archive", "/archive/"),
        "cert-issue": route("certify", "/certify/", "unsafe"),
    }
    await fleet.configure(1, routes, {"lab": ["key-1"]})
    first = await fleet.add("sidecar-1", "saskatoon", "certify")
    second = await fleet.add("sidecar-2", "regina", "archive")
    sent_at: dict[str, float] = {}
    bound: list[float] = []  # the time from which `sidecar-1` is bound
    wrong: list[str] = []

    def on_event(event: str, server: Server, request: Message) -> None:
        attempt = request.header("lavenderway-attempt-id") or ""
        if event == "run":
            record(f"server {server.name}: run {attempt}")
            if bound and sent_at.get(attempt, 0.0) > bound[0]:
                wrong.append(attempt)

    second.server.on_event = on_event
    await fleet.start_servers()
    done = asyncio.Event()

    async def read_on(number: int) -> None:
        client = await Client(first).open()
        while not done.is_set():
            attempt = fleet.next_id()
            data = encode_request(
                "GET", "/archive/300", fleet.headers("key-1", attempt)
            )
            sent_at[attempt] = record.now
            response = await client.send(data)
            if response is None:
                raise RuntimeError("sidecar-1 closed a connection")
            leaving = response.header("server-leaving") is not None
            if response.status == 200 and leaving and not bound:
                bound.append(record.now + DRAIN_S)
                record(f"sidecar-1 has passed on Server-Leaving; bound at {bound[0]}")
            status = response.status
            record(f"client {number}: {attempt}: {status}, leaving: {leaving}")
            await asyncio.sleep(INTERVAL_S if response.status == 200 else 0.2)

    clients = [asyncio.create_task(read_on(number)) for number in range(CLIENTS)]
    await asyncio.sleep(1.0)
    if TROUBLE:
        fleet.store.silent.add("sidecar-2")
        record("store: no response to sidecar-2 from now on")
    back_at = record.now + SILENT_S
    await asyncio.sleep(LEAVES_AFTER_S)
    second.server.stop_heartbeats()
    second.server.leaving = True
    exit_at = record.now + EXIT_S
    status = await second.server.deregister()
    record(f"server: deregistration answered {status}")
    if TROUBLE:
        await asyncio.sleep(KILLED_AFTER_S)
        await second.kill()
        record("sidecar-2 killed")
        await asyncio.sleep(RESTART_S)
        await second.start_node()
    await asyncio.sleep(back_at - record.now)
    fleet.store.silent.clear()
    record("store: serves all machines")
    await asyncio.sleep(exit_at - record.now)
    done.set()
    await asyncio.gather(*clients)
    record(f"requests sent after the bound that reached the server: {wrong}")
    return not wrong


if __name__ == "__main__":
    main(Path(__file__).parent, play)
