"""Validates operators' resources and writes them to the platform's table."""

from __future__ import annotations

import secrets
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.configuration import CONFIG_KEY_PREFIX, row_key
from lavenderway_core.configuration_store import digest_secret
from lavenderway_core.resources import Kind, SpecDocument
from lavenderway_core.table import ABSENT, Condition, Row, TransactOutcome, Write
from lavenderway_core.validation import Finding, check_spec
from returns.result import Failure, Success

if TYPE_CHECKING:
    from lavenderway_node.table_client import TableClient

KEY_SECRET_BYTES = 24
WRITE_ID_FIELD = "write"
TOMBSTONE_TTL_S = 7 * 24 * 3600


class WriteOutcome(Enum):
    """Outcome of an operator's write."""

    DONE = "done"
    INVALID = "invalid"
    CONFLICT = "conflict"
    MISSING = "missing"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class WriteRequest(NamedTuple):
    """An operator's write of one resource.

    Attributes:
        document: Specification (`spec`); None deletes the resource.
        write_id: Idempotency ID, by which a retried write is recognized.
        expected_version: Version that the stored row must have; None accepts any.

    """

    kind: Kind
    name: str
    document: SpecDocument | None
    write_id: str
    expected_version: int | None


class WriteResult(NamedTuple):
    """Result of an operator's write.

    Attributes:
        row: Stored row, after a commit or a conflict.
        findings: Validation errors of a write that was rejected as invalid.
        secret: Generated secret of a new key. Only its digest is stored, so it
            cannot be returned later.

    """

    outcome: WriteOutcome
    row: Row | None
    findings: tuple[Finding, ...]
    secret: str | None


class ResourceStore:
    """Creates, replaces and deletes resources under optimistic concurrency control.

    Args:
        table: Client of the platform's table.

    """

    def __init__(self, *, table: TableClient) -> None:
        self._table = table

    async def write(self, request: WriteRequest) -> WriteResult:
        """Create, replace or delete a resource.

        A write whose ID equals that of the stored row is a retry and succeeds without
        writing again.
        """
        document, secret = _add_key_digest(request)
        findings = _check_document(request, document)
        if findings:
            return WriteResult(WriteOutcome.INVALID, None, findings, None)
        response = await self._table.read(CONFIG_KEY_PREFIX)
        if not isinstance(response, Success):
            return _build_failure(WriteOutcome.UNAVAILABLE)
        rows = {row.key: row for row in response.unwrap().rows}
        stored = rows.get(row_key(request.kind, request.name))
        if _is_retry(stored, request):
            return WriteResult(WriteOutcome.DONE, stored, (), None)
        outcome = _check_version(stored, request)
        if outcome is not None:
            return WriteResult(outcome, stored, (), None)
        findings, reference_conditions = _check_references(request, document, rows)
        if findings:
            return WriteResult(WriteOutcome.INVALID, stored, findings, None)
        return await self._commit(
            request, document, stored, reference_conditions, secret
        )

    async def _commit(
        self,
        request: WriteRequest,
        document: SpecDocument | None,
        stored: Row | None,
        reference_conditions: tuple[Condition, ...],
        secret: str | None,
    ) -> WriteResult:
        key = row_key(request.kind, request.name)
        version = ABSENT if stored is None else stored.version
        value: dict[str, object] = {"spec": document, WRITE_ID_FIELD: request.write_id}
        conditions = (Condition(key, version), *reference_conditions)
        ttl_s = TOMBSTONE_TTL_S if document is None else None
        result = await self._table.transact(conditions, (Write(key, value, ttl_s),))
        if result.outcome is TransactOutcome.COMMITTED:
            row = Row(key, result.versions[key], value)
            return WriteResult(WriteOutcome.DONE, row, (), secret)
        if result.outcome is TransactOutcome.CONFLICT:
            current = next((row for row in result.rows if row.key == key), stored)
            return WriteResult(WriteOutcome.CONFLICT, current, (), None)
        return _build_failure(WriteOutcome.UNKNOWN)


def contains_resource(row: Row | None) -> bool:
    """Return whether a row contains a resource rather than a tombstone."""
    return row is not None and row.value.get("spec") is not None


def _build_failure(outcome: WriteOutcome) -> WriteResult:
    return WriteResult(outcome, None, (), None)


def _add_key_digest(request: WriteRequest) -> tuple[SpecDocument | None, str | None]:
    """Generate a secret for a key without a digest; return the document and secret."""
    document = request.document
    if request.kind is not Kind.KEY or not isinstance(document, dict):
        return document, None
    if "digest" in document:
        return document, None
    secret = secrets.token_urlsafe(KEY_SECRET_BYTES)
    return {**document, "digest": digest_secret(secret)}, secret


def _check_document(
    request: WriteRequest, document: SpecDocument | None
) -> tuple[Finding, ...]:
    if request.document is None:
        return ()
    match check_spec(request.kind, request.name, document):
        case Failure(findings):
            return tuple(findings)
    return ()


def _is_retry(stored: Row | None, request: WriteRequest) -> bool:
    return stored is not None and stored.value.get(WRITE_ID_FIELD) == request.write_id


def _check_version(stored: Row | None, request: WriteRequest) -> WriteOutcome | None:
    exists = contains_resource(stored)
    if request.document is None and not exists:
        return WriteOutcome.MISSING
    if request.expected_version is None:
        return None
    version = stored.version if stored is not None and exists else ABSENT
    return None if request.expected_version == version else WriteOutcome.CONFLICT


def _check_references(
    request: WriteRequest, document: SpecDocument | None, rows: dict[str, Row]
) -> tuple[tuple[Finding, ...], tuple[Condition, ...]]:
    """Check that the workspaces a resource refers to exist.

    Returns:
        The findings, and conditions that make the transaction fail if a referenced
        workspace has changed since it was read.

    """
    if document is None:
        return _check_unreferenced(request, rows), ()
    references: list[tuple[str, str]] = []
    if request.kind is Kind.KEY:
        references.append(("spec.workspace", str(document.get("workspace"))))
    names = document.get("workspaces", [])
    if request.kind is Kind.ROUTE and isinstance(names, list):
        references += [
            (f"spec.workspaces[{index}]", str(n)) for index, n in enumerate(names)
        ]
    findings = []
    conditions = []
    for place, name in references:
        key = row_key(Kind.WORKSPACE, name)
        row = rows.get(key)
        if row is None or not contains_resource(row):
            problem = f"there is no workspace {name!r}"
            findings.append(Finding(place, problem, "the name of a workspace"))
        else:
            conditions.append(Condition(key, row.version))
    return tuple(findings), tuple(dict.fromkeys(conditions))


def _check_unreferenced(
    request: WriteRequest, rows: dict[str, Row]
) -> tuple[Finding, ...]:
    if request.kind is not Kind.WORKSPACE:
        return ()
    referrers = [
        row.key.removeprefix(CONFIG_KEY_PREFIX)
        for row in rows.values()
        if contains_resource(row) and _references_workspace(row, request.name)
    ]
    if not referrers:
        return ()
    problem = f"is named by {', '.join(sorted(referrers))}"
    return (Finding("name", problem, "a workspace that no key or route names"),)


def _references_workspace(row: Row, name: str) -> bool:
    spec = row.value.get("spec")
    if not isinstance(spec, dict):
        return False
    return spec.get("workspace") == name or name in spec.get("workspaces", [])
