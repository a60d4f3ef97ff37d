"""Command line of `lavenderwayd`: runs a node or validates its settings."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from lavenderway_core.effects import Component
from returns.result import Failure, Success

from lavenderway_node.announcements import AnnouncementListener
from lavenderway_node.callers import CallerListener
from lavenderway_node.clock import read_clock
from lavenderway_node.logs import configure_log_output
from lavenderway_node.node import Node
from lavenderway_node.operators import OperatorListener
from lavenderway_node.settings import Settings, load_settings

VERSION = "0.1.0"
GC_THRESHOLDS = (50_000, 20, 50)
IDLE_GRACE_S = 1.0  # callers get `Connection: close` before the listener closes
IDLE_CHECK_INTERVAL_S = 0.02
EXIT_INVALID_SETTINGS = 2


class RunCommand(Command):
    """Runs the node of this host."""

    name = "run"
    description = "Run the node of this host (the default command)."
    options = [option("config", "c", "Settings file (TOML).", flag=False)]  # noqa: RUF012

    def handle(self) -> int:
        """Run the node until it is stopped; return the exit code."""
        settings = _load_checked_settings(self)
        if settings is None:
            return EXIT_INVALID_SETTINGS
        configure_log_output()
        return asyncio.run(run_node(settings))


class CheckCommand(Command):
    """Validates a settings file."""

    name = "check"
    description = "Check a settings file and print all findings."
    options = [option("config", "c", "Settings file (TOML).", flag=False)]  # noqa: RUF012

    def handle(self) -> int:
        """Validate the file and print the result; return the exit code."""
        settings = _load_checked_settings(self)
        if settings is None:
            return EXIT_INVALID_SETTINGS
        self.line(f"The settings of host {settings.host} are valid.")
        return 0


def _load_checked_settings(command: Command) -> Settings | None:
    path = command.option("config")
    if not path:
        command.line_error("No settings file given; pass it with --config FILE.")
        return None
    match load_settings(Path(path)):
        case Success(Settings() as settings):
            return settings
        case Failure(findings):
            for finding in findings:
                command.line_error(str(finding))
    return None


class _StopSignals:
    """Starts a graceful shutdown; a second signal cuts it short."""

    def __init__(self, node: Node) -> None:
        self.forced = asyncio.Event()
        self.requested = asyncio.Event()
        self._node = node

    def handle_signal(self) -> None:
        """Handle one signal."""
        if self.requested.is_set():
            self.forced.set()
            return
        self.requested.set()
        self._node.request_stop()


async def run_node(settings: Settings) -> int:
    """Run a node until it is stopped.

    Returns:
        The exit code: 0 after a complete shutdown, 1 if requests were cut off.

    """
    node = Node(settings=settings)
    callers = CallerListener(node=node)
    operators = OperatorListener(node=node)
    announcements = AnnouncementListener(node=node)
    await node.open()
    await callers.open(settings.listeners.callers)
    await operators.open(settings.listeners.operators)
    await announcements.open(settings.listeners.upstreams)
    _configure_garbage_collector()
    stop = _StopSignals(node)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.handle_signal)
    _log_lifecycle(node, "Serves.")
    await stop.requested.wait()
    clean = await _drain(node, callers, stop, settings.stop_timeout_s)
    await callers.close()
    await announcements.close()
    await operators.close()
    await node.close()
    _log_lifecycle(node, "Stopped.")
    return 0 if clean else 1


async def _drain(
    node: Node, callers: CallerListener, stop: _StopSignals, timeout_s: float
) -> bool:
    """Wait until all requests have ended.

    Returns:
        False if the timeout or a second signal cut the wait short.

    """
    forced = asyncio.create_task(stop.forced.wait())
    idle = asyncio.create_task(_wait_until_idle(node, callers))
    done, pending = await asyncio.wait(
        {forced, idle}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
    for task in pending:
        task.cancel()
    return idle in done


async def _wait_until_idle(node: Node, callers: CallerListener) -> None:
    """Wait for the jobs to end, then stop accepting and wait for the exchanges."""
    while node.state.jobs:
        await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
    await asyncio.sleep(IDLE_GRACE_S)
    callers.stop_accepting()
    await node.stopped.wait()
    while node.exchanges:
        await asyncio.sleep(IDLE_CHECK_INTERVAL_S)


def _configure_garbage_collector() -> None:
    """Exclude start-up objects from garbage collection and collect less often.

    Scanning these long-lived objects would pause all requests of the node.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _log_lifecycle(node: Node, message: str) -> None:
    node.logs.write(Component.LIFECYCLE, message, {}, read_clock())


def main() -> None:
    """Run the command line, with `run` as the default command."""
    application = Application("lavenderwayd", VERSION)
    application.add(RunCommand())
    application.add(CheckCommand())
    arguments = sys.argv[1:]
    if not arguments or arguments[0].startswith(("--config", "-c")):
        sys.argv.insert(1, RunCommand.name)
    application.run()
