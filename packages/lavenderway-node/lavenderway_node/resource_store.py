"""Reads and writes operators' resources in the platform's table."""

from __future__ import annotations

import secrets
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.configuration import CONFIG_PREFIX, row_key
from lavenderway_core.directory import digest_secret
from lavenderway_core.resources import Kind, SpecDocument
from lavenderway_core.table import ABSENT, Condition, Row, TransactOutcome, Write
from lavenderway_core.validation import Finding, check_spec
from returns.result import Failure, Success

if TYPE_CHECKING:
    from lavenderway_node.platform import TableClient

SECRET_BYTES = 24
WRITE_ID_FIELD = "write"
TOMBSTONE_TTL_S = 7 * 24 * 3600


class WriteVerdict(Enum):
    """How an operator's write ended."""

    DONE = "done"
    INVALID = "invalid"
    CONFLICT = "conflict"
    MISSING = "missing"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class WriteRequest(NamedTuple):
    """An operator's write.

    Attributes:
        document: Specification; None to delete.
        write_id: Id that the client chose, by which a lost answer is settled.
        expected: Version that must be present; None for any.

    """

    kind: Kind
    name: str
    document: SpecDocument | None
    write_id: str
    expected: int | None


class WriteAnswer(NamedTuple):
    """Answer to an operator's write.

    Attributes:
        row: Present row, after a commit or a conflict.
        secret: Secret of a key that was made for this write; shown only here.

    """

    verdict: WriteVerdict
    row: Row | None
    findings: tuple[Finding, ...]
    secret: str | None


class ResourceStore:
    """Writes resources.

    Args:
        table: Client of the platform's table.

    """

    def __init__(self, *, table: TableClient) -> None:
        self._table = table

    async def write(self, request: WriteRequest) -> WriteAnswer:
        """Create, replace or delete a resource."""
        document, secret = _with_digest(request)
        findings = _check(request, document)
        if findings:
            return WriteAnswer(WriteVerdict.INVALID, None, findings, None)
        read = await self._table.read(CONFIG_PREFIX)
        if not isinstance(read, Success):
            return _failed(WriteVerdict.UNAVAILABLE)
        rows = {row.key: row for row in read.unwrap().rows}
        present = rows.get(row_key(request.kind, request.name))
        if _is_repeated(present, request):
            return WriteAnswer(WriteVerdict.DONE, present, (), None)
        verdict = _check_present(present, request)
        if verdict is not None:
            return WriteAnswer(verdict, present, (), None)
        findings, needed = _check_references(request, document, rows)
        if findings:
            return WriteAnswer(WriteVerdict.INVALID, present, findings, None)
        return await self._commit(request, document, present, needed, secret)

    async def _commit(
        self,
        request: WriteRequest,
        document: SpecDocument | None,
        present: Row | None,
        needed: tuple[Condition, ...],
        secret: str | None,
    ) -> WriteAnswer:
        key = row_key(request.kind, request.name)
        version = ABSENT if present is None else present.version
        value: dict[str, object] = {"spec": document, WRITE_ID_FIELD: request.write_id}
        conditions = (Condition(key, version), *needed)
        ttl_s = TOMBSTONE_TTL_S if document is None else None
        settled = await self._table.transact(conditions, (Write(key, value, ttl_s),))
        if settled.outcome is TransactOutcome.COMMITTED:
            row = Row(key, settled.versions[key], value)
            return WriteAnswer(WriteVerdict.DONE, row, (), secret)
        if settled.outcome is TransactOutcome.CONFLICT:
            current = next((row for row in settled.rows if row.key == key), present)
            return WriteAnswer(WriteVerdict.CONFLICT, current, (), None)
        return _failed(WriteVerdict.UNKNOWN)


def is_present(row: Row | None) -> bool:
    """Tell whether a row holds a resource rather than a deletion."""
    return row is not None and row.value.get("spec") is not None


def _failed(verdict: WriteVerdict) -> WriteAnswer:
    return WriteAnswer(verdict, None, (), None)


def _with_digest(request: WriteRequest) -> tuple[SpecDocument | None, str | None]:
    document = request.document
    if request.kind is not Kind.KEY or not isinstance(document, dict):
        return document, None
    if "digest" in document:
        return document, None
    secret = secrets.token_urlsafe(SECRET_BYTES)
    return {**document, "digest": digest_secret(secret)}, secret


def _check(request: WriteRequest, document: SpecDocument | None) -> tuple[Finding, ...]:
    if request.document is None:
        return ()
    match check_spec(request.kind, request.name, document):
        case Failure(findings):
            return tuple(findings)
    return ()


def _is_repeated(present: Row | None, request: WriteRequest) -> bool:
    return present is not None and present.value.get(WRITE_ID_FIELD) == request.write_id


def _check_present(present: Row | None, request: WriteRequest) -> WriteVerdict | None:
    exists = is_present(present)
    if request.document is None and not exists:
        return WriteVerdict.MISSING
    if request.expected is None:
        return None
    version = present.version if present is not None and exists else ABSENT
    return None if request.expected == version else WriteVerdict.CONFLICT


def _check_references(
    request: WriteRequest, document: SpecDocument | None, rows: dict[str, Row]
) -> tuple[tuple[Finding, ...], tuple[Condition, ...]]:
    """Check that what a resource names exists, and stays so until the commit."""
    if document is None:
        return _check_unused(request, rows), ()
    named: list[tuple[str, str]] = []
    if request.kind is Kind.KEY:
        named.append(("spec.workspace", str(document.get("workspace"))))
    names = document.get("workspaces", [])
    if request.kind is Kind.ROUTE and isinstance(names, list):
        named += [(f"spec.workspaces[{at}]", str(n)) for at, n in enumerate(names)]
    findings = []
    conditions = []
    for place, name in named:
        key = row_key(Kind.WORKSPACE, name)
        row = rows.get(key)
        if row is None or not is_present(row):
            problem = f"there is no workspace {name!r}"
            findings.append(Finding(place, problem, "the name of a workspace"))
        else:
            conditions.append(Condition(key, row.version))
    return tuple(findings), tuple(dict.fromkeys(conditions))


def _check_unused(request: WriteRequest, rows: dict[str, Row]) -> tuple[Finding, ...]:
    if request.kind is not Kind.WORKSPACE:
        return ()
    users = [
        row.key.removeprefix(CONFIG_PREFIX)
        for row in rows.values()
        if is_present(row) and _names_workspace(row, request.name)
    ]
    if not users:
        return ()
    problem = f"is named by {', '.join(sorted(users))}"
    return (Finding("name", problem, "a workspace that no key or route names"),)


def _names_workspace(row: Row, name: str) -> bool:
    spec = row.value.get("spec")
    if not isinstance(spec, dict):
        return False
    return spec.get("workspace") == name or name in spec.get("workspaces", [])
