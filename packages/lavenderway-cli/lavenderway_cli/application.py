"""Commands of `lavenderway`, the operators' command line."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
from hashlib import sha256
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from returns.result import Failure, Result, Success

from lavenderway_cli.client import ApiClient, ApiError
from lavenderway_cli.exit_codes import (
    EXIT_CONFLICT,
    EXIT_FAILURE,
    EXIT_UNAVAILABLE,
    EXIT_USAGE,
)
from lavenderway_cli.fields import parse_fields
from lavenderway_cli.log_commands import DiagnoseCommand, LogsCommand
from lavenderway_cli.preview import PreviewCommand
from lavenderway_cli.tables import build_rows, describe_rollout, format_table

if TYPE_CHECKING:
    from collections.abc import Coroutine

VERSION = "0.1.0"
KINDS = ("workspaces", "keys", "routes", "upstreams", "hosts")
KINDS_TEXT = ", ".join(KINDS)
WAIT_TIMEOUT_S = 30.0
_COMMON_OPTIONS = [
    option(
        "url",
        None,
        "URL of a node's listener for operators [env: LAVENDERWAY_URL].",
        flag=False,
    ),
    option(
        "secret-file",
        None,
        "File with the operator's credential [env: LAVENDERWAY_SECRET_FILE].",
        flag=False,
    ),
    option("output", "o", "Output format: table or json.", flag=False, default="table"),
]


class _ApiCommand(Command):
    """Base class of the commands that call the resource API of a node."""

    def _create_client(self) -> ApiClient | None:
        """Return a client for the node; print an error and return None if not given."""
        url = self.option("url") or os.environ.get("LAVENDERWAY_URL")
        secret_path = self.option("secret-file") or os.environ.get(
            "LAVENDERWAY_SECRET_FILE"
        )
        if not url or not secret_path:
            self.line_error(
                "Give the URL of a node with --url and the file that holds the "
                "credential with --secret-file, or set LAVENDERWAY_URL and "
                "LAVENDERWAY_SECRET_FILE."
            )
            return None
        try:
            secret = Path(secret_path).read_text(encoding="utf-8").split()[0]
        except (OSError, IndexError):
            self.line_error(f"{secret_path}: cannot read a credential from this file.")
            return None
        return ApiClient(url=url, secret=secret)

    def _run_coroutine(self, coroutine: Coroutine[Any, Any, int]) -> int:
        """Run a coroutine; return its exit code, or 0 if the user interrupts it."""
        try:
            return asyncio.run(coroutine)
        except KeyboardInterrupt:
            return 0

    def _wants_json(self) -> bool:
        return bool(self.option("output") == "json")

    def _check_kind(self) -> bool:
        """Return whether the kind is known; print an error if it is not."""
        kind = self.argument("kind")
        if kind in KINDS:
            return True
        self.line_error(f"{kind!r} is not a kind of resource; use {KINDS_TEXT}.")
        return False

    def _print_error(self, error: ApiError) -> int:
        """Print why a call failed; return the exit code."""
        self.line_error(error.title + ".")
        for finding in error.document.get("findings", []):
            key_path, problem = finding["place"], finding["problem"]
            self.line_error(f"  {key_path}: {problem}; expected {finding['expected']}")
        current = error.document.get("current")
        if current is not None:
            self.line_error(f"  The resource is now at revision {current['revision']}:")
            self.line_error(f"  {json.dumps(current['spec'])}")
        if error.status == 412:
            return EXIT_CONFLICT
        return EXIT_UNAVAILABLE if error.status in (0, 503) else EXIT_FAILURE

    def _print_result(self, result: Result[dict[str, Any], ApiError]) -> int:
        """Print the document or the error of a call; return the exit code."""
        match result:
            case Success(document):
                self.line(
                    json.dumps(document, indent=None if self._wants_json() else 2)
                )
                return 0
            case Failure(error):
                return self._print_error(error)
        return EXIT_FAILURE

    def _print_resource(self, document: dict[str, Any]) -> None:
        if self._wants_json():
            self.line(json.dumps(document))
            return
        name, revision = document["name"], document.get("revision")
        rollout = describe_rollout(document.get("status") or {})
        self.line(
            f"{document['kind']}/{name} at revision {revision}; in force: {rollout}"
        )
        if "secret" in document:
            self.line(f"secret (not shown again): {document['secret']}")


class GetCommand(_ApiCommand):
    """Shows resources."""

    name = "get"
    description = "Show all resources of a kind, or one of them."
    arguments = [  # noqa: RUF012
        argument("kind", f"One of {KINDS_TEXT}."),
        argument(
            "name",
            "Name of a resource; if omitted, all of the kind.",
            optional=True,
        ),
    ]
    options = [  # noqa: RUF012
        *_COMMON_OPTIONS,
        option("watch", "w", "Keep running and show each change."),
    ]

    def handle(self) -> int:
        """Run the command; return the exit code."""
        client = self._create_client()
        if client is None or not self._check_kind():
            return EXIT_USAGE
        return self._run_coroutine(self._get(client))

    async def _get(self, client: ApiClient) -> int:
        kind, name = self.argument("kind"), self.argument("name")
        if self.option("watch"):
            return await self._watch(client, kind, name)
        path = f"/v1/{kind}" + (f"/{quote(name, safe='')}" if name else "")
        match await client.read(path):
            case Success(document):
                self._print_document(kind, document)
                return 0
            case Failure(error):
                return self._print_error(error)
        return EXIT_FAILURE

    def _print_document(self, kind: str, document: dict[str, Any]) -> None:
        if self._wants_json():
            self.line(json.dumps(document))
            return
        items = document.get("items", [document])
        for line in format_table(build_rows(kind, items)):
            self.line(line)

    async def _watch(self, client: ApiClient, kind: str, name: str | None) -> int:
        async for document in client.watch(kind, 0):
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
        argument(
            "fields",
            "Fields as field=value, such as rate=100.",
            optional=True,
            multiple=True,
        ),
    ]
    options = [  # noqa: RUF012
        *_COMMON_OPTIONS,
        option(
            "if-match",
            None,
            "Write only if the resource is at this revision.",
            flag=False,
        ),
        option(
            "wait",
            None,
            "Wait until the change is in force everywhere; fail after 30 seconds.",
        ),
    ]

    def handle(self) -> int:
        """Run the command; return the exit code."""
        client = self._create_client()
        if client is None or not self._check_kind():
            return EXIT_USAGE
        match parse_fields(self.argument("fields") or []):
            case Success(spec):
                return self._run_coroutine(self._put(client, spec))
            case Failure(errors):
                for error in errors:
                    self.line_error(str(error))
        return EXIT_USAGE

    async def _put(self, client: ApiClient, spec: dict[str, object]) -> int:
        kind, name = self.argument("kind"), self.argument("name")
        secret = None
        if kind == "keys" and "digest" not in spec:
            secret = secrets.token_urlsafe(24)
            spec = {**spec, "digest": _hash_secret(secret)}
        result = await client.write(
            "PUT",
            f"/v1/{kind}/{quote(name, safe='')}",
            {"spec": spec},
            write_id=secrets.token_hex(8),
            expected_revision=self.option("if-match"),
        )
        match result:
            case Success(document):
                if secret is not None:
                    document["secret"] = secret
                self._print_resource(document)
                if self.option("wait"):
                    return await self._wait_until_in_force(
                        client, kind, name, document["revision"]
                    )
                return 0
            case Failure(error):
                return self._print_error(error)
        return EXIT_FAILURE

    async def _wait_until_in_force(
        self, client: ApiClient, kind: str, name: str, revision: int
    ) -> int:
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                async for document in client.watch(kind, revision - 1):
                    status = document.get("status") or {}
                    if document["name"] == name and status.get("in_force_everywhere"):
                        self._print_resource(document)
                        return 0
        except TimeoutError:
            self.line_error(
                "The change was written but is not in force everywhere yet."
            )
        return EXIT_UNAVAILABLE


class DeleteCommand(_ApiCommand):
    """Deletes a resource."""

    name = "delete"
    description = "Delete a resource; a deleted key stops working within seconds."
    arguments = PutCommand.arguments[:2]
    options = [  # noqa: RUF012
        *_COMMON_OPTIONS,
        option(
            "if-match",
            None,
            "Delete only if the resource is at this revision.",
            flag=False,
        ),
    ]

    def handle(self) -> int:
        """Run the command; return the exit code."""
        client = self._create_client()
        if client is None or not self._check_kind():
            return EXIT_USAGE
        return self._run_coroutine(self._delete(client))

    async def _delete(self, client: ApiClient) -> int:
        kind, name = self.argument("kind"), self.argument("name")
        result = await client.write(
            "DELETE",
            f"/v1/{kind}/{quote(name, safe='')}",
            None,
            write_id=secrets.token_hex(8),
            expected_revision=self.option("if-match"),
        )
        match result:
            case Success(document):
                self._print_resource(document)
                return 0
            case Failure(error):
                return self._print_error(error)
        return EXIT_FAILURE


class StatusCommand(_ApiCommand):
    """Shows the state of a node."""

    name = "status"
    description = (
        "Show the state of a node: configuration revision, load, concurrency limits "
        "and rate allotments."
    )
    options = _COMMON_OPTIONS

    def handle(self) -> int:
        """Run the command; return the exit code."""
        client = self._create_client()
        if client is None:
            return EXIT_USAGE
        return self._run_coroutine(self._fetch_and_print(client, "/v1/status"))

    async def _fetch_and_print(self, client: ApiClient, path: str) -> int:
        return self._print_result(await client.read(path))


class HistogramsCommand(StatusCommand):
    """Shows the latency histograms of a node."""

    name = "histograms"
    description = "Show request latency by workspace, importance and outcome."

    def handle(self) -> int:
        """Run the command; return the exit code."""
        client = self._create_client()
        if client is None:
            return EXIT_USAGE
        return self._run_coroutine(self._fetch_and_print(client, "/v1/histograms"))


class ExplainCommand(StatusCommand):
    """Shows the recorded decisions about one request."""

    name = "explain"
    description = "Show what the nodes recorded about a request, given its ID."
    arguments = [  # noqa: RUF012
        argument("request-id", "Value of the response header Lavenderway-Request-Id.")
    ]

    def handle(self) -> int:
        """Run the command; return the exit code."""
        client = self._create_client()
        if client is None:
            return EXIT_USAGE
        request_id = quote(self.argument("request-id"), safe="")
        return self._run_coroutine(
            self._fetch_and_print(client, f"/v1/explain/{request_id}")
        )


def _hash_secret(secret: str) -> str:
    """Return the digest that is stored instead of a key's secret."""
    return sha256(secret.encode()).hexdigest()


def build_application() -> Application:
    """Return the application with all commands."""
    application = Application("lavenderway", VERSION)
    for command in (
        GetCommand(),
        PutCommand(),
        DeleteCommand(),
        StatusCommand(),
        HistogramsCommand(),
        ExplainCommand(),
        LogsCommand(),
        DiagnoseCommand(),
        PreviewCommand(),
    ):
        application.add(command)
    return application


def main() -> None:
    """Run the command line."""
    build_application().run()
