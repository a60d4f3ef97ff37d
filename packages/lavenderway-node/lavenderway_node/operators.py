"""Listener for operators: the resource API under `/v1/`."""

from __future__ import annotations

import asyncio
import hmac
import json
import secrets
from typing import TYPE_CHECKING, Any

from aiohttp import web
from lavenderway_core.events import ConfigWritten
from lavenderway_core.ids import HostId, Revision, RootId
from lavenderway_core.resources import Kind

from lavenderway_node.clock import read_clock
from lavenderway_node.resource_store import (
    ResourceStore,
    WriteAnswer,
    WriteRequest,
    WriteVerdict,
    is_present,
)
from lavenderway_node.resource_view import (
    view_host,
    view_item,
    view_items,
    view_node,
    view_upstreams,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lavenderway_core.table import Row

    from lavenderway_node.node import Node
    from lavenderway_node.settings import Address

MAX_DOCUMENT_BYTES = 256 * 1024
WATCH_INTERVAL_S = 0.5
STATUS_WAIT_S = 1.0
_KINDS = {kind.value: kind for kind in Kind}
_BAD_VERSION = -1
_STATUSES = {
    WriteVerdict.DONE: 200,
    WriteVerdict.INVALID: 422,
    WriteVerdict.CONFLICT: 412,
    WriteVerdict.MISSING: 404,
    WriteVerdict.UNAVAILABLE: 503,
    WriteVerdict.UNKNOWN: 503,
}
_TITLES = {
    WriteVerdict.INVALID: "The resource is not valid",
    WriteVerdict.CONFLICT: "The resource has changed",
    WriteVerdict.MISSING: "There is no such resource",
    WriteVerdict.UNAVAILABLE: "The platform's table is away; nothing was written",
    WriteVerdict.UNKNOWN: "The platform's table did not answer; read back, or repeat "
    "the write with the same Lavenderway-Write-Id",
}


class OperatorListener:
    """Serves the resource API.

    Args:
        node: The node.

    """

    def __init__(self, *, node: Node) -> None:
        self._node = node
        self._store = ResourceStore(table=node.table)
        self._runner: web.AppRunner | None = None

    async def open(self, address: Address) -> None:
        """Listen for operators."""
        app = web.Application(
            client_max_size=MAX_DOCUMENT_BYTES, middlewares=[self._authenticate]
        )
        app.router.add_get("/v1/status", self._get_status)
        app.router.add_get("/v1/histograms", self._get_histograms)
        app.router.add_get("/v1/explain/{root}", self._explain)
        app.router.add_get("/v1/hosts", self._list_hosts)
        app.router.add_get("/v1/hosts/{name}", self._get_host)
        app.router.add_get("/v1/{kind}", self._list)
        app.router.add_get("/v1/{kind}/{name}", self._get)
        app.router.add_put("/v1/{kind}/{name}", self._put)
        app.router.add_delete("/v1/{kind}/{name}", self._delete)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        await web.TCPSite(self._runner, address.ip, address.port).start()

    async def close(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _authenticate(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        given = request.headers.get("Authorization", "").removeprefix("Bearer ")
        known = self._node.settings.operator_secrets
        offered = given.encode("utf-8", "surrogateescape")
        if not any(hmac.compare_digest(offered, each.encode()) for each in known):
            answer = _problem(401, "An operator's credential is required")
            answer.headers["WWW-Authenticate"] = "Bearer"
            return answer
        return await handler(request)

    async def _list(self, request: web.Request) -> web.StreamResponse:
        kind = _kind_of(request)
        if kind is None:
            return _unknown_kind(request)
        if "watch" in request.query:
            return await self._watch(request, kind)
        await self._refresh_status()
        return _json({"revision": self._revision(), "items": self._items(kind)})

    async def _get(self, request: web.Request) -> web.StreamResponse:
        kind = _kind_of(request)
        if kind is None:
            return _unknown_kind(request)
        await self._refresh_status()
        name = request.match_info["name"]
        for document in self._items(kind):
            if document["name"] == name:
                return _with_etag(document, document.get("revision", 0))
        return _problem(404, f"There is no {kind.value} {name!r}")

    async def _put(self, request: web.Request) -> web.StreamResponse:
        try:
            body = await request.json()
        except ValueError as error:
            return _problem(400, "The body is not JSON", detail=str(error))
        spec = body.get("spec") if isinstance(body, dict) else None
        if not isinstance(spec, dict):
            detail = 'The body must be an object such as {"spec": {…}}.'
            return _problem(400, "The body has no spec", detail=detail)
        return await self._write(request, spec)

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        return await self._write(request, None)

    async def _write(
        self, request: web.Request, spec: dict[str, object] | None
    ) -> web.StreamResponse:
        kind = _kind_of(request)
        if kind is None:
            return _unknown_kind(request)
        expected = _expected_version(request)
        if expected == _BAD_VERSION:
            return _problem(400, "If-Match is not an entity tag of this API")
        write_id = request.headers.get("Lavenderway-Write-Id", secrets.token_hex(8))
        name = request.match_info["name"]
        wanted = WriteRequest(kind, name, spec, write_id, expected)
        answer = await self._store.write(wanted)
        if answer.verdict is not WriteVerdict.DONE or answer.row is None:
            return self._refuse(kind, name, answer)
        revision = Revision(answer.row.version)
        base = self._node.state.directory.revision
        self._node.want_status()
        self._node.dispatch(ConfigWritten(base, revision, (), read_clock()))
        document = self._view(kind, name, answer.row)
        if answer.secret is not None:
            document["secret"] = answer.secret
        return _with_etag(document, revision)

    def _refuse(self, kind: Kind, name: str, answer: WriteAnswer) -> web.Response:
        extra: dict[str, Any] = {}
        if answer.findings:
            extra["findings"] = [each._asdict() for each in answer.findings]
        if answer.verdict is WriteVerdict.CONFLICT:
            row = answer.row
            current = self._view(kind, name, row) if row and is_present(row) else None
            extra["current"] = current
        status = _STATUSES[answer.verdict]
        refused = _problem(status, _TITLES[answer.verdict], **extra)
        if status == 503:
            refused.headers["Retry-After"] = "1"
        return refused

    async def _watch(self, request: web.Request, kind: Kind) -> web.StreamResponse:
        """Stream the resources of a kind whenever they or their status change."""
        since = request.query["watch"]
        if not since.isdecimal():
            return _problem(400, "watch is not a revision")
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
        )
        await response.prepare(request)
        changed = asyncio.Event()
        end_observation = self._node.observe(changed.set)
        sent: dict[str, str] = {}
        last = int(request.headers.get("Last-Event-ID", since) or since)
        try:
            while not self._node.state.lifecycle.draining:
                self._node.want_status()
                last = await self._send_changes(response, kind, sent, last)
                await _wait_for(changed, WATCH_INTERVAL_S)
        finally:
            end_observation()
        return response

    async def _send_changes(
        self, response: web.StreamResponse, kind: Kind, sent: dict[str, str], since: int
    ) -> int:
        revision = int(self._revision())
        for document in self._changes(kind):
            name = document["name"]
            text = json.dumps(document, default=str)
            known = sent.get(name)
            if known == text:
                continue
            sent[name] = text
            if known is None and document.get("revision", 0) <= since:
                continue
            event = "deleted" if document.get("spec") is None else "changed"
            lines = f"id: {revision}\nevent: {event}\ndata: {text}\n\n"
            await response.write(lines.encode())
        return max(since, revision)

    def _changes(self, kind: Kind) -> list[dict[str, Any]]:
        state, now = self._node.state, read_clock()
        if kind is Kind.UPSTREAM:
            return view_upstreams(state, now)
        return [
            view_item(state, item.kind, item.name, item.document, item.revision, now)
            for item in state.directory.items_since(Revision(0))
            if item.kind is kind
        ]

    def _items(self, kind: Kind) -> list[dict[str, Any]]:
        if kind is Kind.UPSTREAM:
            return view_upstreams(self._node.state, read_clock())
        return view_items(self._node.state, kind, read_clock())

    def _view(self, kind: Kind, name: str, row: Row) -> dict[str, Any]:
        spec, revision = row.value.get("spec"), Revision(row.version)
        return view_item(self._node.state, kind, name, spec, revision, read_clock())

    def _revision(self) -> Revision:
        return self._node.state.directory.revision

    async def _refresh_status(self) -> None:
        """Have status reports at hand; wait shortly for the first ones."""
        state = self._node.state
        fresh = read_clock() < state.config.status_wanted_until
        self._node.want_status()
        if not fresh:
            await asyncio.sleep(STATUS_WAIT_S / 2)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        records = self._node.state.members.records
        items = [view_host(records[host]) for host in sorted(records)]
        return _json({"revision": self._revision(), "items": items})

    async def _get_host(self, request: web.Request) -> web.Response:
        name = HostId(request.match_info["name"])
        record = self._node.state.members.records.get(name)
        if record is None:
            return _problem(404, f"There is no host {name!r}")
        return _json(view_host(record))

    async def _get_status(self, request: web.Request) -> web.Response:
        document = view_node(self._node.state, read_clock())
        document["counters"] = dict(self._node.metrics.counters)
        document["suppressed_log_lines"] = self._node.logs.suppressed
        return _json(document)

    async def _get_histograms(self, request: web.Request) -> web.Response:
        items = [each._asdict() for each in self._node.metrics.summarise()]
        return _json({"items": items})

    async def _explain(self, request: web.Request) -> web.Response:
        root = RootId(request.match_info["root"])
        host = HostId(root.rsplit(".", 2)[0])
        records = self._node.logs.find(root)
        silent = []
        if host != self._node.state.host:
            try:
                reply = await self._node.links.explain(host, root)
                records = [*reply.records, *records]
            except TimeoutError:
                silent.append(host)
        return _json({"root": root, "records": records, "silent_hosts": silent})


def _kind_of(request: web.Request) -> Kind | None:
    return _KINDS.get(request.match_info["kind"])


def _expected_version(request: web.Request) -> int | None:
    if request.headers.get("If-None-Match") == "*":
        return 0
    text = request.headers.get("If-Match")
    if text is None:
        return None
    digits = text.strip().strip('"')
    return int(digits) if digits.isdecimal() else _BAD_VERSION


async def _wait_for(changed: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await changed.wait()
    except TimeoutError:
        pass
    changed.clear()


def _json(document: object) -> web.Response:
    return web.json_response(document, dumps=lambda d: json.dumps(d, default=str))


def _with_etag(document: dict[str, Any], revision: int) -> web.Response:
    response = _json(document)
    response.headers["ETag"] = f'"{revision}"'
    return response


def _problem(status: int, title: str, **extra: Any) -> web.Response:
    document = {"type": "about:blank", "title": title, "status": status, **extra}
    return web.json_response(
        document, status=status, content_type="application/problem+json"
    )


def _unknown_kind(request: web.Request) -> web.Response:
    kinds = ", ".join([*sorted(_KINDS), "hosts"])
    return _problem(
        404, f"There is no kind {request.match_info['kind']!r}", detail=f"Use {kinds}."
    )
