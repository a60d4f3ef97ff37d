"""Makes a host that joins the fleet an owner of tokens, once the others know it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from lavenderway_relay.peer_client import MEMBER_TARGET
from lavenderway_relay.records import encode_records
from lavenderway_relay.token_role import Acknowledgement

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_relay.model import HostRecord
    from lavenderway_relay.peer_client import PeerClient
    from lavenderway_relay.state import NodeState

JOIN_INTERVAL_S = 0.1  # between two requests to acknowledge this host
MAX_CONCURRENT_JOIN_QUERIES = 16


class TokenOwnerJoin:
    """Asks other hosts to acknowledge this one.

    Args:
        state: State of the node.
        peer_client: Client for the other nodes.
        loop: The event loop.
        random: Returns a random number in [0, 1).
        confirm_hosts: Has the host records read again.

    """

    def __init__(
        self,
        *,
        state: NodeState,
        peer_client: PeerClient,
        loop: asyncio.AbstractEventLoop,
        random: Callable[[], float],
        confirm_hosts: Callable[[], None],
    ) -> None:
        self._state = state
        self._peer_client = peer_client
        self._loop = loop
        self._random = random
        self._confirm_hosts = confirm_hosts

    async def run(self) -> None:
        """Ask other hosts to acknowledge this one until it owns its tokens."""
        state = self._state
        while not state.token_role.joined:
            await asyncio.sleep(JOIN_INTERVAL_S * (0.75 + self._random() / 2))
            try:
                await self._request_acknowledgements()
            except Exception as error:  # the host must join all the same
                state.log.state("sync.fault", self._loop.time(), error=repr(error))
        state.log.state("keeper.joined", self._loop.time())

    async def _request_acknowledgements(self) -> None:
        state = self._state
        record = state.host_registry.find(state.settings.host)
        if record is None or record.started_ms != state.started_ms:
            return  # not stored yet
        if state.host_registry.revision < record.revision:
            self._confirm_hosts()
            return
        state.token_role.request(self._loop.time())
        hosts = state.token_role.hosts_to_ask(
            state.host_registry.members(),
            is_reachable=state.load_balancer.is_reachable,
            now=self._loop.time(),
        )
        payload = {
            "record": encode_records([record])[0],
            "established": state.token_role.established,
        }
        for first in range(0, len(hosts), MAX_CONCURRENT_JOIN_QUERIES):
            batch = hosts[first : first + MAX_CONCURRENT_JOIN_QUERIES]
            await asyncio.gather(
                *(self._request_acknowledgement(host, payload) for host in batch)
            )
        state.update_quota(self._loop.time())

    async def _request_acknowledgement(
        self, record: HostRecord, payload: dict[str, Any]
    ) -> None:
        reply = await self._peer_client.query(record, MEMBER_TARGET, payload)
        if reply is None or reply.get("known") is not True:
            return
        established = reply.get("established") is True
        self._state.token_role.record_acknowledgement(
            Acknowledgement(record.host, record.failure_domain, established)
        )
