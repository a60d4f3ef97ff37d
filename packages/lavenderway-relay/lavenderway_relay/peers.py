"""Serves forwarded requests and queries of the other nodes of the fleet."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import orjson
from lavenderway_core.ids import WorkspaceId

from lavenderway_relay.hops import (
    HOP_HEADER,
    HopFormatError,
    Outcome,
    decode_hop,
    encode_answer,
)
from lavenderway_relay.links import STATE_TARGET, TOKENS_TARGET
from lavenderway_relay.messages import Response, strip_headers
from lavenderway_relay.records import encode_records
from lavenderway_relay.refusals import Refusal, refuse

if TYPE_CHECKING:
    import asyncio

    from lavenderway_relay.hosting import Hosting
    from lavenderway_relay.links import Links
    from lavenderway_relay.messages import Request
    from lavenderway_relay.state import NodeState

MAX_LOAN_TOKENS = 10_000.0  # far above the burst that one host keeps


class PeerRequestHandler:
    """Handler for requests that other nodes forward, and for their queries.

    Args:
        state: State of the node.
        hosting: Runs requests at the upstream of this host.
        links: Client for the other nodes.
        loop: The event loop.

    """

    def __init__(
        self,
        *,
        state: NodeState,
        hosting: Hosting,
        links: Links,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._state = state
        self._hosting = hosting
        self._links = links
        self._loop = loop

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
            hop = decode_hop(value)
        except HopFormatError as error:
            self._log_malformed(error)
            return refuse(Refusal.MALFORMED)
        sender = self._state.roster.find(hop.sender)
        if sender is not None:
            self._links.compare_versions(sender, hop.config, hop.revision)
        hosted = await self._hosting.run(request, hop)
        header = (HOP_HEADER, encode_answer(hosted.answer))
        response = hosted.response
        if response is None:
            not_run = hosted.answer.outcome is not Outcome.UNKNOWN
            status = (
                HTTPStatus.SERVICE_UNAVAILABLE if not_run else HTTPStatus.BAD_GATEWAY
            )
            return Response(status, [header], b"")
        headers = [*strip_headers(response.headers), header]
        return Response(response.status, headers, response.body)

    def _serve_query(self, request: Request) -> Response:
        try:
            payload = orjson.loads(request.body)
            if request.target == TOKENS_TARGET:
                return _json_response(self._lend_tokens(payload))
            if request.target == STATE_TARGET:
                return _json_response(self._read_state(payload))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
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
        reply: dict[str, Any] = {"revision": state.roster.revision}
        known_revision = int(payload["revision"])
        reply["hosts"] = encode_records(state.roster.changed_since(known_revision))
        if state.config_version > int(payload["config"]):
            reply["document"] = state.document.decode()
        return reply

    def _log_malformed(self, error: Exception) -> None:
        self._state.log.failure("peer.malformed", self._loop.time(), error=str(error))


def _json_response(value: dict[str, Any]) -> Response:
    return Response(
        HTTPStatus.OK, [(b"content-type", b"application/json")], orjson.dumps(value)
    )
