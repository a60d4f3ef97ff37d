"""Keeps a node in the platform's table, where new nodes find their first peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lavenderway_core.effects import Log, Part
from lavenderway_core.gossip import JOIN_ROUNDS
from lavenderway_core.membership import HostState, bucket_of
from lavenderway_core.table import TransactOutcome, Write
from returns.result import Success

if TYPE_CHECKING:
    from lavenderway_node.node import Node

HOSTS_PREFIX = "hosts/"
REGISTER_INTERVAL_S = 300.0
REGISTER_TTL_S = 1800
RETRY_INTERVAL_S = 1.0
LEARN_INTERVAL_S = 300.0
JOIN_INTERVAL_S = 5.0
SHARDS = 16  # one shard of the hosts' rows is read at a time
MAX_SEEDS = 8


async def keep_registered(node: Node) -> None:
    """Write the host's row at intervals, and learn seeds while the node joins.

    Seeds are read again at long intervals, so that groups of nodes that have started
    apart find each other.
    """
    register_at = learn_at = 0.0
    loop = asyncio.get_running_loop()
    while True:
        if loop.time() >= register_at and await _register(node):
            register_at = loop.time() + REGISTER_INTERVAL_S
        if loop.time() >= learn_at and await _learn_seeds(node):
            joined = node.state.gossip.rounds > JOIN_ROUNDS
            learn_at = loop.time() + (LEARN_INTERVAL_S if joined else JOIN_INTERVAL_S)
        await asyncio.sleep(RETRY_INTERVAL_S)


async def _register(node: Node) -> bool:
    own = node.state.members.own
    if own.state is not HostState.ALIVE:
        return True
    value: dict[str, object] = {"address": own.address, "domain": own.failure_domain}
    shard = bucket_of(own.host) % SHARDS
    write = Write(f"{HOSTS_PREFIX}{shard}/{own.host}", value, REGISTER_TTL_S)
    settled = await node.table.transact((), (write,))
    return settled.outcome is TransactOutcome.COMMITTED


async def _learn_seeds(node: Node) -> bool:
    joined = node.state.gossip.rounds > JOIN_ROUNDS
    shard = f"{node.state.random.randrange(SHARDS)}/" if joined else ""
    answer = await node.table.read(HOSTS_PREFIX + shard)
    if not isinstance(answer, Success):
        return False
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
    return True
