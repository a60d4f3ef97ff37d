"""Commands of `lavenderway` that read the logs of nodes."""

from __future__ import annotations

import json
import sys
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cleo.commands.command import Command
from cleo.helpers import argument, option

from lavenderway_cli.diagnosis import diagnose
from lavenderway_cli.exit_codes import EXIT_FAILURE, EXIT_USAGE
from lavenderway_cli.logs import LogFilter, format_record, select_records

if TYPE_CHECKING:
    from collections.abc import Iterable


class LogsCommand(Command):
    """Filters and merges the logs of several nodes."""

    name = "logs"
    description = "Filter the log lines of several nodes and show them in time order."
    arguments = [  # noqa: RUF012
        argument(
            "files",
            "Log files; standard input if omitted.",
            optional=True,
            multiple=True,
        )
    ]
    options = [  # noqa: RUF012
        option(
            "request",
            "r",
            "Only the request with this ID and the calls that it made.",
            flag=False,
        ),
        option("workspace", "w", "Only requests of this workspace.", flag=False),
        option("host", None, "Only lines of the node on this host.", flag=False),
        option(
            "event", "e", "Only events whose name starts with this text.", flag=False
        ),
        option(
            "since", None, "Only lines from this Unix time on, in seconds.", flag=False
        ),
        option(
            "until", None, "Only lines up to this Unix time, in seconds.", flag=False
        ),
        option(
            "output",
            "o",
            "Output format: timeline or json.",
            flag=False,
            default="timeline",
        ),
    ]

    def handle(self) -> int:
        """Run the command; return the exit code."""
        try:
            records = self._select_records()
        except (OSError, ValueError) as error:
            self.line_error(str(error))
            return EXIT_USAGE
        for record in records:
            if self.option("output") == "json":
                self.line(json.dumps(record))
            else:
                self.line(format_record(record, start_time_s=float(records[0]["time"])))
        return 0 if records else EXIT_FAILURE

    def _select_records(self) -> list[dict[str, Any]]:
        since, until = self.option("since"), self.option("until")
        log_filter = LogFilter(
            request=self.option("request"),
            workspace=self.option("workspace"),
            host=self.option("host"),
            event=self.option("event"),
            since=float(since) if since else None,
            until=float(until) if until else None,
        )
        return _read_logs(self.argument("files"), log_filter)


class DiagnoseCommand(Command):
    """Explains a request from the logs of several nodes."""

    name = "diagnose"
    description = "Explain from the nodes' logs what happened to a request, and why."
    arguments = [  # noqa: RUF012
        argument("request", "ID of the request."),
        argument(
            "files",
            "Log files; standard input if omitted.",
            optional=True,
            multiple=True,
        ),
    ]

    def handle(self) -> int:
        """Run the command; return the exit code."""
        try:
            records = _read_logs(self.argument("files"), LogFilter())
        except OSError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        request_id = self.argument("request")
        diagnosis = diagnose(records, request_id)
        if diagnosis is None:
            self.line_error(
                f"no line says how {request_id} ended; were all nodes' logs given?"
            )
            return EXIT_FAILURE
        self.line(f"{request_id}: {diagnosis.outcome}")
        for cause in diagnosis.causes:
            self.line(f"  because {cause}")
        start_time_s = float(diagnosis.evidence[0]["time"])
        for record in diagnosis.evidence:
            self.line(format_record(record, start_time_s=start_time_s))
        return 0


def _read_logs(paths: list[str], log_filter: LogFilter) -> list[dict[str, Any]]:
    """Return the matching records of files, or of standard input without any.

    Raises:
        OSError: A file cannot be read.

    """
    with ExitStack() as stack:
        sources: list[Iterable[str]] = [
            stack.enter_context(Path(path).open(encoding="utf-8", errors="replace"))
            for path in paths
        ]
        return select_records(sources or [sys.stdin], log_filter)
