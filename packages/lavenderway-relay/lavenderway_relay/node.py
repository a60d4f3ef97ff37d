"""Assembles one node: its listeners, background tasks, start-up and shutdown."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from functools import partial
from typing import TYPE_CHECKING

from lavenderway_relay.admission_level import LEVEL_UPDATE_INTERVAL_S
from lavenderway_relay.announcements import AnnouncementEffect, LocalUpstream
from lavenderway_relay.caller_handler import CallerRequestHandler
from lavenderway_relay.connection_limits import compute_connection_limits
from lavenderway_relay.gauges import register_gauges
from lavenderway_relay.load_balancer import LoadBalancer
from lavenderway_relay.messages import Response
from lavenderway_relay.model import Limits, UpstreamStatus
from lavenderway_relay.peer_client import PeerClient
from lavenderway_relay.peer_handler import PeerRequestHandler
from lavenderway_relay.pressure_log import PressureLog, WaitLog
from lavenderway_relay.quota import WorkspaceTokens
from lavenderway_relay.refusals import refuse_malformed_input
from lavenderway_relay.server import HttpServer
from lavenderway_relay.state import NodeState
from lavenderway_relay.sync import StateSync
from lavenderway_relay.upstream_runner import UpstreamRunner

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_core.ids import UpstreamId

    from lavenderway_relay.dependencies import NodeDependencies
    from lavenderway_relay.logs import LogStream
    from lavenderway_relay.model import Address, Upstream

PEER_LIMITS = Limits(
    head_bytes=65_536,
    body_bytes=67_108_864,
    head_timeout_s=10.0,
    idle_timeout_s=60.0,  # longer than a peer's pool keeps an idle connection
)
PEER_UNACKNOWLEDGED_TIMEOUT_MS = 1_500  # peers read responses as they arrive
DEPARTURE_WRITE_TIMEOUT_S = 0.6  # announcements must get a response within a second
LEAVE_TIME_S = 2.4  # callers leave after two failed readiness checks of a second each
MAX_LEAVE_SHARE = 0.5  # of the grace period; the rest is for completing what was taken
# Parts of the grace period at its end: the last root requests taken end before the
# first, everything else before the second, which is kept for writing responses.
EXIT_MARGIN_S = 0.8
COMPLETION_MARGIN_S = 0.3
WRITE_TIMEOUT_S = 0.1  # part of the margin in which callers take the last responses
WRITE_POLL_INTERVAL_S = 0.005
READ_TIME_S = 0.01  # several iterations of the event loop, which read what has arrived
DRAIN_POLL_INTERVAL_S = 0.05
SETTINGS_CHECK_TICKS = 10  # a change without SIGHUP is found within a second
# Idle connections are many, and their timeouts are seconds long.
CONNECTION_CHECK_TICKS = 5
LAG_THRESHOLD_S = 0.03  # above it, callers have often left before their request is read


class Node:
    """One node process.

    Args:
        dependencies: Platform-specific components that the adapter provides.
        log: Structured log of the node.
        loop: The event loop.

    """

    def __init__(
        self,
        *,
        dependencies: NodeDependencies,
        log: LogStream,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        settings = dependencies.settings
        self._dependencies = dependencies
        self._loop = loop
        self._stop_requested = asyncio.Event()
        load_balancer = LoadBalancer(
            host=settings.host,
            failure_domain=settings.failure_domain,
            random=random.random,
        )
        self.state = NodeState(
            settings=settings,
            header_names=dependencies.header_names,
            log=log,
            load_balancer=load_balancer,
            local_upstream=LocalUpstream(interval_s=settings.announcement_interval_s),
            quota=WorkspaceTokens(extra_burst=settings.extra_burst),
            started_ms=int(time.time() * 1000),
        )
        self._upstream_runner = UpstreamRunner(state=self.state, loop=loop)
        self._peer_client = PeerClient(
            state=self.state,
            upstream_runner=self._upstream_runner,
            loop=loop,
            random=random.random,
        )
        self._caller_handler = CallerRequestHandler(
            state=self.state,
            peer_client=self._peer_client,
            loop=loop,
            random=random.random,
        )
        peer_handler = PeerRequestHandler(
            state=self.state,
            upstream_runner=self._upstream_runner,
            peer_client=self._peer_client,
            loop=loop,
        )
        self._sync = StateSync(
            state=self.state,
            store=dependencies.store,
            peer_client=self._peer_client,
            upstream_runner=self._upstream_runner,
            loop=loop,
            random=random.random,
            decode_configuration=dependencies.decode_configuration,
            config_table=dependencies.config_table,
            config_key=dependencies.config_key,
            evacuation_key_prefix=dependencies.evacuation_key_prefix,
        )
        self._upstream_runner.on_leaving = self._sync.publish
        peer_handler.on_record = self._sync.learn_member
        pressure_log = PressureLog(state=self.state, loop=loop)
        self._wait_log = WaitLog(log=log)
        self._caller_server = HttpServer(
            loop=loop,
            serve=self._caller_handler.serve,
            refuse=refuse_malformed_input,
            limits=lambda: self.state.limits,
            ledger=self.state.ledger,
            log_pressed=partial(pressure_log.record_end, "callers"),
        )
        self._peer_server = HttpServer(
            loop=loop,
            serve=peer_handler.serve,
            refuse=peer_handler.refuse,
            limits=lambda: PEER_LIMITS,
            unacknowledged_timeout_ms=PEER_UNACKNOWLEDGED_TIMEOUT_MS,
            ledger=self.state.ledger,
            log_pressed=partial(pressure_log.record_end, "peers"),
        )
        self._servers = [self._caller_server, self._peer_server]
        self._limit_connections()
        register_gauges(
            state=self.state,
            upstream_runner=self._upstream_runner,
            caller_server=self._caller_server,
            peer_server=self._peer_server,
            loop=loop,
        )

    @property
    def ready(self) -> bool:
        """Whether callers should send new requests to this node."""
        return self.state.ready

    async def run(
        self, create_servers: Callable[[Node], list[tuple[HttpServer, Address]]]
    ) -> None:
        """Serve until the process receives SIGTERM or SIGINT, then drain.

        SIGHUP reloads the settings.

        Args:
            create_servers: Returns the servers for readiness checks and announcements
                with their addresses; the platform defines the protocol of both.

        """
        settings = self.state.settings
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self._stop_requested.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._sync.start()
        await self._peer_server.listen(settings.listeners.peers)
        await self._caller_server.listen(settings.listeners.callers)
        for server, address in create_servers(self):
            await server.listen(address)
            self._servers.append(server)
        self.state.log.state(
            "node.started",
            self._loop.time(),
            failure_domain=settings.failure_domain,
            service=settings.service,
        )
        tick_task = self.state.tasks.start(self._tick(), self._loop)
        await self._stop_requested.wait()
        await self._drain()
        tick_task.cancel()
        self._sync.stop()
        self.state.log.flush()

    async def handle_announcement(
        self, upstream: Upstream, *, warmup_left_s: float = 0.0
    ) -> bool:
        """Handle an announcement of the upstream on this host.

        If the upstream is no longer ready, returns when that is stored, but after
        `DEPARTURE_WRITE_TIMEOUT_S` at the latest.

        Args:
            upstream: The upstream, as announced.
            warmup_left_s: Time for which it stays cold, in seconds; 0.0 if it is warm.

        Returns:
            Whether to acknowledge it. A departure that is not stored is not
            acknowledged, as the node's next process would not know it.

        """
        effect = self.state.local_upstream.announce(upstream, self._loop.time())
        if effect is not AnnouncementEffect.OUTDATED:
            self._upstream_runner.record_warmup(warmup_left_s)
        return await self._apply_announcement(effect, upstream.id, upstream.status)

    async def handle_deregistration(
        self, upstream_id: UpstreamId, started_ms: int | None
    ) -> bool:
        """Handle the deregistration of an upstream on this host.

        Args:
            upstream_id: ID of the upstream.
            started_ms: Wall-clock start of the deregistered incarnation, in
                milliseconds; None if the message does not state it.

        Returns:
            Whether to acknowledge it, as for an announcement.

        """
        effect = self.state.local_upstream.deregister(upstream_id, started_ms)
        return await self._apply_announcement(effect, upstream_id, UpstreamStatus.GONE)

    async def _apply_announcement(
        self,
        effect: AnnouncementEffect,
        upstream_id: UpstreamId,
        status: UpstreamStatus,
    ) -> bool:
        if effect is not AnnouncementEffect.REPEATED:
            self.state.log.state(
                "upstream.announced",
                self._loop.time(),
                upstream=upstream_id,
                status=status,
                reading=effect,
            )
        if effect is AnnouncementEffect.CHANGED:
            self._upstream_runner.apply_announcement()
            self._sync.publish()
            if status is not UpstreamStatus.READY:
                await self._sync.wait_until_published(DEPARTURE_WRITE_TIMEOUT_S)
        return not self._has_unstored_departure()

    def render_metrics(self) -> Response:
        """Return the metrics in the Prometheus text format."""
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        return Response(200, headers, self.state.metrics.render())

    def log_malformed_announcement(self, target: str, error: str) -> None:
        """Log an announcement that cannot be decoded."""
        self.state.log.state(
            "upstream.malformed", self._loop.time(), target=target, error=error
        )

    def log_fault(self, error: Exception) -> None:
        """Log an unexpected error of a listener that the platform defines."""
        self.state.log.state("node.fault", self._loop.time(), error=repr(error))

    async def _tick(self) -> None:
        due = self._loop.time()
        ticks = 0
        while True:
            due += LEVEL_UPDATE_INTERVAL_S
            await asyncio.sleep(due - self._loop.time())
            now = self._loop.time()
            self._update_lag(now - due)
            due = now
            ticks += 1
            try:
                self._tick_once(now)
                if ticks % CONNECTION_CHECK_TICKS == 0:
                    self._close_idle_connections(now)
                if ticks % SETTINGS_CHECK_TICKS == 0:
                    self._reload_if_changed()
            except Exception as error:  # later ticks and the flush must still run
                self.log_fault(error)
            self.state.log.flush()

    def _tick_once(self, now: float) -> None:
        if self.state.local_upstream.check_silence(now):
            self.state.log.state("upstream.silent", now)
            self._upstream_runner.apply_announcement()
        self._upstream_runner.tick(now)
        self._peer_client.tick(now)
        for server in self._servers:
            server.check_pressure(now)
        self.state.response_budget.check(now)
        requests = sum(server.waiting for server in self._servers)
        self._wait_log.update(requests, self.state.response_budget.waiting, now)
        self.state.renew_lease(now)
        for loan_request in self.state.quota.tick(now):
            self.state.tasks.start(self._peer_client.borrow(loan_request), self._loop)

    def _close_idle_connections(self, now: float) -> None:
        self._caller_server.close_idle(now)
        self._peer_server.close_idle(now)
        self._peer_client.close_idle(now)
        self._upstream_runner.close_idle(now)

    def _reload_if_changed(self) -> None:
        if self._dependencies.settings_changed():
            self._reload()

    def _update_lag(self, lag_s: float) -> None:
        """Record the event loop's lag, which indicates a lack of CPU time.

        Args:
            lag_s: Delay of the present tick, in seconds.

        """
        self.state.lag_s = lag_s
        lagging = lag_s > LAG_THRESHOLD_S
        if lagging and not self._caller_server.lagging:
            now = self._loop.time()
            self.state.log.state("node.lagging", now, lag_ms=round(lag_s * 1e3))
        next_tick_deadline = (
            self._loop.time() + LEVEL_UPDATE_INTERVAL_S + LAG_THRESHOLD_S
        )
        for server in (self._caller_server, self._peer_server):
            server.lagging = lagging
            server.next_tick_deadline = next_tick_deadline

    async def _drain(self) -> None:
        """Complete the pending requests while callers and peers move to other nodes.

        Callers without another ready node stay. Once the others have had time to leave,
        the node exits as soon as it is idle, and takes only root requests that end
        before its last moment.
        """
        state = self.state
        # The event loop may have been blocked or suspended since the signal.
        started = min(self._loop.time(), self._caller_server.next_tick_deadline)
        grace_s = max(0.0, state.settings.shutdown_grace_s - EXIT_MARGIN_S)
        leave_s = min(LEAVE_TIME_S, MAX_LEAVE_SHARE * grace_s)
        state.serving = False
        try:
            state.log.state("node.stopping", started)
            self._upstream_runner.stopping = True
            self._caller_server.stop()
            self._sync.publish()
            await asyncio.sleep(started + leave_s - self._loop.time())
            state.exit_at = started + grace_s
            state.complete_at = started + max(
                grace_s, state.settings.shutdown_grace_s - COMPLETION_MARGIN_S
            )
            self._peer_server.stop()
            await self._wait_until_idle(state.complete_at)
        finally:
            now = self._loop.time()
            state.exit_at = min(state.exit_at, now)
            state.complete_at = min(state.complete_at, now)
            interrupted = await self._close_servers(started)
            now = self._loop.time()
            state.log.state(
                "node.stopped",
                now,
                ms=round((now - started) * 1e3),
                interrupted=interrupted,
                unwritten_bytes=sum(server.unwritten_bytes for server in self._servers),
            )

    async def _wait_until_idle(self, deadline: float) -> None:
        """Wait until nothing that the node took or acknowledged is unfinished."""
        while self._loop.time() < deadline:
            # The event loop may have been blocked. It reads what has arrived first.
            await asyncio.sleep(READ_TIME_S)
            now = self._loop.time()
            self._caller_server.close_when_idle(now)
            servers = (self._caller_server, self._peer_server)
            if not (
                any(server.busy or server.has_unread_response for server in servers)
                or self._upstream_runner.busy
                or self._has_unstored_departure()
            ):
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def _has_unstored_departure(self) -> bool:
        if self.state.local_upstream.departed_early:
            # It is stored once the record that may name the upstream has been read.
            return not self._sync.restored.is_set()
        upstream = self.state.local_upstream.current
        departing = upstream is not None and upstream.status is not UpstreamStatus.READY
        return departing and not self._sync.published

    async def _close_servers(self, stop_requested_at: float) -> int:
        """Take no more requests, and write the responses to those taken.

        Requests that have arrived, but have not been read, are refused.

        Args:
            stop_requested_at: Time at which the node was told to stop, in seconds.

        Returns:
            The number of requests that were still in progress.

        """
        interrupt = self._caller_handler.interrupt
        for server in self._servers:
            server.stop_accepting()
        await asyncio.sleep(READ_TIME_S)
        for server in self._servers:
            server.close()
        now = self._loop.time()
        deadline = now + WRITE_TIMEOUT_S
        interrupted = interrupt(now, stop_requested_at)
        while now < deadline and any(server.connections for server in self._servers):
            await asyncio.sleep(WRITE_POLL_INTERVAL_S)
            now = self._loop.time()
            interrupted += interrupt(now, stop_requested_at)
        return interrupted

    def _reload(self) -> None:
        """Read the settings again.

        Keeps the present ones if the new ones are invalid or change the host or a
        listener address, which needs a restart.
        """
        now = self._loop.time()
        active_settings = self.state.settings
        try:
            settings = self._dependencies.read_settings()
        except Exception as error:  # no error in the file may stop the node
            self.state.log.state("settings.unusable", now, error=str(error))
            return
        if (settings.host, settings.listeners) != (
            active_settings.host,
            active_settings.listeners,
        ):
            self.state.log.state("settings.need_restart", now)
            return
        self.state.apply_settings(settings, now)
        self._limit_connections()
        self.state.log.state("node.reloaded", now, changed=settings != active_settings)

    def _limit_connections(self) -> None:
        limits = compute_connection_limits(self.state.settings)
        self._caller_server.max_connections = limits.max_connections
        self._caller_server.acceptance_limit = limits.acceptance_limit
