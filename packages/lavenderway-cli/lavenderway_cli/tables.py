"""Prints documents as tables for people."""

from __future__ import annotations

from typing import Any

_SUMMARY = {
    "workspaces": ("rate", "burst", "weight"),
    "keys": ("workspace",),
    "routes": ("path_prefix", "service", "idempotent", "importance"),
    "upstreams": ("drain",),
}


def build_rows(kind: str, items: list[dict[str, Any]]) -> list[list[str]]:
    """Return header and rows of a table of resources."""
    if kind == "hosts":
        return _build_hosts(items)
    fields = _SUMMARY.get(kind, ())
    extra = ["service", "host", "state"] if kind == "upstreams" else []
    rows = [["name", *fields, *extra, "revision", "in force"]]
    for item in items:
        spec = item.get("spec") or {}
        status = item.get("status") or {}
        rows.append(
            [
                str(item.get("name")),
                *(_show(spec.get(field)) for field in fields),
                *(_show(status.get(field)) for field in extra),
                _show(item.get("revision")),
                describe_force(status),
            ]
        )
    return rows


def describe_force(status: dict[str, Any]) -> str:
    """Return in words where a revision is in force."""
    if status.get("in_force_everywhere"):
        return "everywhere"
    domains = status.get("failure_domains") or {}
    parts = []
    for name, domain in domains.items():
        if not domain.get("in_force"):
            behind = ", ".join(domain.get("behind", []))
            parts.append(f"not yet in {name} ({behind or 'no host'})")
    parts += [f"{name} unreachable" for name in status.get("unreachable", [])]
    return "; ".join(parts) or "-"


def format_table(rows: list[list[str]]) -> list[str]:
    """Return the lines of a table with aligned columns."""
    widths = [max(len(row[at]) for row in rows) for at in range(len(rows[0]))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _build_hosts(items: list[dict[str, Any]]) -> list[list[str]]:
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


def _show(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:g}" if isinstance(value, float) else str(value)
