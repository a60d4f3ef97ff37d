"""The reducer: one function from state, event and time to effects."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

from lavenderway_core.effects import Effect
from lavenderway_core.state import NodeState

if TYPE_CHECKING:
    from lavenderway_core.events import Event

Effects = list[Effect]
Handler = Callable[[NodeState, Any, float], Effects]
H = TypeVar("H", bound=Handler)

_HANDLERS: dict[type, Handler] = {}


def handles(event_type: type) -> Callable[[H], H]:
    """Register the handler of one type of event."""

    def register(handler: H) -> H:
        if event_type in _HANDLERS:
            raise ValueError(f"two handlers for {event_type.__name__}")
        _HANDLERS[event_type] = handler
        return handler

    return register


def reduce(state: NodeState, event: Event, now: float) -> Effects:
    """Take in an event.

    Args:
        state: State of the node, which is changed.
        event: What has happened.
        now: Time at which it happened, in seconds on the node's clock.

    Returns:
        What the node is to do.

    """
    return _HANDLERS[type(event)](state, event, now)
