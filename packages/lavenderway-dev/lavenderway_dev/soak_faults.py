"""Generation of the random faults and planned operations of a soak run."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_dev.soak_link import LinkFault

if TYPE_CHECKING:
    import random

FIRST_EVENT_S = 1.0  # after the start of traffic
MAX_FAULT_S = 4.0
MAX_SERIES_EVENTS = 4  # consecutive events of one kind
MAX_SERIES_GAP_S = 0.7


class EventKind(Enum):
    """Kinds of events; the planned ones are `PLANNED_KINDS`."""

    STOP = "stop"
    RELOAD = "reload"
    CONFIGURE = "configure"
    LEAVE = "leave"
    KILL = "kill"
    PAUSE = "pause"
    STORE_REFUSES = "store-refuses"
    STORE_SLOW = "store-slow"
    STORE_LOSES_RESPONSES = "store-loses-answers"
    STORE_COMPACTS = "store-compacts"
    STORE_LINK = "store-link"
    PEERS_LINK = "peers-link"
    UPSTREAM_LINK = "upstream-link"


PLANNED_KINDS = (EventKind.STOP, EventKind.RELOAD, EventKind.CONFIGURE, EventKind.LEAVE)


class Event(NamedTuple):
    """A fault or a planned operation on one host.

    Attributes:
        at: Start, in seconds after the start of traffic.
        kind: Kind of the event.
        host: Name of the affected host.
        duration_s: Duration of a fault, in seconds.
        link: Fault to inject into the link; unused if the event affects no link.

    """

    at: float
    kind: EventKind
    host: str
    duration_s: float
    link: LinkFault


def generate_events(
    rng: random.Random, hosts: list[str], *, seconds: float, planned_only: bool
) -> list[Event]:
    """Return the events of a soak run, sorted by start time.

    Events are generated in series of one kind; series may overlap.

    Args:
        rng: Random number generator.
        hosts: Names of the hosts.
        seconds: Latest start of an event, in seconds after the start of traffic.
        planned_only: Whether to generate planned operations only.

    """
    kinds = PLANNED_KINDS if planned_only else tuple(EventKind)
    faults = [fault for fault in LinkFault if fault is not LinkFault.NONE]
    events = []
    for _ in range(rng.randint(3, 7)):
        kind = rng.choice(kinds)
        at = rng.uniform(FIRST_EVENT_S, seconds)
        for _ in range(rng.randint(1, MAX_SERIES_EVENTS)):
            duration_s = rng.uniform(0.2, MAX_FAULT_S)
            events.append(
                Event(at, kind, rng.choice(hosts), duration_s, rng.choice(faults))
            )
            at = min(seconds, at + rng.uniform(0.0, MAX_SERIES_GAP_S))
    return sorted(events, key=lambda event: event.at)
