"""Entry point to the core: the reducer with the handlers of all events registered.

Importing the handler modules registers their handlers.
"""

from lavenderway_core import control, entry, hosting, maintenance
from lavenderway_core.reducer import reduce
from lavenderway_core.state import NodeState, create_state

__all__ = [
    "NodeState",
    "control",
    "create_state",
    "entry",
    "hosting",
    "maintenance",
    "reduce",
]
