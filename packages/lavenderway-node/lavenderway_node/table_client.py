"""Client of the platform's transactional table.

When the response to a write is lost, the client reads the row back: every written
value carries the ID of its write, which shows whether the write took effect. A write
is sent again only if the row still has the version that its condition requires; the
repetition has the same ID and conditions, so at most one of the two takes effect.
"""

from __future__ import annotations

import asyncio
import json
import secrets
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
from lavenderway_core.table import (
    ABSENT,
    Condition,
    Row,
    RowValue,
    TransactOutcome,
    Write,
)
from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import Sequence

READ_BACK_ATTEMPTS = 3
READ_BACK_BACKOFF_S = 0.1
MAX_RESPONSE_BYTES = 16_777_216  # decoding takes many times its size in memory
WRITE_ID_FIELD = "write"


class TableError(NamedTuple):
    """Description of why a request to the table failed."""

    problem: str


class Snapshot(NamedTuple):
    """Rows read at one revision of the table."""

    revision: int
    rows: tuple[Row, ...]


class TransactionResult(NamedTuple):
    """Result of a transaction.

    Attributes:
        versions: After a commit, the versions of the written rows by key.
        rows: After a conflict, the current rows to which the conditions refer.

    """

    outcome: TransactOutcome
    versions: dict[str, int]
    rows: tuple[Row, ...]


class TableClient:
    """Reads and writes the platform's table.

    Args:
        url: Base URL of the table service.
        timeout_s: Timeout of one HTTP request, in seconds.

    """

    def __init__(self, *, url: str, timeout_s: float) -> None:
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(timeout=self._timeout)

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def read(
        self, prefix: str, since_revision: int = 0
    ) -> Result[Snapshot, TableError]:
        """Read the rows under a key prefix that changed after a revision."""
        query = {"prefix": prefix, "since": str(since_revision)}
        response = await self._send_request("GET", "/v1/rows", params=query)
        match response:
            case Success((200, {"revision": int(revision), "rows": list(rows)})):
                return Success(Snapshot(revision, _parse_rows(rows)))
            case Success((status, _)):
                return Failure(TableError(f"unexpected response with status {status}"))
        return Failure(response.failure())

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactionResult:
        """Write rows in one transaction if all conditions hold.

        If the response is lost, the outcome is determined by reading back; it is
        unknown only if that fails as well.
        """
        tagged_writes = _add_write_ids(writes)
        response = await self._post_transaction(conditions, tagged_writes)
        if response.outcome is not TransactOutcome.UNKNOWN:
            return response
        for attempt in range(READ_BACK_ATTEMPTS):
            await asyncio.sleep(READ_BACK_BACKOFF_S * attempt)
            result = await self._read_back(conditions, tagged_writes)
            if result.outcome is not TransactOutcome.UNKNOWN:
                return result
        return response

    async def _post_transaction(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactionResult:
        body = {
            "conditions": [list(each) for each in conditions],
            "writes": [list(each) for each in writes],
        }
        response = await self._send_request("POST", "/v1/transactions", json=body)
        match response:
            case Success((200, {"versions": dict(versions)})):
                return TransactionResult(TransactOutcome.COMMITTED, versions, ())
            case Success((409, {"rows": list(rows)})):
                return TransactionResult(
                    TransactOutcome.CONFLICT, {}, _parse_rows(rows)
                )
        return TransactionResult(TransactOutcome.UNKNOWN, {}, ())

    async def _read_back(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactionResult:
        """Determine whether a write whose response was lost has taken effect."""
        unknown = TransactionResult(TransactOutcome.UNKNOWN, {}, ())
        first = writes[0]
        response = await self.read(first.key)
        if not isinstance(response, Success):
            return unknown
        found = {row.key: row for row in response.unwrap().rows}
        current = found.get(first.key)
        if _is_own_write(first, current):
            versions = {first.key: ABSENT if current is None else current.version}
            versions |= {each.key: versions[first.key] for each in writes}
            return TransactionResult(TransactOutcome.COMMITTED, versions, ())
        expected_version = next(
            (c.version for c in conditions if c.key == first.key), None
        )
        if expected_version == (ABSENT if current is None else current.version):
            return await self._post_transaction(conditions, writes)
        if current is None:
            return unknown
        return TransactionResult(TransactOutcome.CONFLICT, {}, (current,))

    async def _send_request(
        self, method: str, path: str, **arguments: Any
    ) -> Result[tuple[int, Any], TableError]:
        if self._session is None:
            return Failure(TableError("the HTTP session is not open"))
        try:
            async with self._session.request(
                method, self._url + path, **arguments
            ) as response:
                return Success(
                    (response.status, json.loads(await _read_body(response)))
                )
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Failure(TableError(type(error).__name__))


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of a response.

    Raises:
        aiohttp.ClientPayloadError: The body exceeds `MAX_RESPONSE_BYTES`.

    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > MAX_RESPONSE_BYTES:
            raise aiohttp.ClientPayloadError("response body exceeds the size limit")
    return bytes(body)


def _add_write_ids(writes: Sequence[Write]) -> list[Write]:
    write_id = secrets.token_hex(8)
    tagged_writes = []
    for write in writes:
        value: RowValue | None = write.value
        if value is not None and WRITE_ID_FIELD not in value:
            value = {**value, WRITE_ID_FIELD: write_id}
        tagged_writes.append(write._replace(value=value))
    return tagged_writes


def _is_own_write(write: Write, current: Row | None) -> bool:
    if write.value is None or current is None:
        return write.value is None and current is None
    return current.value.get(WRITE_ID_FIELD) == write.value.get(WRITE_ID_FIELD)


def _parse_rows(rows: list[Any]) -> tuple[Row, ...]:
    return tuple(
        Row(row["key"], row["version"], row["value"])
        for row in rows
        if isinstance(row, dict) and isinstance(row.get("value"), dict)
    )
