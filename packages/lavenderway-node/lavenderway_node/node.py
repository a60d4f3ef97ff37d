"""The node: turns sockets, timers and answers into events and carries out effects."""

from __future__ import annotations

import asyncio
import base64
import secrets
from typing import TYPE_CHECKING, Any

from lavenderway_core.assembly import create_state, reduce
from lavenderway_core.configuration import want_status
from lavenderway_core.events import Event, JobCancelled, StopRequested, Ticked
from lavenderway_core.ids import ExchangeId, Incarnation, JobId

from lavenderway_node.clock import read_clock, read_wall_clock_ms
from lavenderway_node.exchange import AnswerStart, CallerExchange, CallInput
from lavenderway_node.executors import EXECUTORS
from lavenderway_node.link import Identity
from lavenderway_node.links import Links
from lavenderway_node.logs import LogWriter, write_failure
from lavenderway_node.metrics import Metrics
from lavenderway_node.platform import TableClient
from lavenderway_node.registry import keep_registered
from lavenderway_node.sinks import LinkSink, LocalSink, Sink
from lavenderway_node.upstream_client import UpstreamClient

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from lavenderway_core.admission import LoadReport
    from lavenderway_core.effects import Effect
    from lavenderway_core.state import NodeState
    from lavenderway_core.table import RowValue

    from lavenderway_node.settings import Settings

TICK_INTERVAL_S = 0.2
METRICS_INTERVAL_S = 1.0


class Node:
    """A node of the fleet.

    Args:
        settings: Checked settings.

    """

    def __init__(self, *, settings: Settings) -> None:
        now = read_clock()
        self.settings = settings
        self.state: NodeState = create_state(
            host=settings.host,
            failure_domain=settings.failure_domain,
            address=str(settings.listeners.peers),
            incarnation=Incarnation(read_wall_clock_ms()),
            seed=secrets.randbits(64),
            seeds=settings.seeds,
            now=now,
        )
        self.exchanges: dict[ExchangeId, CallerExchange] = {}
        self.given: dict[JobId, CallInput] = {}
        self.sinks: dict[JobId, Sink] = {}
        self.metrics = Metrics(address=settings.statsd)
        self.logs = LogWriter(host=settings.host, now=now)
        self.table = TableClient(
            url=settings.platform, timeout_s=settings.table_timeout_s
        )
        self.upstreams = UpstreamClient(node=self, secret=settings.fleet_secrets[0])
        self.links = Links(node=self, identity=self._identity())
        self.stopped = asyncio.Event()
        self._observers: set[Callable[[], None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_exchange = 0

    async def open(self) -> None:
        """Open clients and the listener for peers, and begin to tick."""
        await self.table.open()
        await self.upstreams.open()
        await self.links.open(self.settings.listeners.peers)
        self.spawn(keep_registered(self))
        self.spawn(self._tick())
        self.spawn(self._flush_metrics())

    async def close(self) -> None:
        """Close everything."""
        for task in list(self._tasks):
            task.cancel()
        await self.upstreams.close()
        await self.links.close()
        await self.table.close()
        self.metrics.flush()

    def dispatch(self, event: Event) -> None:
        """Reduce an event and carry out its effects."""
        before = self.state.directory.revision
        try:
            for effect in reduce(self.state, event, read_clock()):
                self.execute(effect)
        except Exception:  # one faulty event must not stop a node that serves
            self.metrics.count("node.internal_errors")
            write_failure(type(event).__name__)
        if self.state.directory.revision != before:
            self.notify_observers()

    def execute(self, effect: Effect) -> None:
        """Carry out one effect."""
        EXECUTORS[type(effect)](self, effect)

    def begin_stop(self) -> None:
        """Begin a planned stop."""
        self.dispatch(StopRequested())

    def take_exchange_number(self) -> ExchangeId:
        """Return the number of a new exchange."""
        self._next_exchange += 1
        return ExchangeId(self._next_exchange)

    def input_of(self, job: JobId) -> CallInput | None:
        """Return what a job sends to its upstream."""
        if self.is_own(job):
            exchange = self.exchanges.get(job.exchange)
            return None if exchange is None else exchange.given
        return self.given.get(job)

    def sink_of(self, job: JobId) -> Sink | None:
        """Return where the answer of a job goes."""
        if self.is_own(job):
            return LocalSink(node=self, job=job)
        return self.sinks.get(job)

    def is_own(self, job: JobId) -> bool:
        """Tell whether a job comes from a caller of this node."""
        return (
            job.origin == self.state.host and job.incarnation == self.state.incarnation
        )

    def forget_job(self, job: JobId) -> None:
        """Drop the input and the sink of a job."""
        self.given.pop(job, None)
        self.sinks.pop(job, None)

    def cancel_job(self, job: JobId) -> None:
        """Stop work for an attempt that its entry node gave up."""
        self.dispatch(JobCancelled(job))
        if job not in self.state.jobs:
            self.forget_job(job)

    def jobs_over(self, link: object) -> list[JobId]:
        """Return the jobs whose answers go over a link."""
        return [
            job
            for job, sink in self.sinks.items()
            if isinstance(sink, LinkSink) and sink.link is link
        ]

    def replay(self, job: JobId, answer: RowValue, load: LoadReport | None) -> None:
        """Answer a job with the answer that was kept from the first run."""
        sink = self.sink_of(job)
        self.forget_job(job)
        if sink is not None:
            sink.begin(_parse_answer(answer), load)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine until it ends or the node closes."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def observe(self, observer: Callable[[], None]) -> Callable[[], None]:
        """Call `observer` at each change in force; return how to end that."""
        self._observers.add(observer)
        return lambda: self._observers.discard(observer)

    def notify_observers(self) -> None:
        """Tell observers that something in force has changed."""
        for observer in list(self._observers):
            observer()

    def want_status(self) -> None:
        """Have the status of failure domains kept up to date for a while."""
        want_status(self.state, read_clock())

    def _identity(self) -> Identity:
        return Identity(
            self.settings.host, self.state.incarnation, self.settings.fleet_secrets
        )

    async def _tick(self) -> None:
        while True:
            self.dispatch(Ticked())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _flush_metrics(self) -> None:
        while True:
            await asyncio.sleep(METRICS_INTERVAL_S)
            self.metrics.flush()


def _parse_answer(answer: RowValue) -> AnswerStart:
    fields = answer.get("headers")
    headers = tuple(
        (str(name).encode("latin-1"), str(value).encode("latin-1"))
        for name, value in (fields if isinstance(fields, list) else [])
    )
    body = base64.b64decode(str(answer.get("body", "")))
    status = answer.get("status")
    return AnswerStart(
        status if isinstance(status, int) else 200,
        str(answer.get("reason", "")),
        headers,
        body,
        more=False,
    )
