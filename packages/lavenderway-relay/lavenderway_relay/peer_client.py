"""Sends requests and queries from this node to the hosts of the fleet.

Requests for this host run at the local upstream; all others are sent to the node of
their host.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import orjson

from lavenderway_relay.hops import (
    HOP_HEADER,
    HopFormatError,
    HopResponse,
    Outcome,
    UpstreamResult,
    decode_hop_response,
    encode_hop_request,
)
from lavenderway_relay.messages import (
    Request,
    encode_request,
    encode_request_parts,
    strip_headers,
)
from lavenderway_relay.pools import (
    ConnectError,
    ConnectionBrokenError,
    ConnectionPool,
    ResponseLimitError,
)
from lavenderway_relay.quota import MIN_LOAN_TOKENS, select_lenders
from lavenderway_relay.response_limits import (
    MAX_FRAMING_BYTES,
    MAX_HEADERS,
    ResponseLimit,
    ResponseLimits,
)
from lavenderway_relay.revision import NO_REVISION, encode_revision

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_core.ids import HostId, WorkspaceId

    from lavenderway_relay.hops import HopRequest
    from lavenderway_relay.model import HostRecord
    from lavenderway_relay.quota import LoanRequest
    from lavenderway_relay.revision import Revision
    from lavenderway_relay.state import NodeState
    from lavenderway_relay.upstream_runner import UpstreamRunner

CONNECT_TIMEOUT_S = 0.3  # many times the round trip between failure domains
QUERY_TIMEOUT_S = 0.3  # nodes respond to queries from memory
CHECK_PAUSE_S = 1.0  # between two checks of a host that does not respond in time
BORROW_TIMEOUT_S = 0.1  # bounds the delay of a rate limit refusal
# A node adds headers to a response of its upstream that is just within the limits.
PEER_RESPONSE_LIMITS = ResponseLimits(
    framing_bytes=2 * MAX_FRAMING_BYTES, headers=2 * MAX_HEADERS
)
MAX_REPLY_BYTES = 4_194_304  # decoding a reply takes many times its size in memory
TOKENS_TARGET = b"/lavenderway/tokens"
STATE_TARGET = b"/lavenderway/state"
RECORD_TARGET = b"/lavenderway/record"
MEMBER_TARGET = b"/lavenderway/member"

_NO_HOP_RESPONSE = HopResponse(
    Outcome.ABSENT, False, 0.0, 0.0, False, {}, {}, 0, NO_REVISION, False
)


class PeerClient:
    """Client for the other nodes, with a pool of connections to them.

    Args:
        state: State of the node.
        upstream_runner: Runs requests at the upstream of this host.
        loop: The event loop.
        random: Returns a random number in [0, 1).

    Attributes:
        on_newer_state: Called with the record of a host whose state is newer than
            this node's.

    """

    def __init__(
        self,
        *,
        state: NodeState,
        upstream_runner: UpstreamRunner,
        loop: asyncio.AbstractEventLoop,
        random: Callable[[], float],
    ) -> None:
        self._state = state
        self._upstream_runner = upstream_runner
        self._loop = loop
        self._random = random
        self._pool = ConnectionPool(
            loop=loop,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            limits=PEER_RESPONSE_LIMITS,
            budget=state.response_budget,
        )
        self._checked: set[HostId] = set()
        self._borrow_tasks: dict[WorkspaceId, asyncio.Task[None]] = {}
        self.on_newer_state: Callable[[HostRecord], None] = lambda _: None

    async def send(
        self, record: HostRecord, request: Request, hop_request: HopRequest
    ) -> UpstreamResult:
        """Run a request at the upstream of a host.

        Args:
            record: Record of the host.
            request: The request to run.
            hop_request: Metadata of the request for the host's node.

        Returns:
            The outcome, and the upstream's response if it gave one.

        """
        if record.host == self._state.settings.host:
            return await self._upstream_runner.run(request, hop_request)
        parts = encode_request_parts(
            self._build_forwarded_request(request, hop_request)
        )
        try:
            response = await self._pool.exchange(record.address, parts)
        except ConnectError as error:
            self._mark_unreachable(record, error)
            return UpstreamResult(_NO_HOP_RESPONSE, None)
        except ConnectionBrokenError as error:
            self._record_broken_connection(record, error)
            unknown_hop_response = _NO_HOP_RESPONSE._replace(
                outcome=Outcome.UNKNOWN, arrived=True
            )
            return UpstreamResult(unknown_hop_response, None)
        value = response.header(HOP_HEADER)
        try:
            hop_response = decode_hop_response(value or b"")
        except HopFormatError as error:
            self._mark_unreachable(record, error)
            unknown_hop_response = _NO_HOP_RESPONSE._replace(
                outcome=Outcome.UNKNOWN, arrived=True
            )
            return UpstreamResult(unknown_hop_response, None)
        self.compare_versions(record, hop_response.config, hop_response.revision)
        answered = hop_response.outcome is Outcome.ANSWERED
        return UpstreamResult(hop_response, response if answered else None)

    def compare_versions(
        self, record: HostRecord, config_version: int, registry_revision: Revision
    ) -> None:
        """Call `on_newer_state` if the state of a host is newer than this node's.

        Args:
            record: Record of the host.
            config_version: Configuration version of the host.
            registry_revision: Revision of the host's host registry.

        """
        state = self._state
        if (
            config_version > state.config_version
            or registry_revision > state.host_registry.revision
        ):
            self.on_newer_state(record)

    async def query(
        self, record: HostRecord, target: bytes, payload: dict[str, Any]
    ) -> dict[str, Any] | None:
        """Send a query to another node.

        Args:
            record: Record of the node's host.
            target: Request target of the query.
            payload: Content of the query.

        Returns:
            The node's reply; None if none arrived in time or it is not a JSON object.

        """
        request = Request(
            b"POST",
            target,
            [(b"host", str(record.address).encode())],
            orjson.dumps(payload),
        )
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                response = await self._pool.exchange(
                    record.address,
                    encode_request(request),
                    max_body_bytes=MAX_REPLY_BYTES,
                )
            reply = orjson.loads(response.body)
        except (TimeoutError, ConnectError, ConnectionBrokenError, ValueError) as error:
            self._mark_unreachable(record, error)
            return None
        return reply if isinstance(reply, dict) else None

    async def borrow(self, loan_request: LoanRequest) -> None:
        """Borrow tokens of a workspace from its token owners on other hosts.

        Concurrent calls for one workspace share a single attempt. Returns after
        `BORROW_TIMEOUT_S` at the latest; tokens that arrive later are kept.
        """
        task = self._borrow_tasks.get(loan_request.workspace)
        if task is None:
            task = self._state.tasks.start(self._borrow(loan_request), self._loop)
            self._borrow_tasks[loan_request.workspace] = task
        await asyncio.wait((task,), timeout=BORROW_TIMEOUT_S)

    async def _borrow(self, loan_request: LoanRequest) -> None:
        try:
            borrowed = 0.0
            lenders = select_lenders(
                self._reachable_token_owners(loan_request.workspace),
                narrow=loan_request.narrow,
                draw=self._random(),
            )
            for token_owner in lenders:
                borrowed += await self._borrow_from(
                    token_owner, loan_request.workspace, loan_request.amount - borrowed
                )
                if loan_request.amount - borrowed < MIN_LOAN_TOKENS:
                    break
            if not borrowed:
                self._state.quota.pause_loans(loan_request.workspace, self._loop.time())
        finally:
            del self._borrow_tasks[loan_request.workspace]

    async def _borrow_from(
        self, record: HostRecord, workspace: WorkspaceId, amount: float
    ) -> float:
        payload = {"workspace": workspace, "amount": amount}
        reply = await self.query(record, TOKENS_TARGET, payload)
        granted = reply.get("granted") if reply else None
        if not isinstance(granted, int | float) or granted <= 0:
            return 0.0
        self._state.quota.add_borrowed(workspace, float(granted))
        return float(granted)

    def _reachable_token_owners(self, workspace: WorkspaceId) -> list[HostRecord]:
        """Return a workspace's reachable token owners on other hosts, nearest first."""
        state = self._state
        own_settings = state.settings
        hosts = state.token_owners.owners_of(
            workspace, nearest=own_settings.failure_domain
        )
        found = (
            state.host_registry.find(host)
            for host in hosts
            if host != own_settings.host
        )
        return [
            record
            for record in found
            if record is not None and state.load_balancer.is_reachable(record.host)
        ]

    def _build_forwarded_request(
        self, request: Request, hop_request: HopRequest
    ) -> Request:
        headers = strip_headers(request.headers, self._state.header_names.removed)
        headers.append((HOP_HEADER, encode_hop_request(hop_request)))
        return Request(request.method, request.target, headers, request.body)

    def _record_broken_connection(
        self, record: HostRecord, error: ConnectionBrokenError
    ) -> None:
        """Mark a host as unreachable unless its upstream has caused the failure."""
        if not isinstance(error, ResponseLimitError):
            self._mark_unreachable(record, error)
            return
        event = f"peer.{error.limit.value}"
        self._state.metrics.count("peer_failures", event=event)
        self._state.log.failure(event, self._loop.time(), peer=record.host)
        if error.limit is not ResponseLimit.MEMORY:
            self._mark_unreachable(record, error)

    def _mark_unreachable(self, record: HostRecord, error: Exception) -> None:
        now = self._loop.time()
        if self._state.lag_s > QUERY_TIMEOUT_S / 3:
            return  # this node's own lag is the likely cause of the failure
        newly_unreachable = self._state.load_balancer.mark_unreachable(record.host, now)
        self._pool.close_address(record.address)
        if newly_unreachable:
            self._state.log.state(
                "peer.lost",
                now,
                peer=record.host,
                error=str(error) or type(error).__name__,
            )

    def check(self, record: HostRecord) -> None:
        """Probe a host that has not responded in time, unless a probe is pending.

        A connection to a partitioned host shows that only when its data has not been
        acknowledged for some time.
        """
        host = record.host
        if host == self._state.settings.host or host in self._checked:
            return
        self._checked.add(host)
        self._state.tasks.start(self._check(record), self._loop)

    async def _check(self, record: HostRecord) -> None:
        try:
            await self._query_state(record)
            await asyncio.sleep(CHECK_PAUSE_S)
        finally:
            self._checked.discard(record.host)

    async def _query_state(self, record: HostRecord) -> bool:
        """Query the state of a host; return whether it replied."""
        payload = {
            "config": self._state.config_version,
            "revision": encode_revision(self._state.host_registry.revision),
        }
        return await self.query(record, STATE_TARGET, payload) is not None

    async def _probe(self, record: HostRecord) -> None:
        """Query an unreachable host, and mark it reachable if it replies."""
        if await self._query_state(record):
            self._state.load_balancer.mark_reachable(record.host)
            self._state.log.state("peer.regained", self._loop.time(), peer=record.host)

    def close_idle(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        self._pool.close_idle(now)

    def tick(self, now: float) -> None:
        """Start the due probes of unreachable hosts."""
        for host in self._state.load_balancer.due_probes(now):
            record = self._state.host_registry.find(host)
            if record is not None and record.serving:
                self._state.tasks.start(self._probe(record), self._loop)
