"""The store gives one machine no response for a while; a key is taken away in it."""

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
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
REVOKED_AFTER_S = 1.0
INTERVAL_S = 0.1
WATCHED_S = 25.0


async def play(fleet: Fleet) -> bool:
    """Play the case; return whether the rule held."""
    record = fleet.record
    routes = {
        "catalogue-read": route("catalogo", "/catalogue/"),
        "place-order": route("pedidos", "/order/", "unsafe"),
        "invoice-read": route("facturas", "/invoice/"),
    }
    await fleet.configure(1, routes, {"lab": ["key-1"], "crew": ["key-2"]})

    def on_call(machine: str, target: str) -> None:
        silent = machine in fleet.store.silent
        record(f"store: {machine} calls {target}, silent: {silent}")

    fleet.store.on_call = on_call
    first = await fleet.add("sidecar-1", "santander", "catalogo")
    await fleet.add("sidecar-2", "torrelavega", "pedidos")
    await fleet.add("sidecar-3", "laredo", "facturas")
    ran: set[str] = set()

    def on_event(event: str, server: Server, request: Message) -> None:
        if event == "run":
            ran.add(request.header("lavenderway-attempt-id") or "")

    for machine in fleet.machines.values():
        machine.server.on_event = on_event
    await fleet.start_servers()
    client = await Client(first).open()

    async def read(key: str) -> tuple[str, int | None]:
        attempt = fleet.next_id()
        data = encode_request("GET", "/catalogue/10", fleet.headers(key, attempt))
        response = await client.send(data)
        status = None if response is None else response.status
        record(f"client: {attempt} with {key}: {status}, run: {attempt in ran}")
        return attempt, status

    async def read_for(duration_s: float) -> None:
        end = record.now + duration_s
        while record.now < end:
            await read("key-1")
            await asyncio.sleep(INTERVAL_S)

    await read_for(2.0)
    if TROUBLE:
        fleet.store.silent.add("sidecar-1")
        record("store: no response to sidecar-1 from now on")
    await read_for(REVOKED_AFTER_S)
    await fleet.configure(2, routes, {"lab": [], "crew": ["key-2"]})
    acknowledged = record.now
    await read_for(SILENT_S - REVOKED_AFTER_S)
    fleet.store.silent.clear()
    record("store: serves all machines")
    bound = max(acknowledged + CONFIG_APPLY_S, record.now + CONTACT_S)
    wrong: list[str] = []
    while record.now < bound + WATCHED_S:
        sent_at = record.now
        attempt, status = await read("key-1")
        if sent_at > bound and (status != 401 or attempt in ran):
            wrong.append(attempt)
        await read("key-2")
        await asyncio.sleep(INTERVAL_S)
    record(f"requests with the key taken away, sent after the bound, run: {len(wrong)}")
    return not wrong


if __name__ == "__main__":
    main(Path(__file__).parent, play)
