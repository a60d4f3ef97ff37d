"""Formats resources as text tables."""

from __future__ import annotations

from typing import Any

_SUMMARY_FIELDS = {
    "workspaces": ("rate", "burst", "weight"),
    "keys": ("workspace",),
    "routes": ("path_prefix", "service", "idempotent", "importance"),
    "upstreams": ("drain",),
}


def build_rows(kind: str, items: list[dict[str, Any]]) -> list[list[str]]:
    """Return the header and the rows of a table of resources."""
    if kind == "hosts":
        return _build_host_rows(items)
    fields = _SUMMARY_FIELDS.get(kind, ())
    status_fields = ["service", "host", "state"] if kind == "upstreams" else []
    rows = [["name", *fields, *status_fields, "revision", "in force"]]
    for item in items:
        spec = item.get("spec") or {}
        status = item.get("status") or {}
        rows.append(
            [
                str(item.get("name")),
                *(_format_value(spec.get(field)) for field in fields),
                *(_format_value(status.get(field)) for field in status_fields),
                _format_value(item.get("revision")),
                describe_rollout(status),
            ]
        )
    return rows


def describe_rollout(status: dict[str, Any]) -> str:
    """Return a text that says in which failure domains a revision is in force."""
    if status.get("in_force_everywhere"):
        return "everywhere"
    domains = status.get("failure_domains") or {}
    parts = []
    for name, domain in domains.items():
        if not domain.get("in_force"):
            behind = ", ".join(domain.get("behind", []))
            parts.append(f"not yet in {name} ({behind or 'hosts not listed'})")
    parts += [f"{name} unreachable" for name in status.get("unreachable", [])]
    return "; ".join(parts) or "-"


def format_table(rows: list[list[str]]) -> list[str]:
    """Return the lines of a table with aligned columns.

    Args:
        rows: The header and the rows; all have the same number of cells.

    """
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _build_host_rows(items: list[dict[str, Any]]) -> list[list[str]]:
    rows = [["name", "failure domain", "state", "upstreams", "allotments of"]]
    for item in items:
        status = item["status"]
        rows.append(
            [
                item["name"],
                status["failure_domain"],
                status["state"],
                " ".join(status["upstreams"]) or "-",
                " ".join(status["holds_allotments_of"]) or "-",
            ]
        )
    return rows


def _format_value(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:g}" if isinstance(value, float) else str(value)
