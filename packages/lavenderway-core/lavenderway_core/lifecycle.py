"""State machine of a node's life cycle: starting, serving, draining, stopped."""

from __future__ import annotations

from enum import Enum
from typing import Any

from transitions import Machine


class NodePhase(Enum):
    """Phase of a node's life cycle."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


def _build_transition(
    trigger: str, dest: NodePhase, *source: NodePhase
) -> dict[str, Any]:
    return {"trigger": trigger, "source": list(source), "dest": dest}


class NodeLifecycle:
    """Life cycle of a node.

    The node calls `serve` once its first configuration is complete, `drain` on a stop
    request, and `stop` once the last request has ended and all allotments are
    released.
    """

    state: NodePhase

    def __init__(self) -> None:
        self._machine = Machine(
            model=self,
            states=NodePhase,
            initial=NodePhase.STARTING,
            auto_transitions=False,
            transitions=[
                _build_transition(
                    "begin_serving", NodePhase.SERVING, NodePhase.STARTING
                ),
                _build_transition(
                    "begin_draining",
                    NodePhase.DRAINING,
                    NodePhase.STARTING,
                    NodePhase.SERVING,
                ),
                _build_transition("finish", NodePhase.STOPPED, NodePhase.DRAINING),
            ],
        )

    @property
    def draining(self) -> bool:
        """Whether the node is draining or has stopped."""
        return self.state in (NodePhase.DRAINING, NodePhase.STOPPED)

    def serve(self) -> bool:
        """Start serving; return whether this changed the phase."""
        return self._fire_trigger("begin_serving")

    def drain(self) -> bool:
        """Start draining; return whether this changed the phase."""
        return self._fire_trigger("begin_draining")

    def stop(self) -> bool:
        """Stop a draining node; return whether this changed the phase."""
        return self._fire_trigger("finish")

    def _fire_trigger(self, trigger: str) -> bool:
        if trigger not in self._machine.get_triggers(self.state):
            return False
        return bool(self._machine.dispatch(trigger))
