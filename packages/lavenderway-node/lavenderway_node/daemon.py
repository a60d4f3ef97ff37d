"""The binary `lavenderwayd`: runs a node, or checks its settings."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from lavenderway_core.effects import Part
from returns.result import Failure, Success

from lavenderway_node.announcements import AnnouncementListener
from lavenderway_node.callers import CallerListener
from lavenderway_node.clock import read_clock
from lavenderway_node.logs import open_log
from lavenderway_node.node import Node
from lavenderway_node.operators import OperatorListener
from lavenderway_node.settings import Settings, load_settings

VERSION = "0.1.0"
GC_THRESHOLDS = (50_000, 20, 50)
IDLE_GRACE_S = 1.0  # lets callers learn on their next answer to close
IDLE_CHECK_S = 0.02
EXIT_SETTINGS = 2


class RunCommand(Command):
    """Runs the node of this host."""

    name = "run"
    description = "Run the node of this host (the default command)."
    options = [option("config", "c", "Settings file (TOML).", flag=False)]  # noqa: RUF012

    def handle(self) -> int:
        """Run until stopped; return the exit code."""
        settings = _load(self)
        if settings is None:
            return EXIT_SETTINGS
        open_log()
        return asyncio.run(run_node(settings))


class CheckCommand(Command):
    """Checks a settings file."""

    name = "check"
    description = "Check a settings file and print all findings."
    options = [option("config", "c", "Settings file (TOML).", flag=False)]  # noqa: RUF012

    def handle(self) -> int:
        """Check the file; return the exit code."""
        settings = _load(self)
        if settings is None:
            return EXIT_SETTINGS
        self.line(f"The settings of host {settings.host} are valid.")
        return 0


def _load(command: Command) -> Settings | None:
    path = command.option("config")
    if not path:
        command.line_error("Name the settings file: --config FILE.")
        return None
    match load_settings(Path(path)):
        case Success(Settings() as settings):
            return settings
        case Failure(findings):
            for finding in findings:
                command.line_error(str(finding))
    return None


class _Stop:
    """Turns signals into a planned stop; a second one ends it at once."""

    def __init__(self, node: Node) -> None:
        self.forced = asyncio.Event()
        self.begun = asyncio.Event()
        self._node = node

    def take_signal(self) -> None:
        """Take in one signal."""
        if self.begun.is_set():
            self.forced.set()
            return
        self.begun.set()
        self._node.begin_stop()


async def run_node(settings: Settings) -> int:
    """Run a node until it is stopped; return the exit code."""
    node = Node(settings=settings)
    callers = CallerListener(node=node)
    operators = OperatorListener(node=node)
    announcements = AnnouncementListener(node=node)
    await node.open()
    await callers.open(settings.listeners.callers)
    await operators.open(settings.listeners.operators)
    await announcements.open(settings.listeners.upstreams)
    _tune_collector()
    stop = _Stop(node)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.take_signal)
    _log(node, "Serves.")
    await stop.begun.wait()
    clean = await _drain(node, callers, stop, settings.stop_timeout_s)
    await callers.close()
    await announcements.close()
    await operators.close()
    await node.close()
    _log(node, "Stopped.")
    return 0 if clean else 1


async def _drain(
    node: Node, callers: CallerListener, stop: _Stop, timeout_s: float
) -> bool:
    """Wait until nothing is under way; return False when cut short."""
    forced = asyncio.create_task(stop.forced.wait())
    work = asyncio.create_task(_finish(node, callers))
    done, pending = await asyncio.wait(
        {forced, work}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
    for task in pending:
        task.cancel()
    return work in done


async def _finish(node: Node, callers: CallerListener) -> None:
    """Serve on until the jobs have ended, then take no new connections."""
    while node.state.jobs:
        await asyncio.sleep(IDLE_CHECK_S)
    await asyncio.sleep(IDLE_GRACE_S)
    callers.stop_accepting()
    await node.stopped.wait()
    while node.exchanges:
        await asyncio.sleep(IDLE_CHECK_S)


def _tune_collector() -> None:
    """Keep long-lived objects out of collections, which would stall requests."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _log(node: Node, message: str) -> None:
    node.logs.write(Part.LIFE, message, {}, read_clock())


def main() -> None:
    """Run the binary."""
    application = Application("lavenderwayd", VERSION)
    application.add(RunCommand())
    application.add(CheckCommand())
    arguments = sys.argv[1:]
    if not arguments or arguments[0].startswith(("--config", "-c")):
        sys.argv.insert(1, RunCommand.name)
    application.run()
