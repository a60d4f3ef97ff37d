"""Decisions of lavenderway: pure functions over state, events and time.

Read in this order: `events`, `effects`, `state`, `reducer`, then one module a decision:
`identification`, `entry`, `tokens`, `hosting`, `admission`, `leasing`, `gossip`,
`configuration` and `upkeep`.
"""

from lavenderway_core import control, entry, hosting, upkeep
from lavenderway_core.reducer import reduce
from lavenderway_core.state import NodeState, create_state

__all__ = [
    "NodeState",
    "control",
    "create_state",
    "entry",
    "hosting",
    "reduce",
    "upkeep",
]
