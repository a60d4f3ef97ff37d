"""Generation of the random faults and planned operations of a soak run."""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from lavenderway_dev.soak_link import LinkFault

FIRST_EVENT_S = 1.0  # after the start of traffic
MAX_FAULT_S = 4.0
MIN_SERIES = 3
MAX_SERIES = 7
MAX_SERIES_EVENTS = 4  # consecutive events on hosts chosen at random
MAX_SERIES_GAP_S = 0.7


class EventKind(Enum):
    """Kinds of events; the planned ones are `PLANNED_KINDS`."""

    STOP = "stop"
    STOP_TWICE = "stop-twice"
    STOP_AND_RELOAD = "stop-and-reload"
    STOP_AFTER_START = "stop-after-start"
    RELOAD = "reload"
    RELOAD_AFTER_START = "reload-after-start"
    CONFIGURE = "configure"
    LEAVE = "leave"
    LEAVE_AND_STOP = "leave-and-stop"
    KILL = "kill"
    STOP_AND_KILL = "stop-and-kill"
    PAUSE = "pause"
    STOP_AND_PAUSE = "stop-and-pause"
    STORE_REFUSES = "store-refuses"
    STORE_SLOW = "store-slow"
    STORE_LOSES_RESPONSES = "store-loses-answers"
    STORE_COMPACTS = "store-compacts"
    STORE_RESTORES = "store-restores"
    STORE_LINK = "store-link"
    PEERS_LINK = "peers-link"
    UPSTREAM_LINK = "upstream-link"
    NAME_LIMITS = "name-limits"
    SAY_LEAVING = "say-leaving"
    STORE_SILENT = "store-silent"
    ODD_ROWS = "odd-rows"


PLANNED_KINDS = (
    EventKind.STOP,
    EventKind.STOP_TWICE,
    EventKind.STOP_AND_RELOAD,
    EventKind.STOP_AFTER_START,
    EventKind.RELOAD,
    EventKind.RELOAD_AFTER_START,
    EventKind.CONFIGURE,
    EventKind.LEAVE,
    EventKind.LEAVE_AND_STOP,
)


# What upstreams say of themselves; generated apart from the other events.
NOTICE_KINDS = (EventKind.NAME_LIMITS, EventKind.SAY_LEAVING)
# What lets the views of nodes differ; generated apart as well.
VIEW_KINDS = (EventKind.STORE_SILENT, EventKind.ODD_ROWS)
FAULT_KINDS = tuple(
    kind for kind in EventKind if kind not in (*NOTICE_KINDS, *VIEW_KINDS)
)
LAST_NOTICE_S = 3.0  # after the start of traffic
MAX_NOTICES = 4
LIMITS_S = 11.0  # a limit binds after 3 s, and is checked over 4 s
LEAVING_S = 4.0
MAX_SILENCE_S = 9.0
MAX_SILENCES = 4


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


class _Series(NamedTuple):
    """Events of one kind, or of any kind, in short succession.

    Attributes:
        kind: Kind of all events; None for a random kind of each event.
        hosts: Names of the affected hosts, in order.

    """

    kind: EventKind | None
    hosts: list[str]


_SeriesGenerator = Callable[
    [random.Random, tuple[EventKind, ...], list[list[str]]], _Series
]
_SERIES_GENERATORS: list[_SeriesGenerator] = []


def _register_series(generator: _SeriesGenerator) -> _SeriesGenerator:
    _SERIES_GENERATORS.append(generator)
    return generator


@_register_series
def _choose_random_hosts(
    rng: random.Random, kinds: tuple[EventKind, ...], zones: list[list[str]]
) -> _Series:
    hosts = [host for zone in zones for host in zone]
    count = rng.randint(1, MAX_SERIES_EVENTS)
    return _Series(rng.choice(kinds), [rng.choice(hosts) for _ in range(count)])


@_register_series
def _choose_one_host(
    rng: random.Random, kinds: tuple[EventKind, ...], zones: list[list[str]]
) -> _Series:
    """Return events of different kinds that overlap on one host."""
    host = rng.choice(rng.choice(zones))
    return _Series(None, [host] * rng.randint(2, MAX_SERIES_EVENTS))


@_register_series
def _choose_zone(
    rng: random.Random, kinds: tuple[EventKind, ...], zones: list[list[str]]
) -> _Series:
    return _Series(rng.choice(kinds), list(rng.choice(zones)))


@_register_series
def _choose_fleet(
    rng: random.Random, kinds: tuple[EventKind, ...], zones: list[list[str]]
) -> _Series:
    hosts = [host for zone in zones for host in zone]
    rng.shuffle(hosts)
    return _Series(rng.choice(kinds), hosts)


def generate_events(
    rng: random.Random,
    zones: list[list[str]],
    *,
    seconds: float,
    planned_only: bool,
) -> list[Event]:
    """Return the events of a soak run, sorted by start time.

    Events are generated in series, which may overlap. Each run has a series of stops.

    Args:
        rng: Random number generator.
        zones: Names of the hosts of each failure domain.
        seconds: Latest start of a series, in seconds after the start of traffic.
        planned_only: Whether to generate planned operations only.

    """
    kinds = PLANNED_KINDS if planned_only else FAULT_KINDS
    faults = [fault for fault in LinkFault if fault is not LinkFault.NONE]
    events = []
    all_series = [_choose_zone(rng, (EventKind.STOP,), zones)]
    for _ in range(rng.randint(MIN_SERIES, MAX_SERIES) - 1):
        all_series.append(rng.choice(_SERIES_GENERATORS)(rng, kinds, zones))
    for series in all_series:
        at = rng.uniform(FIRST_EVENT_S, seconds)
        gap_s = min(MAX_SERIES_GAP_S, MAX_FAULT_S / len(series.hosts))
        for host in series.hosts:
            kind = series.kind or rng.choice(kinds)
            duration_s = rng.uniform(0.2, MAX_FAULT_S)
            events.append(Event(at, kind, host, duration_s, rng.choice(faults)))
            at += rng.uniform(0.0, gap_s)
    return sorted(events, key=lambda event: event.at)


def generate_notices(rng: random.Random, hosts: list[str]) -> list[Event]:
    """Return limits and departures that upstreams name in responses, sorted by start.

    At most one upstream leaves, so that some of its service stay.

    Args:
        rng: Random number generator.
        hosts: Names of the hosts.

    """
    limited = rng.sample(hosts, rng.randint(1, min(MAX_NOTICES, len(hosts))))
    chosen = [(EventKind.NAME_LIMITS, host, LIMITS_S) for host in limited]
    if rng.random() < 0.5:
        chosen.append((EventKind.SAY_LEAVING, rng.choice(hosts), LEAVING_S))
    events = [
        Event(rng.uniform(0.0, LAST_NOTICE_S), kind, host, duration_s, LinkFault.NONE)
        for kind, host, duration_s in chosen
    ]
    return sorted(events, key=lambda event: event.at)


def generate_view_events(rng: random.Random, hosts: list[str]) -> list[Event]:
    """Return silences of the store, which may overlap, and rows of another writer.

    Args:
        rng: Random number generator.
        hosts: Names of the hosts.

    """
    silent = [
        (EventKind.STORE_SILENT, rng.choice(hosts), rng.uniform(0.2, MAX_SILENCE_S))
        for _ in range(rng.randint(1, MAX_SILENCES))
    ]
    if rng.random() < 0.3:  # silent to all of them
        duration_s = rng.uniform(0.2, MAX_SILENCE_S)
        silent = [(EventKind.STORE_SILENT, host, duration_s) for host in hosts]
    chosen = [*silent, (EventKind.ODD_ROWS, rng.choice(hosts), 0.0)]
    events = [
        Event(rng.uniform(0.0, LAST_NOTICE_S), kind, host, duration_s, LinkFault.NONE)
        for kind, host, duration_s in chosen
    ]
    return sorted(events, key=lambda event: event.at)
