"""Command of `lavenderway` that shows where a request would go, without sending it."""

from __future__ import annotations

import json
from typing import Any
from urllib.error import URLError
from urllib.parse import urlencode
from urllib.request import urlopen

from cleo.commands.command import Command
from cleo.helpers import argument, option

from lavenderway_cli.exit_codes import EXIT_FAILURE, EXIT_UNAVAILABLE, EXIT_USAGE
from lavenderway_cli.tables import format_table

TIMEOUT_S = 5.0
REFUSED = "refused"


class PreviewCommand(Command):
    """Shows where a request would go now, and why."""

    name = "preview"
    description = "Show where a request would go now and why, without sending it."
    arguments = [  # noqa: RUF012
        argument(
            "url", "URL of a node's readiness listener; it stands for the caller's."
        ),
        argument("authority", "Value of the request's Host header."),
        argument("path", "Path of the request."),
    ]
    options = [  # noqa: RUF012
        option("workspace", "w", "Workspace of the caller.", flag=False),
        option(
            "output", "o", "Output format: table or json.", flag=False, default="table"
        ),
    ]

    def handle(self) -> int:
        """Run the command; return the exit code, 1 if it would be refused."""
        fields = {name: self.argument(name) for name in ("authority", "path")}
        if self.option("workspace"):
            fields["workspace"] = self.option("workspace")
        url = f"{self.argument('url').rstrip('/')}/v1/preview?{urlencode(fields)}"
        if not url.startswith(("http://", "https://")):
            self.line_error(f"{url}: expected a URL that begins with http://.")
            return EXIT_USAGE
        try:
            with urlopen(url, timeout=TIMEOUT_S) as response:
                preview = json.loads(response.read())
        except (URLError, TimeoutError, ValueError) as error:
            self.line_error(
                f"{self.argument('url')}: no preview from this node: {error}"
            )
            return EXIT_UNAVAILABLE
        if self.option("output") == "json":
            self.line(json.dumps(preview))
        else:
            for line in format_preview(preview):
                self.line(line)
        return EXIT_FAILURE if preview["outcome"].startswith(REFUSED) else 0


def format_preview(preview: dict[str, Any]) -> list[str]:
    """Return the lines that explain a preview to a person."""
    lines = [
        preview["outcome"],
        f"node {preview['node']} in {preview['failure_domain']}, "
        f"configuration {preview['configuration'] or 'none'}",
    ]
    if preview["evacuated"]:
        lines.append(f"evacuated: {', '.join(preview['evacuated'])}")
    if "route" in preview:
        importance = preview.get("importance_class", "-")
        lines.append(f"route {preview['route']}, importance class {importance}")
    if "quota" in preview:
        lines.append(_format_quota(preview["quota"]))
    for service in preview.get("services", ()):
        lines += _format_service(service)
    lines += [f"unknown: {each}" for each in preview["unknown"]]
    return lines


def _format_quota(quota: dict[str, Any]) -> str:
    if quota["rate_per_s"] is None:
        return "quota: no limit"
    return (
        f"quota: {quota['rate_per_s']:g} a second, burst {quota['burst']:g}; "
        f"{quota['tokens_here']:g} tokens on this host; "
        f"token owners: {', '.join(quota['token_owners']) or 'none'}"
    )


def _format_service(service: dict[str, Any]) -> list[str]:
    lines = [
        f"service {service['service']} (weight {service['weight']:g}): "
        f"{service['admitted_part']:.0%} of such requests admitted"
    ]
    for reached in service["reaches"]:
        name, each, level = (
            reached["service"],
            reached["requests_each"],
            reached["level"],
        )
        limit = "accepts all" if level is None else f"level {level}"
        lines.append(f"  reaches {name}, {each:g} for each: {limit}")
    rows = [["host", "failure domain", "state", "load", "score"]]
    names = list(service["candidates"][0]["factors"]) if service["candidates"] else []
    rows[0] += names
    for each in service["candidates"]:
        cells = [each["host"], each["failure_domain"], each["state"]]
        cells += [f"{each['load']:g}", f"{each['score']:g}"]
        rows.append(cells + [f"{each['factors'][name]:g}" for name in names])
    lines += [f"  {line}" for line in format_table(rows)]
    hidden = service["candidate_count"] - len(service["candidates"])
    if hidden:
        lines.append(f"  and {hidden} more hosts")
    return lines
