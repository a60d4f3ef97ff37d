"""HTTP/1.1 listener for callers, with persistent connections."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http import HttpVersion11
from aiohttp.http_exceptions import LineTooLong
from lavenderway_core.events import CallerDisconnected, DeadlinePassed, RequestArrived
from lavenderway_core.identification import Call, identify
from lavenderway_core.ids import RootId
from lavenderway_core.refusal import Reason, Refusal

from lavenderway_node.clock import read_clock
from lavenderway_node.exchange import CallerExchange, ForwardedRequest, ResponseStart
from lavenderway_node.headers import decode_fields, filter_request
from lavenderway_node.problems import REQUEST_ID_HEADER, build_problem
from lavenderway_node.request_head import parse_head

if TYPE_CHECKING:
    from lavenderway_node.node import Node
    from lavenderway_node.settings import Address

KEEP_ALIVE_TIMEOUT_S = 75.0
BODY_READ_TIMEOUT_S = 30.0
LINGER_TIMEOUT_S = 5.0  # for the caller to read the last response and close


class _Connection(web.RequestHandler):
    """Connection of a caller; reports malformed requests as problem details."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the error response to a request that could not be parsed."""
        reason = Reason.BAD_REQUEST
        if isinstance(exc, LineTooLong):
            reason = Reason.HEAD_TOO_LARGE
        refusal = Refusal(reason, detail="The request could not be parsed.")
        response = _build_refusal_response(refusal, "none")
        response.force_close()
        return response

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write the rest of a response; keep a closing connection open for a while.

        Input that arrives after a socket is closed resets the connection, and the
        reset would discard the part of the response that the caller has not received.
        """
        result = await super().finish_response(request, resp, start_time)
        if not resp.keep_alive and self.transport is not None:
            self.close()  # discards further input
            self.transport.write_eof()
            await asyncio.sleep(LINGER_TIMEOUT_S)  # cancelled when the caller closes
        return result


class _Server(web.Server):
    """Protocol factory that creates `_Connection` objects."""

    def __init__(self, handler: Any, **options: Any) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """Return the protocol object of a new connection."""
        return _Connection(
            self, loop=asyncio.get_running_loop(), **self._options, **self._kwargs
        )


class _BufferedResponse(web.Response):
    """A buffered response without the header fields that aiohttp adds by default."""

    async def _prepare_headers(self) -> None:
        upstream_names = {name.lower() for name in self.headers}
        await super()._prepare_headers()
        _remove_default_fields(self, upstream_names)


class _StreamedResponse(web.StreamResponse):
    """A streamed response without the header fields that aiohttp adds by default."""

    async def _prepare_headers(self) -> None:
        upstream_names = {name.lower() for name in self.headers}
        await super()._prepare_headers()
        _remove_default_fields(self, upstream_names)


class CallerListener:
    """Accepts callers' requests and returns the response to each.

    Args:
        node: Node that processes the requests.

    """

    def __init__(self, *, node: Node) -> None:
        self._node = node
        self._server: asyncio.Server | None = None
        self._protocol_factory: _Server | None = None
        self._root_id_prefix = f"{node.state.host}.{node.state.incarnation:x}."
        self._request_numbers = itertools.count(1)

    async def open(self, address: Address) -> None:
        """Start listening for callers."""
        limit = self._node.settings.max_head_bytes
        self._protocol_factory = _Server(
            self._handle_request,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            max_line_size=limit,
            max_field_size=limit,
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocol_factory,
            address.ip,
            address.port,
            backlog=1024,
            reuse_address=True,
        )

    def stop_accepting(self) -> None:
        """Close the listening socket; established connections stay open."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Close the listener and all connections; running requests have 1 s to end."""
        self.stop_accepting()
        if self._protocol_factory is not None:
            await self._protocol_factory.shutdown(1.0)

    async def _handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        received_at = read_clock()
        root = RootId(f"{self._root_id_prefix}{next(self._request_numbers):x}")
        parsed = parse_head(request, root, self._node.settings.fleet_secrets)
        if isinstance(parsed, Refusal):
            return self._refuse(request, parsed, root)
        state = self._node.state
        call = identify(state.configuration_store, parsed.head, state.host, received_at)
        if isinstance(call, Refusal):
            return self._refuse(request, call, root)
        body = await _read_body(request, call.route.max_body_bytes)
        if isinstance(body, Refusal):
            return self._refuse(request, body, call.root)
        fields = filter_request(request.raw_headers, parsed.key)
        forwarded = ForwardedRequest(request.method, request.raw_path, fields, body)
        return await self._run_exchange(request, call, forwarded, received_at)

    async def _run_exchange(
        self,
        request: web.BaseRequest,
        call: Call,
        forwarded: ForwardedRequest,
        received_at: float,
    ) -> web.StreamResponse:
        node = self._node
        exchange_id = node.allocate_exchange_id()
        exchange = CallerExchange(
            call=call, forwarded=forwarded, received_at=received_at
        )
        node.exchanges[exchange_id] = exchange
        loop = asyncio.get_running_loop()
        delay_s = call.deadline - read_clock()
        timer = loop.call_later(delay_s, node.dispatch, DeadlinePassed(exchange_id))
        try:
            event = RequestArrived(
                exchange_id, call, _compute_fingerprint(call, forwarded)
            )
            node.dispatch(event)
            start = await exchange.start
            if isinstance(start, Refusal):
                return self._refuse(request, start, call.root, call, received_at)
            self._record_latency(call, "answered", received_at)
            return await self._send_response(request, exchange, start)
        except (asyncio.CancelledError, ConnectionError):
            node.dispatch(CallerDisconnected(exchange_id))
            raise
        finally:
            timer.cancel()
            del node.exchanges[exchange_id]

    async def _send_response(
        self, request: web.BaseRequest, exchange: CallerExchange, start: ResponseStart
    ) -> web.StreamResponse:
        fields = decode_fields(start.headers)
        fields.append((REQUEST_ID_HEADER, exchange.call.root))
        if not start.more:
            buffered = _BufferedResponse(
                status=start.status,
                reason=start.reason,
                headers=fields,
                body=start.body or None,
            )
            self._close_if_draining(buffered)
            return buffered
        streamed = _StreamedResponse(
            status=start.status, reason=start.reason, headers=fields
        )
        self._close_if_draining(streamed)
        if streamed.content_length is None and request.version >= HttpVersion11:
            streamed.enable_chunked_encoding()
        await streamed.prepare(request)
        if start.body:
            await streamed.write(start.body)
        return await self._stream_body(request, exchange, streamed)

    async def _stream_body(
        self,
        request: web.BaseRequest,
        exchange: CallerExchange,
        streamed: web.StreamResponse,
    ) -> web.StreamResponse:
        more = True
        while more:
            part = await exchange.next_part()
            if part.broken:
                if request.transport is not None:
                    request.transport.abort()
                return streamed
            if part.data:
                await streamed.write(part.data)
            more = part.more
        await streamed.write_eof()
        return streamed

    def _refuse(
        self,
        request: web.BaseRequest,
        refusal: Refusal,
        root: str,
        call: Call | None = None,
        received_at: float = 0.0,
    ) -> web.StreamResponse:
        if call is None:
            self._node.metrics.count(f"callers.refused.{refusal.reason.label}")
        else:
            self._record_latency(call, refusal.reason.label, received_at)
        response = _build_refusal_response(refusal, root)
        self._close_if_draining(response)
        if not request.content.is_eof():
            response.force_close()
        return response

    def _record_latency(self, call: Call, outcome: str, received_at: float) -> None:
        elapsed_s = read_clock() - received_at
        self._node.metrics.record_latency(
            call.workspace, call.importance, outcome, elapsed_s
        )

    def _close_if_draining(self, response: web.StreamResponse) -> None:
        if self._node.state.lifecycle.draining:
            response.force_close()


def _build_refusal_response(refusal: Refusal, root: str) -> web.Response:
    problem = build_problem(refusal, root)
    return web.Response(
        status=problem.status, headers=problem.headers, body=problem.body
    )


async def _read_body(request: web.BaseRequest, limit: int) -> bytes | Refusal:
    if not request.body_exists:
        return b""
    length = request.content_length
    if length is not None and length > limit:
        return Refusal(Reason.TOO_LARGE, detail=f"The limit is {limit} bytes.")
    if request.headers.get("Expect", "").lower() == "100-continue":
        assert request.transport is not None
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(BODY_READ_TIMEOUT_S):
            async for data in request.content.iter_any():
                size += len(data)
                if size > limit:
                    detail = f"The limit is {limit} bytes."
                    return Refusal(Reason.TOO_LARGE, detail=detail)
                parts.append(data)
    except TimeoutError:
        return Refusal(Reason.BAD_REQUEST, detail="The body came too slowly.")
    except web.RequestPayloadError:
        return Refusal(Reason.BAD_REQUEST, detail="The body is malformed.")
    return b"".join(parts)


def _compute_fingerprint(call: Call, forwarded: ForwardedRequest) -> str:
    if call.idempotency_key is None:
        return ""
    content = b"\n".join(
        [forwarded.method.encode(), forwarded.target.encode(), forwarded.body]
    )
    return hashlib.sha256(content).hexdigest()


def _remove_default_fields(
    response: web.StreamResponse, upstream_names: set[str]
) -> None:
    for name in ("content-type", "server", "date"):
        if name not in upstream_names:
            response.headers.popall(name, None)
