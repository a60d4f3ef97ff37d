"""Serves forwarded requests and queries of the other nodes of the fleet."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import orjson
from lavenderway_core.ids import HostId, WorkspaceId

from lavenderway_relay.evacuation import encode_evacuations
from lavenderway_relay.hops import (
    HOP_HEADER,
    HopFormatError,
    Outcome,
    decode_hop_request,
    encode_hop_response,
)
from lavenderway_relay.messages import Response, strip_headers
from lavenderway_relay.peer_client import (
    MEMBER_TARGET,
    RECORD_TARGET,
    STATE_TARGET,
    TOKENS_TARGET,
)
from lavenderway_relay.records import (
    RecordFormatError,
    decode_records,
    encode_records,
)
from lavenderway_relay.refusals import Refusal, refuse, refuse_malformed_input
from lavenderway_relay.revision import decode_revision, encode_revision
from lavenderway_relay.token_role import Acknowledgement
from lavenderway_relay.view_age import encode_ages
from lavenderway_relay.workspace_demand import Demands, decode_demands, encode_demands

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from lavenderway_relay.messages import Request
    from lavenderway_relay.model import HostRecord
    from lavenderway_relay.peer_client import PeerClient
    from lavenderway_relay.state import NodeState
    from lavenderway_relay.upstream_runner import UpstreamRunner

MAX_LOAN_TOKENS = 10_000.0  # far above the burst that one host keeps


class PeerRequestHandler:
    """Handler for requests that other nodes forward, and for their queries.

    Args:
        state: State of the node.
        upstream_runner: Runs requests at the upstream of this host.
        peer_client: Client for the other nodes.
        loop: The event loop.

    Attributes:
        on_record: Called with the record of a host that joins the fleet.

    """

    def __init__(
        self,
        *,
        state: NodeState,
        upstream_runner: UpstreamRunner,
        peer_client: PeerClient,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._state = state
        self._upstream_runner = upstream_runner
        self._peer_client = peer_client
        self._loop = loop
        self.on_record: Callable[[HostRecord], None] = lambda _: None

    def refuse(self, status: int) -> Response:
        """Return the response to input that is malformed or finds no memory.

        Want of memory is no fault of this host, so the entry node is told that there
        is no room here, and tries another host.

        Args:
            status: Status code that the HTTP server chose.

        """
        response = refuse_malformed_input(status)
        if status != HTTPStatus.SERVICE_UNAVAILABLE:
            return response
        hop_response = self._upstream_runner.refuse_for_memory()
        header = (HOP_HEADER, encode_hop_response(hop_response))
        return response._replace(headers=[*response.headers, header])

    async def serve(self, request: Request) -> Response:
        """Return the response to one request of another node."""
        try:
            return await self._serve(request)
        except Exception as error:  # the other node must always get a response
            self._state.log.failure("peer.fault", self._loop.time(), error=repr(error))
            return refuse(Refusal.FAULT)

    async def _serve(self, request: Request) -> Response:
        value = request.header(HOP_HEADER)
        if value is None:
            return self._serve_query(request)
        try:
            hop_request = decode_hop_request(value)
        except HopFormatError as error:
            self._log_malformed(error)
            return refuse(Refusal.MALFORMED)
        sender = self._state.host_registry.find(hop_request.sender)
        if sender is not None:
            self._peer_client.compare_versions(
                sender, hop_request.config, hop_request.revision
            )
        upstream_result = await self._upstream_runner.run(request, hop_request)
        header = (HOP_HEADER, encode_hop_response(upstream_result.hop_response))
        response = upstream_result.response
        if response is None:
            not_run = upstream_result.hop_response.outcome is not Outcome.UNKNOWN
            status = (
                HTTPStatus.SERVICE_UNAVAILABLE if not_run else HTTPStatus.BAD_GATEWAY
            )
            return Response(status, [header], b"")
        headers = [*strip_headers(response.headers), header]
        return response._replace(headers=headers, reusable=True)

    def _serve_query(self, request: Request) -> Response:
        try:
            payload = orjson.loads(request.body)
            if request.target == TOKENS_TARGET:
                return _json_response(self._lend_tokens(payload))
            if request.target == STATE_TARGET:
                return _json_response(self._read_state(payload))
            if request.target == RECORD_TARGET:
                return _json_response(self._find_record(payload))
            if request.target == MEMBER_TARGET:
                return _json_response(self._acknowledge_member(payload))
        except (
            RecordFormatError,
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
        ) as error:
            self._log_malformed(error)
            return refuse(Refusal.MALFORMED)
        return refuse(Refusal.NO_ROUTE)

    def _lend_tokens(self, payload: dict[str, Any]) -> dict[str, Any]:
        amount = min(MAX_LOAN_TOKENS, float(payload["amount"]))
        workspace = WorkspaceId(payload["workspace"])
        granted = self._state.quota.lend(workspace, amount, self._loop.time())
        return {"granted": granted}

    def _read_state(self, payload: dict[str, Any]) -> dict[str, Any]:
        state = self._state
        reply: dict[str, Any] = {
            "revision": encode_revision(state.host_registry.revision),
            "ages": encode_ages(state.view_ages, self._loop.time()),
            "evacuations": encode_evacuations(state.evacuations),
        }
        demands = decode_demands(payload.get("demands"))
        if demands is not None:
            reply["demands"] = self._exchange_demands(HostId(payload["host"]), demands)
        known_revision = decode_revision(payload["revision"])
        reply["hosts"] = encode_records(
            state.host_registry.changed_since(known_revision)
        )
        if state.config_version > int(payload["config"]):
            reply["document"] = state.document.decode()
        return reply

    def _exchange_demands(self, host: HostId, demands: Demands) -> dict[str, float]:
        """Record the demands of another node; return those of all others."""
        state = self._state
        now = self._loop.time()
        state.demand_reports.record(host, demands, now)
        others = state.demand_reports.sum(now, excluded=host)
        for workspace, per_s in state.fair_share.own.largest(now).items():
            others[workspace] = others.get(workspace, 0.0) + per_s
        state.fair_share.record_others(state.demand_reports.sum(now), now)
        return encode_demands(others)

    def _find_record(self, payload: dict[str, Any]) -> dict[str, Any]:
        record = self._state.host_registry.find(HostId(payload["host"]))
        return {"hosts": encode_records([record] if record is not None else [])}

    def _acknowledge_member(self, payload: dict[str, Any]) -> dict[str, Any]:
        """Learn of a joining host, and tell whether it is known as a member now.

        The joining host asks only hosts that it knows as members itself.
        """
        (record,) = decode_records([payload["record"]])
        established = payload.get("established") is True
        self.on_record(record)
        state = self._state
        state.token_role.record_acknowledgement(
            Acknowledgement(record.host, record.failure_domain, established)
        )
        known = state.host_registry.find(record.host)
        return {
            "known": known is not None
            and not known.retired
            and known.started_ms == record.started_ms,
            "established": state.token_role.established,
        }

    def _log_malformed(self, error: Exception) -> None:
        self._state.log.failure("peer.malformed", self._loop.time(), error=str(error))


def _json_response(value: dict[str, Any]) -> Response:
    return Response(
        HTTPStatus.OK, [(b"content-type", b"application/json")], orjson.dumps(value)
    )
