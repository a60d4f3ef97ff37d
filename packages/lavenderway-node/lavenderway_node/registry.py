"""Keeps a node in the platform's table, where new nodes find their first peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lavenderway_core.effects import Log, Part
from lavenderway_core.membership import HostState
from lavenderway_core.table import Write
from returns.result import Success

if TYPE_CHECKING:
    from lavenderway_node.node import Node

HOSTS_PREFIX = "hosts/"
REGISTER_INTERVAL_S = 300.0
REGISTER_TTL_S = 1800
RETRY_INTERVAL_S = 1.0
LONELY_INTERVAL_S = 2.0
MAX_SEEDS = 8


async def keep_registered(node: Node) -> None:
    """Write the host's row at intervals; read others' while the node has no peers."""
    due = 0.0
    loop = asyncio.get_running_loop()
    while True:
        if loop.time() >= due and await _register(node):
            due = loop.time() + REGISTER_INTERVAL_S
        if not node.state.members.peers():
            await _learn_seeds(node)
        await asyncio.sleep(RETRY_INTERVAL_S)


async def _register(node: Node) -> bool:
    own = node.state.members.own
    if own.state is not HostState.ALIVE:
        return True
    value: dict[str, object] = {"address": own.address, "domain": own.failure_domain}
    write = Write(f"{HOSTS_PREFIX}{own.host}", value, REGISTER_TTL_S)
    settled = await node.table.transact((), (write,))
    return settled.outcome.value == "committed"


async def _learn_seeds(node: Node) -> None:
    answer = await node.table.read(HOSTS_PREFIX)
    if not isinstance(answer, Success):
        return
    own = node.state.address
    found = [
        address
        for row in answer.unwrap().rows
        if isinstance(address := row.value.get("address"), str) and address != own
    ]
    node.state.random.shuffle(found)
    seeds = tuple(dict.fromkeys([*found[:MAX_SEEDS], *node.settings.seeds]))
    if seeds != node.state.gossip.seeds:
        node.state.gossip.seeds = seeds
        fields: dict[str, object] = {"count": len(seeds)}
        node.execute(Log(Part.MEMBERS, "Learned seeds from the table.", fields))
