"""The reducer with the handlers of all events registered."""

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
