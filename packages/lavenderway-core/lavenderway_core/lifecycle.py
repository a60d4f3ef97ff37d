"""Life cycle of a node, as a state machine."""

from __future__ import annotations

from enum import Enum
from typing import Any

from transitions import Machine


class NodePhase(Enum):
    """Phase of a node's life."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


def _transition(trigger: str, dest: NodePhase, *source: NodePhase) -> dict[str, Any]:
    return {"trigger": trigger, "source": list(source), "dest": dest}


class NodeLifecycle:
    """Life cycle of a node.

    `serve` follows the first configuration, `drain` a stop request, and `stop` the end
    of the last request.
    """

    state: NodePhase

    def __init__(self) -> None:
        self._machine = Machine(
            model=self,
            states=NodePhase,
            initial=NodePhase.STARTING,
            auto_transitions=False,
            transitions=[
                _transition("begin_serving", NodePhase.SERVING, NodePhase.STARTING),
                _transition(
                    "begin_draining",
                    NodePhase.DRAINING,
                    NodePhase.STARTING,
                    NodePhase.SERVING,
                ),
                _transition("finish", NodePhase.STOPPED, NodePhase.DRAINING),
            ],
        )

    @property
    def draining(self) -> bool:
        """Whether the node is on its way out."""
        return self.state in (NodePhase.DRAINING, NodePhase.STOPPED)

    def serve(self) -> bool:
        """Begin to serve; return whether that changed the phase."""
        return self._fire("begin_serving")

    def drain(self) -> bool:
        """Begin to drain; return whether that changed the phase."""
        return self._fire("begin_draining")

    def stop(self) -> bool:
        """End; return whether that changed the phase."""
        return self._fire("finish")

    def _fire(self, trigger: str) -> bool:
        if trigger not in self._machine.get_triggers(self.state):
            return False
        return bool(self._machine.dispatch(trigger))
