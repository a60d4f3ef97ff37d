"""Open-loop load generator with workspaces, importances and retrying clients."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from lavenderway_dev.raw_client import RawClient, build_request, read_field

TIMEOUT_S = 1.2
HARD_RETRY_PAUSE_S = 0.02


class LoadClass(NamedTuple):
    """Callers of one workspace and importance.

    Attributes:
        rate_at: Requests per second at a time since the start, in seconds.
        attempts: Tries of a client that retries hard, without regard to Retry-After.

    """

    workspace: str
    importance: str
    path: str
    secret: str
    rate_at: Callable[[float], float]
    attempts: int


class Sample(NamedTuple):
    """One request of a client, with all its tries.

    Attributes:
        began: Seconds since the start of the load.
        elapsed_s: Seconds until the last answer.
        status: Status of the last answer; 0 without one.

    """

    workspace: str
    importance: str
    began: float
    elapsed_s: float
    status: int
    outcome: str
    tries: int

    @property
    def whole(self) -> bool:
        """Whether the client got a whole answer."""
        return 200 <= self.status < 300


class LoadGenerator:
    """Sends the requests of several classes to nodes in turn.

    Args:
        ports: Ports of the nodes' listeners for callers.
        seed: Seed of the arrival times.

    """

    def __init__(self, *, ports: list[int], seed: int) -> None:
        self._clients = [RawClient(port=port) for port in ports]
        self._random = Random(seed)
        self.samples: list[Sample] = []

    async def run(self, classes: list[LoadClass], duration_s: float) -> None:
        """Send for some time and wait for the last answers."""
        began = time.perf_counter()
        tasks: set[asyncio.Task[None]] = set()
        await asyncio.gather(
            *(self._run_class(each, began, duration_s, tasks) for each in classes)
        )
        if tasks:
            await asyncio.wait(tasks)
        for client in self._clients:
            client.close()

    async def _run_class(
        self,
        load: LoadClass,
        began: float,
        duration_s: float,
        tasks: set[asyncio.Task[None]],
    ) -> None:
        data = build_request(
            load.path, fields={"Authorization": f"Bearer {load.secret}"}
        )
        due = 0.0
        while due < duration_s:
            due += self._random.expovariate(max(load.rate_at(due), 0.01))
            await asyncio.sleep(max(0.0, began + due - time.perf_counter()))
            task = asyncio.create_task(self._request(load, data, began))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _request(self, load: LoadClass, data: bytes, began: float) -> None:
        at = time.perf_counter()
        tries, status, outcome = 0, 0, ""
        while tries < load.attempts:
            tries += 1
            client = self._random.choice(self._clients)
            answer = await client.request(data, TIMEOUT_S)
            status = answer.status
            outcome = read_field(answer.head, b"Lavenderway-Outcome").decode()
            if 200 <= status < 500 and status != 429:
                break
            await asyncio.sleep(HARD_RETRY_PAUSE_S)
        elapsed_s = time.perf_counter() - at
        self.samples.append(
            Sample(
                load.workspace,
                load.importance,
                at - began,
                elapsed_s,
                status,
                outcome,
                tries,
            )
        )
