"""Checks that nodes hold nothing once all clients have gone."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from lavenderway_relay.messages import Request, encode_request
from lavenderway_relay.pools import ConnectError, ConnectionBrokenError, ConnectionPool

from lavenderway_dev.soak_checks import Finding, Invariant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderway_dev.relay_fleet import RelayHost

RETURN_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.2
NAMES = (
    "held_request_bytes",
    "held_response_bytes",
    "held_upstream_bytes",
    "requests_pending",
    "requests_waiting",
    "responses_waiting",
    "reads_waiting",
)


async def find_held_memory(hosts: Iterable[RelayHost]) -> list[Finding]:
    """Return what nodes still hold after a while."""
    return [finding for host in hosts for finding in await _find_held(host)]


async def _find_held(host: RelayHost) -> list[Finding]:
    held: dict[str, float] = {}
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RETURN_TIMEOUT_S):
            while True:
                held = await _read_held(host)
                if not held:
                    return []
                await asyncio.sleep(POLL_INTERVAL_S)
    return [
        Finding(Invariant.MEMORY_RETURNED, f"{host.plan.name}: {name} {value}")
        for name, value in held.items()
    ]


async def _read_held(host: RelayHost) -> dict[str, float]:
    """Return the metrics that should be 0 and are not."""
    request = Request(b"GET", b"/metrics", [(b"host", b"x")], b"")
    pool = ConnectionPool(loop=asyncio.get_running_loop(), connect_timeout_s=1.0)
    try:
        response = await pool.exchange(host.readiness, encode_request(request))
    except (ConnectError, ConnectionBrokenError):
        return {"metrics that could be read": 0.0}
    finally:
        pool.close()
    values: dict[str, float] = {}
    for line in response.body.decode().splitlines():
        name, _, value = line.rpartition(" ")
        if name.removeprefix("lavenderway_") in NAMES and float(value):
            values[name] = float(value)
    return values
