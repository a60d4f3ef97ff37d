"""A node is stopped while its server makes calls for an order that it runs."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import TYPE_CHECKING

from standins.fleet import TROUBLE, Client, Fleet, main, route
from standins.http import encode_request

if TYPE_CHECKING:
    from standins.http import Message
    from standins.server import Server

DEADLINE_MS = 6000  # of `place-order`
ORDER = "/order/14x400"  # 14 calls of 0.4 s, one after the other: 5.6 s
ORDERS = 4
GRACE_S = 6.0
EXCUSED_SENT_S = 3.0  # "sent no later than 3 s after the SIGTERM"


async def play(fleet: Fleet) -> bool:
    """Play the case; return whether the rule held."""
    record = fleet.record
    routes = {
        "place-order": route("pedidos", "/order/", "unsafe", timeout_ms=DEADLINE_MS),
        "stock": route("reparto", "/stock/", timeout_ms=DEADLINE_MS, public=True),
    }
    await fleet.configure(1, routes, {"lab": ["key-1"]})
    first = await fleet.add("sidecar-1", "santander", "reparto")
    second = await fleet.add("sidecar-2", "torrelavega", "pedidos")
    running: set[str] = set()
    sent_at: dict[str, float] = {}
    broken_off: list[str] = []
    stopped_at = float("inf")

    def on_event(event: str, server: Server, request: Message) -> None:
        attempt = request.header("lavenderway-attempt-id") or ""
        record(f"server {server.name}: {event} {attempt}")
        if event == "run":
            running.add(attempt)
        elif event == "ran":
            running.discard(attempt)

    def on_call(attempt: str, status: int | None) -> None:
        if status == 0:
            sent_at[attempt] = record.now
            return
        record(f"server: call {attempt}: {status}")
        # A call that its server was at work on, and that got no answer of it.
        if status != 200 and attempt in running:
            after_s = sent_at[attempt] - stopped_at
            record(f"broken off: {attempt}, sent {after_s:.2f} s after the SIGTERM")
            if after_s > EXCUSED_SENT_S:
                broken_off.append(attempt)

    for machine in (first, second):
        machine.server.on_event = on_event
        machine.server.on_call = on_call
    await fleet.start_servers()

    async def order(number: int) -> None:
        client = await Client(first).open()
        await asyncio.sleep(0.1 * number)
        attempt = fleet.next_id()
        headers = fleet.headers("key-1", attempt, DEADLINE_MS)
        response = await client.send(encode_request("POST", ORDER, headers, b"order"))
        status = None if response is None else response.status
        record(f"client: order {attempt}: {status}")

    orders = [asyncio.create_task(order(number)) for number in range(ORDERS)]
    await asyncio.sleep(0.4)
    if TROUBLE and second.process is not None:
        second.process.send_signal(signal.SIGTERM)
        stopped_at = record.now
        record("sidecar-2: SIGTERM")
        await second.process.wait()
        record(f"sidecar-2: ended {record.now - stopped_at:.2f} s after the SIGTERM")
    await asyncio.gather(*orders)
    record(f"calls broken off: {broken_off}")
    return not broken_off


if __name__ == "__main__":
    main(Path(__file__).parent, play)
