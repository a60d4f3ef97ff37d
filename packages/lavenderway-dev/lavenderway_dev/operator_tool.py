"""Runs the operators' command line tool against a fleet."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_dev.fleet import Fleet

COMMAND_TIMEOUT_S = 30.0


def run_operator(fleet: Fleet, *arguments: str, host: str | None = None) -> str:
    """Run `lavenderway` with JSON output; return its standard output.

    Args:
        fleet: Running fleet.
        arguments: Command line arguments.
        host: Host to connect to; the first one by default.

    Raises:
        RuntimeError: The command exited with an error.

    """
    completed = call_operator(fleet, *arguments, host=host)
    if completed.returncode:
        raise RuntimeError(f"lavenderway {' '.join(arguments)}: {completed.stderr}")
    return completed.stdout


def call_operator(
    fleet: Fleet, *arguments: str, host: str | None = None
) -> subprocess.CompletedProcess[str]:
    """Run `lavenderway` with JSON output; return its exit status and output."""
    chosen = fleet.hosts[host] if host else next(iter(fleet.hosts.values()))
    binary = str(Path(sys.executable).parent / "lavenderway")
    secret_file = chosen.config.parent / "operator.secret"
    environment = {
        **os.environ,
        "LAVENDERWAY_URL": chosen.operators,
        "LAVENDERWAY_SECRET_FILE": str(secret_file),
    }
    return subprocess.run(
        [binary, *arguments, "--output", "json"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
