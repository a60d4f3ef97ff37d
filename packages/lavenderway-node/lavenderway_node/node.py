"""Node runtime: feeds I/O events to the reducer and executes the effects it returns."""

from __future__ import annotations

import asyncio
import base64
import secrets
from typing import TYPE_CHECKING, Any

from lavenderway_core.assembly import create_state, reduce
from lavenderway_core.configuration import request_status_updates
from lavenderway_core.events import Event, JobCancelled, StopRequested, TimerTicked
from lavenderway_core.ids import ExchangeId, Incarnation, JobId

from lavenderway_node.clock import read_clock, read_wall_clock_ms
from lavenderway_node.exchange import CallerExchange, ForwardedRequest, ResponseStart
from lavenderway_node.executors import EXECUTORS
from lavenderway_node.link import Identity
from lavenderway_node.links import Links
from lavenderway_node.logs import LogWriter, log_event_failure
from lavenderway_node.metrics import Metrics
from lavenderway_node.registry import maintain_registration
from lavenderway_node.sinks import LinkSink, LocalSink, Sink
from lavenderway_node.table_client import TableClient
from lavenderway_node.upstream_client import UpstreamClient

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from lavenderway_core.admission import LoadReport
    from lavenderway_core.effects import Effect
    from lavenderway_core.state import NodeState
    from lavenderway_core.table import RowValue

    from lavenderway_node.settings import Settings

TICK_INTERVAL_S = 0.2
METRICS_FLUSH_INTERVAL_S = 1.0


class Node:
    """State, clients and links of one node process.

    Args:
        settings: Validated settings.

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
        self.peer_requests: dict[JobId, ForwardedRequest] = {}
        self.sinks: dict[JobId, Sink] = {}
        self.metrics = Metrics(address=settings.statsd)
        self.logs = LogWriter(host=settings.host, now=now)
        self.table = TableClient(
            url=settings.platform, timeout_s=settings.table_timeout_s
        )
        self.upstreams = UpstreamClient(node=self, secret=settings.fleet_secrets[0])
        self.links = Links(node=self, identity=self._build_identity())
        self.stopped = asyncio.Event()
        self._observers: set[Callable[[], None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_exchange_id = 0

    async def open(self) -> None:
        """Open the clients and the peer listener, and start the periodic tasks."""
        await self.table.open()
        await self.upstreams.open()
        await self.links.open(self.settings.listeners.peers)
        self.spawn(maintain_registration(self))
        self.spawn(self._tick())
        self.spawn(self._flush_metrics())

    async def close(self) -> None:
        """Cancel the running tasks and close all clients and links."""
        for task in list(self._tasks):
            task.cancel()
        await self.upstreams.close()
        await self.links.close()
        await self.table.close()
        self.metrics.flush()

    def dispatch(self, event: Event) -> None:
        """Pass an event to the reducer and execute the resulting effects."""
        previous_revision = self.state.configuration_store.revision
        try:
            for effect in reduce(self.state, event, read_clock()):
                self.execute(effect)
        except Exception:  # an error in one event must not stop the node
            self.metrics.count("node.internal_errors")
            log_event_failure(type(event).__name__)
        if self.state.configuration_store.revision != previous_revision:
            self.notify_observers()

    def execute(self, effect: Effect) -> None:
        """Execute one effect."""
        EXECUTORS[type(effect)](self, effect)

    def request_stop(self) -> None:
        """Start a graceful shutdown."""
        self.dispatch(StopRequested())

    def allocate_exchange_id(self) -> ExchangeId:
        """Return a new exchange ID, unique within this incarnation."""
        self._last_exchange_id += 1
        return ExchangeId(self._last_exchange_id)

    def find_forwarded_request(self, job: JobId) -> ForwardedRequest | None:
        """Return the request that a job sends to its upstream, or None if unknown."""
        if self.is_local_job(job):
            exchange = self.exchanges.get(job.exchange)
            return None if exchange is None else exchange.forwarded
        return self.peer_requests.get(job)

    def find_sink(self, job: JobId) -> Sink | None:
        """Return the destination of a job's response, or None if unknown."""
        if self.is_local_job(job):
            return LocalSink(node=self, job=job)
        return self.sinks.get(job)

    def is_local_job(self, job: JobId) -> bool:
        """Return whether a job was created by this node for one of its callers."""
        return (
            job.origin == self.state.host and job.incarnation == self.state.incarnation
        )

    def discard_job(self, job: JobId) -> None:
        """Drop the stored request and the sink of a job."""
        self.peer_requests.pop(job, None)
        self.sinks.pop(job, None)

    def cancel_job(self, job: JobId) -> None:
        """Cancel a job that its entry node no longer waits for."""
        self.dispatch(JobCancelled(job))
        if job not in self.state.jobs:
            self.discard_job(job)

    def find_jobs_of_link(self, link: object) -> list[JobId]:
        """Return the jobs whose responses are sent over a link."""
        return [
            job
            for job, sink in self.sinks.items()
            if isinstance(sink, LinkSink) and sink.link is link
        ]

    def replay_response(
        self, job: JobId, recorded: RowValue, load: LoadReport | None
    ) -> None:
        """Send the response recorded by the first execution as that of a job."""
        sink = self.find_sink(job)
        self.discard_job(job)
        if sink is not None:
            sink.begin(_decode_recorded_response(recorded), load)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that is cancelled when the node closes."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def add_observer(self, observer: Callable[[], None]) -> Callable[[], None]:
        """Register a function to call after each change of the configuration.

        Returns:
            A function that removes the observer.

        """
        self._observers.add(observer)
        return lambda: self._observers.discard(observer)

    def notify_observers(self) -> None:
        """Call all observers after the active configuration has changed."""
        for observer in list(self._observers):
            observer()

    def request_status_updates(self) -> None:
        """Keep requesting the status of all failure domains for a limited time."""
        request_status_updates(self.state, read_clock())

    def _build_identity(self) -> Identity:
        return Identity(
            self.settings.host, self.state.incarnation, self.settings.fleet_secrets
        )

    async def _tick(self) -> None:
        while True:
            self.dispatch(TimerTicked())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _flush_metrics(self) -> None:
        while True:
            await asyncio.sleep(METRICS_FLUSH_INTERVAL_S)
            self.metrics.flush()


def _decode_recorded_response(recorded: RowValue) -> ResponseStart:
    fields = recorded.get("headers")
    headers = tuple(
        (str(name).encode("latin-1"), str(value).encode("latin-1"))
        for name, value in (fields if isinstance(fields, list) else [])
    )
    body = base64.b64decode(str(recorded.get("body", "")))
    status = recorded.get("status")
    return ResponseStart(
        status if isinstance(status, int) else 200,
        str(recorded.get("reason", "")),
        headers,
        body,
        more=False,
    )
