"""Open-loop load generator for several workspaces and levels of importance."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from lavenderway_dev.raw_client import RawClient, build_request, read_field

ATTEMPT_TIMEOUT_S = 1.2
RETRY_PAUSE_S = 0.02


class LoadClass(NamedTuple):
    """Load of one workspace and importance.

    Attributes:
        rate_at: Returns requests per second for a time since the start, in seconds.
        attempts: Maximum attempts per request; clients ignore Retry-After.

    """

    workspace: str
    importance: str
    path: str
    secret: str
    rate_at: Callable[[float], float]
    attempts: int


class Sample(NamedTuple):
    """Result of one client request with all its attempts.

    Attributes:
        sent_at: Start of the first attempt, in seconds since the start of the load.
        elapsed_s: Time from the first attempt to the last response, in seconds.
        status: Status of the last response; 0 without a response.
        outcome: Lavenderway-Outcome field of the last response; empty if absent.
        attempt_count: Number of attempts.

    """

    workspace: str
    importance: str
    sent_at: float
    elapsed_s: float
    status: int
    outcome: str
    attempt_count: int

    @property
    def is_served(self) -> bool:
        """Whether the client got a successful response."""
        return 200 <= self.status < 300


class LoadGenerator:
    """Generator that sends each attempt to a random node.

    Args:
        ports: Ports of the nodes' listeners for callers.
        seed: Seed of the arrival times and of the choice of nodes.

    Attributes:
        samples: Results of all finished requests.

    """

    def __init__(self, *, ports: list[int], seed: int) -> None:
        self._clients = [RawClient(port=port) for port in ports]
        self._random = Random(seed)
        self.samples: list[Sample] = []

    async def run(self, classes: list[LoadClass], duration_s: float) -> None:
        """Send requests for a duration and wait until all of them have finished."""
        started_at = time.perf_counter()
        tasks: set[asyncio.Task[None]] = set()
        await asyncio.gather(
            *(self._run_class(each, started_at, duration_s, tasks) for each in classes)
        )
        if tasks:
            await asyncio.wait(tasks)
        for client in self._clients:
            client.close()

    async def _run_class(
        self,
        load_class: LoadClass,
        started_at: float,
        duration_s: float,
        tasks: set[asyncio.Task[None]],
    ) -> None:
        data = build_request(
            load_class.path, fields={"Authorization": f"Bearer {load_class.secret}"}
        )
        due = 0.0
        while due < duration_s:
            due += self._random.expovariate(max(load_class.rate_at(due), 0.01))
            await asyncio.sleep(max(0.0, started_at + due - time.perf_counter()))
            task = asyncio.create_task(self._request(load_class, data, started_at))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _request(
        self, load_class: LoadClass, data: bytes, started_at: float
    ) -> None:
        sent_at = time.perf_counter()
        attempt_count, status, outcome = 0, 0, ""
        while attempt_count < load_class.attempts:
            attempt_count += 1
            client = self._random.choice(self._clients)
            response = await client.request(data, ATTEMPT_TIMEOUT_S)
            status = response.status
            outcome = read_field(response.head, b"Lavenderway-Outcome").decode()
            if 200 <= status < 500 and status != 429:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        elapsed_s = time.perf_counter() - sent_at
        self.samples.append(
            Sample(
                load_class.workspace,
                load_class.importance,
                sent_at - started_at,
                elapsed_s,
                status,
                outcome,
                attempt_count,
            )
        )
