"""The binary `lavenderway`."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import sys
from contextlib import ExitStack
from hashlib import sha256
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from returns.result import Failure, Result, Success

from lavenderway_cli.client import Api, ApiError
from lavenderway_cli.fields import parse_fields
from lavenderway_cli.logs import LogFilter, format_record, select_records
from lavenderway_cli.tables import build_rows, describe_force, format_table

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterable

VERSION = "0.1.0"
KINDS = ("workspaces", "keys", "routes", "upstreams", "hosts")
KINDS_TEXT = ", ".join(KINDS)
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
WATCH_TIMEOUT_S = 30.0
_COMMON = [
    option("url", None, "Operators' listener [LAVENDERWAY_URL].", flag=False),
    option(
        "secret-file",
        None,
        "File with the credential [LAVENDERWAY_SECRET_FILE].",
        flag=False,
    ),
    option("output", "o", "table or json.", flag=False, default="table"),
]


class _ApiCommand(Command):
    """A command that calls the API."""

    def _open(self) -> Api | None:
        url = self.option("url") or os.environ.get("LAVENDERWAY_URL")
        name = self.option("secret-file") or os.environ.get("LAVENDERWAY_SECRET_FILE")
        if not url or not name:
            self.line_error(
                "Name the node with --url and the credential with --secret-file, or "
                "set LAVENDERWAY_URL and LAVENDERWAY_SECRET_FILE."
            )
            return None
        try:
            secret = Path(name).read_text(encoding="utf-8").split()[0]
        except (OSError, IndexError):
            self.line_error(f"{name}: no credential can be read from this file.")
            return None
        return Api(url=url, secret=secret)

    def _run(self, work: Coroutine[Any, Any, int]) -> int:
        try:
            return asyncio.run(work)
        except KeyboardInterrupt:
            return 0

    def _wants_json(self) -> bool:
        return bool(self.option("output") == "json")

    def _known_kind(self) -> bool:
        kind = self.argument("kind")
        if kind in KINDS:
            return True
        self.line_error(f"{kind!r} is not a kind of resource; use {KINDS_TEXT}.")
        return False

    def _fail(self, error: ApiError) -> int:
        self.line_error(error.title + ".")
        for finding in error.document.get("findings", []):
            place, problem = finding["place"], finding["problem"]
            self.line_error(f"  {place}: {problem}; expected {finding['expected']}")
        current = error.document.get("current")
        if current is not None:
            self.line_error(f"  It is at revision {current['revision']} now:")
            self.line_error(f"  {json.dumps(current['spec'])}")
        if error.status == 412:
            return EXIT_CONFLICT
        return EXIT_UNAVAILABLE if error.status in (0, 503) else EXIT_REFUSED

    def _print(self, result: Result[dict[str, Any], ApiError]) -> int:
        match result:
            case Success(document):
                self.line(
                    json.dumps(document, indent=None if self._wants_json() else 2)
                )
                return 0
            case Failure(error):
                return self._fail(error)
        return EXIT_REFUSED

    def _print_resource(self, document: dict[str, Any]) -> None:
        if self._wants_json():
            self.line(json.dumps(document))
            return
        name, revision = document["name"], document.get("revision")
        force = describe_force(document.get("status") or {})
        self.line(f"{document['kind']}/{name} at revision {revision}, in force {force}")
        if "secret" in document:
            self.line(f"secret (shown only now): {document['secret']}")


class GetCommand(_ApiCommand):
    """Shows resources."""

    name = "get"
    description = "Show the resources of a kind, or one of them."
    arguments = [  # noqa: RUF012
        argument("kind", f"One of {KINDS_TEXT}."),
        argument("name", "Name of a resource.", optional=True),
    ]
    options = [*_COMMON, option("watch", "w", "Go on with each change.")]  # noqa: RUF012

    def handle(self) -> int:
        """Run the command; return the exit code."""
        api = self._open()
        if api is None or not self._known_kind():
            return EXIT_USAGE
        return self._run(self._show(api))

    async def _show(self, api: Api) -> int:
        kind, name = self.argument("kind"), self.argument("name")
        if self.option("watch"):
            return await self._watch(api, kind, name)
        path = f"/v1/{kind}" + (f"/{quote(name, safe='')}" if name else "")
        match await api.read(path):
            case Success(document):
                self._show_document(kind, document)
                return 0
            case Failure(error):
                return self._fail(error)
        return EXIT_REFUSED

    def _show_document(self, kind: str, document: dict[str, Any]) -> None:
        if self._wants_json():
            self.line(json.dumps(document))
            return
        items = document.get("items", [document])
        for line in format_table(build_rows(kind, items)):
            self.line(line)

    async def _watch(self, api: Api, kind: str, name: str | None) -> int:
        async for document in api.watch(kind, 0):
            if name is None or document["name"] == name:
                self._print_resource(document)
        return 0


class PutCommand(_ApiCommand):
    """Creates or replaces a resource."""

    name = "put"
    description = "Create or replace a resource from field=value arguments."
    arguments = [  # noqa: RUF012
        argument("kind", "One of workspaces, keys, routes, upstreams."),
        argument("name", "Name of the resource."),
        argument("fields", "Fields, as in rate=100.", optional=True, multiple=True),
    ]
    options = [  # noqa: RUF012
        *_COMMON,
        option("if-match", None, "Revision that must be present.", flag=False),
        option("wait", None, "Wait until the change is in force everywhere."),
    ]

    def handle(self) -> int:
        """Run the command; return the exit code."""
        api = self._open()
        if api is None or not self._known_kind():
            return EXIT_USAGE
        match parse_fields(self.argument("fields") or []):
            case Success(spec):
                return self._run(self._put(api, spec))
            case Failure(errors):
                for error in errors:
                    self.line_error(str(error))
        return EXIT_USAGE

    async def _put(self, api: Api, spec: dict[str, object]) -> int:
        kind, name = self.argument("kind"), self.argument("name")
        secret = None
        if kind == "keys" and "digest" not in spec:
            secret = secrets.token_urlsafe(24)
            spec = {**spec, "digest": _digest(secret)}
        result = await api.write(
            "PUT",
            f"/v1/{kind}/{quote(name, safe='')}",
            {"spec": spec},
            write_id=secrets.token_hex(8),
            match=self.option("if-match"),
        )
        match result:
            case Success(document):
                if secret is not None:
                    document["secret"] = secret
                self._print_resource(document)
                if self.option("wait"):
                    return await self._wait(api, kind, name, document["revision"])
                return 0
            case Failure(error):
                return self._fail(error)
        return EXIT_REFUSED

    async def _wait(self, api: Api, kind: str, name: str, revision: int) -> int:
        try:
            async with asyncio.timeout(WATCH_TIMEOUT_S):
                async for document in api.watch(kind, revision - 1):
                    status = document.get("status") or {}
                    if document["name"] == name and status.get("in_force_everywhere"):
                        self._print_resource(document)
                        return 0
        except TimeoutError:
            self.line_error("The change is written, but not in force everywhere yet.")
        return EXIT_UNAVAILABLE


class DeleteCommand(_ApiCommand):
    """Deletes a resource."""

    name = "delete"
    description = "Delete a resource; a deleted key stops working within seconds."
    arguments = PutCommand.arguments[:2]
    options = [  # noqa: RUF012
        *_COMMON,
        option("if-match", None, "Revision that must be present.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command; return the exit code."""
        api = self._open()
        if api is None or not self._known_kind():
            return EXIT_USAGE
        return self._run(self._delete(api))

    async def _delete(self, api: Api) -> int:
        kind, name = self.argument("kind"), self.argument("name")
        result = await api.write(
            "DELETE",
            f"/v1/{kind}/{quote(name, safe='')}",
            None,
            write_id=secrets.token_hex(8),
            match=self.option("if-match"),
        )
        match result:
            case Success(document):
                self._print_resource(document)
                return 0
            case Failure(error):
                return self._fail(error)
        return EXIT_REFUSED


class StatusCommand(_ApiCommand):
    """Shows the state of a node."""

    name = "status"
    description = "Show the state of the node: revision, load, limits, allotments."
    options = _COMMON

    def handle(self) -> int:
        """Run the command; return the exit code."""
        api = self._open()
        if api is None:
            return EXIT_USAGE
        return self._run(self._show(api, "/v1/status"))

    async def _show(self, api: Api, path: str) -> int:
        return self._print(await api.read(path))


class HistogramsCommand(StatusCommand):
    """Shows latency histograms."""

    name = "histograms"
    description = "Show latency by workspace, importance and outcome."

    def handle(self) -> int:
        """Run the command; return the exit code."""
        api = self._open()
        if api is None:
            return EXIT_USAGE
        return self._run(self._show(api, "/v1/histograms"))


class ExplainCommand(StatusCommand):
    """Explains one request."""

    name = "explain"
    description = "Show what the fleet did with a request, by its id."
    arguments = [  # noqa: RUF012
        argument("request-id", "Value of the Lavenderway-Request-Id field.")
    ]

    def handle(self) -> int:
        """Run the command; return the exit code."""
        api = self._open()
        if api is None:
            return EXIT_USAGE
        root = quote(self.argument("request-id"), safe="")
        return self._run(self._show(api, f"/v1/explain/{root}"))


class LogsCommand(Command):
    """Filters and merges the logs of nodes."""

    name = "logs"
    description = "Show log lines of nodes in order of time, filtered."
    arguments = [  # noqa: RUF012
        argument(
            "files", "Log files; standard input if none.", optional=True, multiple=True
        )
    ]
    options = [  # noqa: RUF012
        option("request", "r", "Id of a request; its calls too.", flag=False),
        option("workspace", "w", "Workspace of the request.", flag=False),
        option("host", None, "Host that wrote the line.", flag=False),
        option("event", "e", "Start of the event's name.", flag=False),
        option("since", None, "Earliest Unix time in seconds.", flag=False),
        option("until", None, "Latest Unix time in seconds.", flag=False),
        option("output", "o", "timeline or json.", flag=False, default="timeline"),
    ]

    def handle(self) -> int:
        """Run the command; return the exit code."""
        try:
            records = self._select()
        except (OSError, ValueError) as error:
            self.line_error(str(error))
            return EXIT_USAGE
        for record in records:
            if self.option("output") == "json":
                self.line(json.dumps(record))
            else:
                self.line(format_record(record, origin=float(records[0]["time"])))
        return 0 if records else EXIT_REFUSED

    def _select(self) -> list[dict[str, Any]]:
        since, until = self.option("since"), self.option("until")
        wanted = LogFilter(
            request=self.option("request"),
            workspace=self.option("workspace"),
            host=self.option("host"),
            event=self.option("event"),
            since=float(since) if since else None,
            until=float(until) if until else None,
        )
        names = self.argument("files")
        with ExitStack() as stack:
            sources: list[Iterable[str]] = [
                stack.enter_context(Path(name).open(encoding="utf-8", errors="replace"))
                for name in names
            ]
            return select_records(sources or [sys.stdin], wanted)


def _digest(secret: str) -> str:
    return sha256(secret.encode()).hexdigest()


def build_application() -> Application:
    """Return the command line."""
    application = Application("lavenderway", VERSION)
    for command in (
        GetCommand(),
        PutCommand(),
        DeleteCommand(),
        StatusCommand(),
        HistogramsCommand(),
        ExplainCommand(),
        LogsCommand(),
    ):
        application.add(command)
    return application


def main() -> None:
    """Run the binary."""
    build_application().run()
