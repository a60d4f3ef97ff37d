"""Callers that keep to no limits, as a disruption of a soak run.

They stop in the middle of a head or of a body, send chunks without end, or pipeline
requests and do not read the responses, and keep their connections open. Their requests
never end, or carry no key, so none may run.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

    from lavenderway_dev.relay_fleet import RelayHost

FIRST_SEED = 5_000  # from this seed on, soaks with differing views have such callers
FIRST_LASTING_SEED = 6_000  # from this seed on, some of them go on sending
CROWD = 24
MAX_HELD_S = 4.0
MAX_PAUSE_S = 1.0
HEAD = b"POST /stock/x HTTP/1.1\r\nhost: app.example\r\nlavenderway-attempt-id: "
# What follows the ID of an attempt in a request that never ends.
UNFINISHED = (
    b"\r\nx-padding: " + b"x" * 2_000,
    b"\r\ncontent-length: 60000\r\n\r\n" + b"x" * 59_999,
    b"\r\ntransfer-encoding: chunked\r\n\r\n" + b"8000\r\n" + b"x" * 32_000,
    b"\r\ntransfer-encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 5_000,
)
REPEAT_INTERVAL_S = 0.1
PIPELINED = 32
READ_LIMIT_BYTES = 1_024


class Pressure(NamedTuple):
    """What a caller sends, after the ID of an attempt.

    Attributes:
        ending: Sent first.
        repeated: Sent again and again while the connection is open.

    """

    ending: bytes
    repeated: bytes = b""


_WITHOUT_KEY = b"\r\ncontent-length: 0\r\n\r\n"
UNFINISHED_REQUESTS = tuple(Pressure(ending) for ending in UNFINISHED)
LASTING_REQUESTS = (
    Pressure(_WITHOUT_KEY, (HEAD + b"c0ffee0000000000" + _WITHOUT_KEY) * PIPELINED),
    Pressure(UNFINISHED[-1], b"1\r\nx\r\n" * 2_000),
)


def choose_pressures(seed: int) -> tuple[Pressure, ...]:
    """Return what the callers of a soak run send; nothing if it has none."""
    if seed < FIRST_SEED:
        return ()
    if seed < FIRST_LASTING_SEED:
        return UNFINISHED_REQUESTS
    return UNFINISHED_REQUESTS + LASTING_REQUESTS


async def press_on_hosts(
    hosts: dict[str, RelayHost], rng: random.Random, pressures: tuple[Pressure, ...]
) -> None:
    """Let crowds of callers press on one host after the other, until cancelled."""
    while True:
        host = rng.choice([*hosts.values()])
        held_s = rng.uniform(0.0, MAX_HELD_S)
        crowd = [rng.choice(pressures) for _ in range(CROWD)]
        await asyncio.gather(*(_press(host, pressure, held_s) for pressure in crowd))
        await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_S))


async def _press(host: RelayHost, pressure: Pressure, held_s: float) -> None:
    """Send what never ends, and keep the connection open for a while."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(held_s + 1.0):
            _, writer = await asyncio.open_connection(
                *host.callers, limit=READ_LIMIT_BYTES
            )
            try:
                writer.write(HEAD + b"%016x" % id(writer) + pressure.ending)
                if pressure.repeated:
                    async with asyncio.timeout(held_s):
                        await _repeat(writer, pressure.repeated)
                else:
                    await asyncio.sleep(held_s)
            finally:
                writer.transport.abort()


async def _repeat(writer: asyncio.StreamWriter, data: bytes) -> None:
    while True:
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(REPEAT_INTERVAL_S)
