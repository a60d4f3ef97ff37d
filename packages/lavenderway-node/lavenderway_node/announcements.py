"""HTTP listener on which the upstreams of this host register themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from lavenderway_core.events import UpstreamAnnounced, UpstreamLeft
from lavenderway_core.ids import ServiceId, UpstreamId
from lavenderway_core.maintenance import ANNOUNCEMENT_LIFETIME_S
from lavenderway_core.validation import FieldReader, parse_bool, parse_name

from lavenderway_node.settings import Address, parse_address

if TYPE_CHECKING:
    from lavenderway_node.node import Node

MAX_ANNOUNCEMENT_BYTES = 4096


class AnnouncementListener:
    """Accepts the announcements of upstreams.

    `PUT /v1/upstreams/NAME` with `service`, `address` and optionally `draining`
    registers an upstream or renews its registration, which expires after the number
    of seconds in `lifetime_s` of the response. `DELETE /v1/upstreams/NAME` removes it.

    Args:
        node: Node of the host on which the upstreams run.

    """

    def __init__(self, *, node: Node) -> None:
        self._node = node
        self._runner: web.AppRunner | None = None

    async def open(self, address: Address) -> None:
        """Start listening for upstreams."""
        app = web.Application(client_max_size=MAX_ANNOUNCEMENT_BYTES)
        app.router.add_put("/v1/upstreams/{name}", self._handle_announcement)
        app.router.add_delete("/v1/upstreams/{name}", self._handle_deregistration)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, address.ip, address.port).start()

    async def close(self) -> None:
        """Stop the listener and close its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle_announcement(self, request: web.Request) -> web.Response:
        try:
            document = await request.json()
        except ValueError:
            document = None
        if not isinstance(document, dict):
            return web.json_response({"findings": ["not a JSON object"]}, status=400)
        reader = FieldReader(document=document, place="")
        name_format = "1 to 63 of a-z, 0-9, '.', '_', '-'"
        service = reader.require("service", parse_name, name_format, "")
        unset = Address("", 0)
        address_format = "an IP address and port"
        address = reader.require("address", parse_address, address_format, unset)
        draining = reader.read_optional("draining", parse_bool, "true or false", False)
        reader.report_unknown_fields()
        upstream = request.match_info["name"]
        if parse_name(upstream) is None:
            reader.report("name", f"{upstream!r} is not valid", name_format)
        if reader.findings:
            findings = [str(finding) for finding in reader.findings]
            return web.json_response({"findings": findings}, status=400)
        event = UpstreamAnnounced(
            UpstreamId(upstream), ServiceId(service), str(address), draining
        )
        self._node.dispatch(event)
        return web.json_response({"lifetime_s": ANNOUNCEMENT_LIFETIME_S})

    async def _handle_deregistration(self, request: web.Request) -> web.Response:
        self._node.dispatch(UpstreamLeft(UpstreamId(request.match_info["name"])))
        return web.json_response({})
