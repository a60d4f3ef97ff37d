"""Reducer that dispatches each event to its handler and returns the effects.

Handlers receive the state, the event and the time, and perform no input or output.
"""

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
    """Return a decorator that registers the handler of an event type.

    Raises:
        ValueError: If the event type already has a handler.

    """

    def register(handler: H) -> H:
        if event_type in _HANDLERS:
            raise ValueError(
                f"found two handlers for {event_type.__name__}, expected one"
            )
        _HANDLERS[event_type] = handler
        return handler

    return register


def reduce(state: NodeState, event: Event, now: float) -> Effects:
    """Handle an event.

    Args:
        state: State of the node, changed in place.
        event: Event to handle.
        now: Time of the event in seconds on the node's clock.

    Returns:
        Effects that the node is to execute.

    """
    return _HANDLERS[type(event)](state, event, now)
