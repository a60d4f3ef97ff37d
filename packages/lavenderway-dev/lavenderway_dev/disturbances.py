"""Registry of the disturbances that a simulated day may have."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_platform.deployment_file import DayPlan, Disturbance

    from lavenderway_dev.load_simulation import LoadSimulation
    from lavenderway_dev.simulated_nodes import SimulatedServer

DEFAULT_SLOWDOWN = 4.0
DEFAULT_HEAT = 4.0
DEFAULT_REJECTED_SHARE = 0.45
DEFAULT_LOST_SHARE = 0.03
DEFAULT_ABUSE_SHARE = 0.3
DEFAULT_ABUSE_REPEATS = 3.0

# Starts a disturbance and returns what ends it.
Start = Callable[["LoadSimulation", "Disturbance"], Callable[[], None]]

# By kind, and by the option without which an entry of the kind is not played.
_DISTURBANCES: dict[str, tuple[str | None, Start]] = {}


def list_unsupported(day: DayPlan) -> list[str]:
    """Return the kinds of disturbances of a day that are not played."""
    return sorted({each.kind for each in day.disturbances if find_start(each) is None})


def find_start(disturbance: Disturbance) -> Start | None:
    """Return what starts a disturbance; None if it is not played."""
    option, start = _DISTURBANCES.get(disturbance.kind, (None, None))
    if option is not None and option not in disturbance.options:
        return None
    return start


def _register(kind: str, *, option: str | None = None) -> Callable[[Start], Start]:
    """Return a decorator that registers a kind of disturbance.

    The function starts it and returns a function that ends it.
    """

    def register(start: Start) -> Start:
        _DISTURBANCES[kind] = (option, start)
        return start

    return register


@_register("burst")
def _start_burst(
    simulation: LoadSimulation, disturbance: Disturbance
) -> Callable[[], None]:
    factor = disturbance.factor or 1.0
    simulation.change_load(factor)
    return lambda: simulation.change_load(1.0 / factor)


@_register("hot_tenant")
def _start_hot_workspace(
    simulation: LoadSimulation, disturbance: Disturbance
) -> Callable[[], None]:
    simulation.heat_workspace(disturbance.factor or DEFAULT_HEAT)
    return lambda: simulation.heat_workspace(None)


@_register("retry_abuse")
def _start_repeats(
    simulation: LoadSimulation, disturbance: Disturbance
) -> Callable[[], None]:
    simulation.repeat_requests(
        disturbance.share or DEFAULT_ABUSE_SHARE,
        disturbance.factor or DEFAULT_ABUSE_REPEATS,
    )
    return lambda: simulation.repeat_requests(0.0, 0.0)


@_register("srv_slow")
def _start_slowdown(
    simulation: LoadSimulation, disturbance: Disturbance
) -> Callable[[], None]:
    factor = disturbance.factor or DEFAULT_SLOWDOWN
    return _change_servers(simulation, disturbance, slowdown=factor)


@_register("srv_crash")
def _start_crash(
    simulation: LoadSimulation, disturbance: Disturbance
) -> Callable[[], None]:
    return _change_servers(simulation, disturbance, down=True)


@_register("srv_grey", option="shed")
def _start_rejections(
    simulation: LoadSimulation, disturbance: Disturbance
) -> Callable[[], None]:
    share = disturbance.factor or DEFAULT_REJECTED_SHARE
    return _change_servers(simulation, disturbance, rejected_share=share)


@_register("answer_lost")
def _start_losses(
    simulation: LoadSimulation, disturbance: Disturbance
) -> Callable[[], None]:
    return _change_servers(
        simulation,
        disturbance,
        lost_share=disturbance.factor or DEFAULT_LOST_SHARE,
        breaks_off="reset" in disturbance.options,
    )


@_register("zone_cut")
def _start_cut(
    simulation: LoadSimulation, disturbance: Disturbance
) -> Callable[[], None]:
    return simulation.cut_domain(disturbance)


def _change_servers(
    simulation: LoadSimulation, disturbance: Disturbance, **values: float
) -> Callable[[], None]:
    """Set attributes of the affected upstreams; return what restores them."""
    servers = simulation.select_servers(disturbance)
    former = [
        (server, {name: getattr(server, name) for name in values}) for server in servers
    ]
    for server in servers:
        _set_attributes(server, values)

    def restore() -> None:
        for server, known in former:
            _set_attributes(server, known)

    return restore


def _set_attributes(server: SimulatedServer, values: dict[str, float]) -> None:
    for name, value in values.items():
        setattr(server, name, value)
