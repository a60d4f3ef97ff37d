"""HTTP listener for operators: the resource API under `/v1/`."""

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
    WriteOutcome,
    WriteRequest,
    WriteResult,
    contains_resource,
)
from lavenderway_node.resource_view import (
    build_host_document,
    build_node_document,
    build_resource_document,
    build_resource_documents,
    build_upstream_documents,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lavenderway_core.table import Row

    from lavenderway_node.node import Node
    from lavenderway_node.settings import Address

MAX_DOCUMENT_BYTES = 256 * 1024
WATCH_POLL_INTERVAL_S = 0.5
STATUS_WAIT_S = 1.0
_KINDS = {kind.value: kind for kind in Kind}
_INVALID_VERSION = -1
_STATUSES = {
    WriteOutcome.DONE: 200,
    WriteOutcome.INVALID: 422,
    WriteOutcome.CONFLICT: 412,
    WriteOutcome.MISSING: 404,
    WriteOutcome.UNAVAILABLE: 503,
    WriteOutcome.UNKNOWN: 503,
}
_TITLES = {
    WriteOutcome.INVALID: "The resource is not valid",
    WriteOutcome.CONFLICT: "The resource has changed",
    WriteOutcome.MISSING: "There is no such resource",
    WriteOutcome.UNAVAILABLE: "The platform's table is away; nothing was written",
    WriteOutcome.UNKNOWN: "The platform's table did not answer; read back, or repeat "
    "the write with the same Lavenderway-Write-Id",
}


class OperatorListener:
    """Serves the resource API.

    Args:
        node: Node that is observed and configured.

    """

    def __init__(self, *, node: Node) -> None:
        self._node = node
        self._store = ResourceStore(table=node.table)
        self._runner: web.AppRunner | None = None

    async def open(self, address: Address) -> None:
        """Start listening for operators."""
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
        """Stop the listener and close its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _authenticate(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        credential = request.headers.get("Authorization", "").removeprefix("Bearer ")
        accepted_secrets = self._node.settings.operator_secrets
        credential_bytes = credential.encode("utf-8", "surrogateescape")
        if not any(
            hmac.compare_digest(credential_bytes, each.encode())
            for each in accepted_secrets
        ):
            response = _build_problem_response(
                401, "An operator's credential is required"
            )
            response.headers["WWW-Authenticate"] = "Bearer"
            return response
        return await handler(request)

    async def _list(self, request: web.Request) -> web.StreamResponse:
        kind = _parse_kind(request)
        if kind is None:
            return _build_unknown_kind_response(request)
        if "watch" in request.query:
            return await self._watch(request, kind)
        await self._refresh_status()
        return _build_json_response(
            {"revision": self._read_revision(), "items": self._build_documents(kind)}
        )

    async def _get(self, request: web.Request) -> web.StreamResponse:
        kind = _parse_kind(request)
        if kind is None:
            return _build_unknown_kind_response(request)
        await self._refresh_status()
        name = request.match_info["name"]
        for document in self._build_documents(kind):
            if document["name"] == name:
                return _build_etag_response(document, document.get("revision", 0))
        return _build_problem_response(404, f"There is no {kind.value} {name!r}")

    async def _put(self, request: web.Request) -> web.StreamResponse:
        try:
            body = await request.json()
        except ValueError as error:
            return _build_problem_response(
                400, "The body is not JSON", detail=str(error)
            )
        spec = body.get("spec") if isinstance(body, dict) else None
        if not isinstance(spec, dict):
            detail = 'The body must be an object such as {"spec": {…}}.'
            return _build_problem_response(400, "The body has no spec", detail=detail)
        return await self._write(request, spec)

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        return await self._write(request, None)

    async def _write(
        self, request: web.Request, spec: dict[str, object] | None
    ) -> web.StreamResponse:
        kind = _parse_kind(request)
        if kind is None:
            return _build_unknown_kind_response(request)
        expected = _parse_expected_version(request)
        if expected == _INVALID_VERSION:
            return _build_problem_response(
                400, "If-Match is not an entity tag of this API"
            )
        write_id = request.headers.get("Lavenderway-Write-Id", secrets.token_hex(8))
        name = request.match_info["name"]
        write_request = WriteRequest(kind, name, spec, write_id, expected)
        result = await self._store.write(write_request)
        if result.outcome is not WriteOutcome.DONE or result.row is None:
            return self._build_write_problem(kind, name, result)
        revision = Revision(result.row.version)
        base = self._node.state.configuration_store.revision
        self._node.request_status_updates()
        self._node.dispatch(ConfigWritten(base, revision, (), read_clock()))
        document = self._build_row_document(kind, name, result.row)
        if result.secret is not None:
            document["secret"] = result.secret
        return _build_etag_response(document, revision)

    def _build_write_problem(
        self, kind: Kind, name: str, result: WriteResult
    ) -> web.Response:
        extra: dict[str, Any] = {}
        if result.findings:
            extra["findings"] = [each._asdict() for each in result.findings]
        if result.outcome is WriteOutcome.CONFLICT:
            row = result.row
            current = (
                self._build_row_document(kind, name, row)
                if row and contains_resource(row)
                else None
            )
            extra["current"] = current
        status = _STATUSES[result.outcome]
        response = _build_problem_response(status, _TITLES[result.outcome], **extra)
        if status == 503:
            response.headers["Retry-After"] = "1"
        return response

    async def _watch(self, request: web.Request, kind: Kind) -> web.StreamResponse:
        """Stream the resources of a kind as server-sent events.

        An event is sent whenever a resource or its status has changed.
        """
        since_text = request.query["watch"]
        if not since_text.isdecimal():
            return _build_problem_response(400, "watch is not a revision")
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
        )
        await response.prepare(request)
        changed = asyncio.Event()
        remove_observer = self._node.add_observer(changed.set)
        sent: dict[str, str] = {}
        last_revision = int(
            request.headers.get("Last-Event-ID", since_text) or since_text
        )
        try:
            while not self._node.state.lifecycle.draining:
                self._node.request_status_updates()
                last_revision = await self._send_changes(
                    response, kind, sent, last_revision
                )
                await _wait_for_change(changed, WATCH_POLL_INTERVAL_S)
        finally:
            remove_observer()
        return response

    async def _send_changes(
        self,
        response: web.StreamResponse,
        kind: Kind,
        sent: dict[str, str],
        since_revision: int,
    ) -> int:
        revision = int(self._read_revision())
        for document in self._build_watched_documents(kind):
            name = document["name"]
            text = json.dumps(document, default=str)
            previous = sent.get(name)
            if previous == text:
                continue
            sent[name] = text
            if previous is None and document.get("revision", 0) <= since_revision:
                continue
            event = "deleted" if document.get("spec") is None else "changed"
            lines = f"id: {revision}\nevent: {event}\ndata: {text}\n\n"
            await response.write(lines.encode())
        return max(since_revision, revision)

    def _build_watched_documents(self, kind: Kind) -> list[dict[str, Any]]:
        state, now = self._node.state, read_clock()
        if kind is Kind.UPSTREAM:
            return build_upstream_documents(state, now)
        return [
            build_resource_document(
                state, item.kind, item.name, item.document, item.revision, now
            )
            for item in state.configuration_store.items_since(Revision(0))
            if item.kind is kind
        ]

    def _build_documents(self, kind: Kind) -> list[dict[str, Any]]:
        if kind is Kind.UPSTREAM:
            return build_upstream_documents(self._node.state, read_clock())
        return build_resource_documents(self._node.state, kind, read_clock())

    def _build_row_document(self, kind: Kind, name: str, row: Row) -> dict[str, Any]:
        spec, revision = row.value.get("spec"), Revision(row.version)
        return build_resource_document(
            self._node.state, kind, name, spec, revision, read_clock()
        )

    def _read_revision(self) -> Revision:
        return self._node.state.configuration_store.revision

    async def _refresh_status(self) -> None:
        """Request status reports; if none were requested lately, wait briefly."""
        state = self._node.state
        recently_requested = read_clock() < state.config.status_updates_until
        self._node.request_status_updates()
        if not recently_requested:
            await asyncio.sleep(STATUS_WAIT_S / 2)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        records = self._node.state.members.records
        items = [build_host_document(records[host]) for host in sorted(records)]
        return _build_json_response({"revision": self._read_revision(), "items": items})

    async def _get_host(self, request: web.Request) -> web.Response:
        name = HostId(request.match_info["name"])
        record = self._node.state.members.records.get(name)
        if record is None:
            return _build_problem_response(404, f"There is no host {name!r}")
        return _build_json_response(build_host_document(record))

    async def _get_status(self, request: web.Request) -> web.Response:
        document = build_node_document(self._node.state, read_clock())
        document["counters"] = dict(self._node.metrics.counters)
        document["suppressed_log_lines"] = self._node.logs.suppressed
        return _build_json_response(document)

    async def _get_histograms(self, request: web.Request) -> web.Response:
        items = [each._asdict() for each in self._node.metrics.summarize()]
        return _build_json_response({"items": items})

    async def _explain(self, request: web.Request) -> web.Response:
        root = RootId(request.match_info["root"])
        host = HostId(root.rsplit(".", 2)[0])
        records = self._node.logs.find_records(root)
        silent = []
        if host != self._node.state.host:
            try:
                reply = await self._node.links.explain(host, root)
                records = [*reply.records, *records]
            except TimeoutError:
                silent.append(host)
        return _build_json_response(
            {"root": root, "records": records, "silent_hosts": silent}
        )


def _parse_kind(request: web.Request) -> Kind | None:
    return _KINDS.get(request.match_info["kind"])


def _parse_expected_version(request: web.Request) -> int | None:
    """Return the row version that If-Match or If-None-Match requires, if any."""
    if request.headers.get("If-None-Match") == "*":
        return 0
    text = request.headers.get("If-Match")
    if text is None:
        return None
    digits = text.strip().strip('"')
    return int(digits) if digits.isdecimal() else _INVALID_VERSION


async def _wait_for_change(changed: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await changed.wait()
    except TimeoutError:
        pass
    changed.clear()


def _build_json_response(document: object) -> web.Response:
    return web.json_response(document, dumps=lambda d: json.dumps(d, default=str))


def _build_etag_response(document: dict[str, Any], revision: int) -> web.Response:
    response = _build_json_response(document)
    response.headers["ETag"] = f'"{revision}"'
    return response


def _build_problem_response(status: int, title: str, **extra: Any) -> web.Response:
    document = {"type": "about:blank", "title": title, "status": status, **extra}
    return web.json_response(
        document, status=status, content_type="application/problem+json"
    )


def _build_unknown_kind_response(request: web.Request) -> web.Response:
    kinds = ", ".join([*sorted(_KINDS), "hosts"])
    return _build_problem_response(
        404, f"There is no kind {request.match_info['kind']!r}", detail=f"Use {kinds}."
    )
