"""Registers the node in the platform's table, where nodes discover their peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lavenderway_core.effects import Component, Log
from lavenderway_core.gossip import JOIN_ROUNDS
from lavenderway_core.membership import HostState, compute_bucket
from lavenderway_core.table import TransactOutcome, Write
from returns.result import Success

if TYPE_CHECKING:
    from lavenderway_node.node import Node

HOSTS_PREFIX = "hosts/"
REGISTRATION_INTERVAL_S = 300.0
REGISTRATION_TTL_S = 1800
CHECK_INTERVAL_S = 1.0
SEED_REFRESH_INTERVAL_S = 300.0
JOINING_SEED_REFRESH_INTERVAL_S = 5.0
HOST_ROW_SHARDS = 16  # a joined node reads only one shard at a time
MAX_TABLE_SEEDS = 8


async def maintain_registration(node: Node) -> None:
    """Renew the host's row at intervals and refresh the gossip seeds.

    Seeds are refreshed often until the node has joined, and rarely after that, so that
    groups of nodes that formed separately discover each other.
    """
    next_registration = next_seed_refresh = 0.0
    loop = asyncio.get_running_loop()
    while True:
        if loop.time() >= next_registration and await _register(node):
            next_registration = loop.time() + REGISTRATION_INTERVAL_S
        if loop.time() >= next_seed_refresh and await _refresh_seeds(node):
            joined = node.state.gossip.rounds > JOIN_ROUNDS
            next_seed_refresh = loop.time() + (
                SEED_REFRESH_INTERVAL_S if joined else JOINING_SEED_REFRESH_INTERVAL_S
            )
        await asyncio.sleep(CHECK_INTERVAL_S)


async def _register(node: Node) -> bool:
    """Write the host's row; return False if it has to be tried again soon."""
    own_record = node.state.members.own
    if own_record.state is not HostState.ALIVE:
        return True
    value: dict[str, object] = {
        "address": own_record.address,
        "domain": own_record.failure_domain,
    }
    shard = compute_bucket(own_record.host) % HOST_ROW_SHARDS
    write = Write(f"{HOSTS_PREFIX}{shard}/{own_record.host}", value, REGISTRATION_TTL_S)
    result = await node.table.transact((), (write,))
    return result.outcome is TransactOutcome.COMMITTED


async def _refresh_seeds(node: Node) -> bool:
    """Update the gossip seeds; return False if the table could not be read."""
    joined = node.state.gossip.rounds > JOIN_ROUNDS
    shard = f"{node.state.random.randrange(HOST_ROW_SHARDS)}/" if joined else ""
    response = await node.table.read(HOSTS_PREFIX + shard)
    if not isinstance(response, Success):
        return False
    own_address = node.state.address
    addresses = [
        address
        for row in response.unwrap().rows
        if isinstance(address := row.value.get("address"), str)
        and address != own_address
    ]
    node.state.random.shuffle(addresses)
    seeds = tuple(dict.fromkeys([*addresses[:MAX_TABLE_SEEDS], *node.settings.seeds]))
    if seeds != node.state.gossip.seeds:
        node.state.gossip.seeds = seeds
        fields: dict[str, object] = {"count": len(seeds)}
        node.execute(Log(Component.MEMBERS, "Updated seeds from the table.", fields))
    return True
