"""Client of the platform's transactional table.

An answer that is lost after the write took effect is settled by reading back: every
written value carries the id of its write, and no write is repeated unless it is known
that the first can no longer be told apart from the second.
"""

from __future__ import annotations

import asyncio
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
READ_BACK_PAUSE_S = 0.1
WRITE_FIELD = "write"


class TableError(NamedTuple):
    """Why the table could not be used."""

    problem: str


class Snapshot(NamedTuple):
    """Rows read at one revision of the table."""

    revision: int
    rows: tuple[Row, ...]


class Settled(NamedTuple):
    """How a transaction ended.

    Attributes:
        versions: After a commit, the versions of the written rows.
        rows: After a conflict, the present rows that the conditions name.

    """

    outcome: TransactOutcome
    versions: dict[str, int]
    rows: tuple[Row, ...]


class TableClient:
    """Reads and writes the platform's table.

    Args:
        url: Base URL of the service.
        timeout_s: Longest time of one call, in seconds.

    """

    def __init__(self, *, url: str, timeout_s: float) -> None:
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the client."""
        self._session = aiohttp.ClientSession(timeout=self._timeout)

    async def close(self) -> None:
        """Close the client."""
        if self._session is not None:
            await self._session.close()

    async def read(self, prefix: str, since: int = 0) -> Result[Snapshot, TableError]:
        """Read the rows under a prefix that have changed after revision `since`."""
        query = {"prefix": prefix, "since": str(since)}
        answer = await self._call("GET", "/v1/rows", params=query)
        match answer:
            case Success((200, {"revision": int(revision), "rows": list(rows)})):
                return Success(Snapshot(revision, _parse_rows(rows)))
            case Success((status, _)):
                return Failure(TableError(f"status {status}"))
        return Failure(answer.failure())

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Settled:
        """Write rows if all conditions hold; settle a lost answer by reading back."""
        marked = _mark(writes)
        answer = await self._send(conditions, marked)
        if answer.outcome is not TransactOutcome.UNKNOWN:
            return answer
        for attempt in range(READ_BACK_ATTEMPTS):
            await asyncio.sleep(READ_BACK_PAUSE_S * attempt)
            settled = await self._read_back(conditions, marked)
            if settled.outcome is not TransactOutcome.UNKNOWN:
                return settled
        return answer

    async def _send(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Settled:
        body = {
            "conditions": [list(each) for each in conditions],
            "writes": [list(each) for each in writes],
        }
        answer = await self._call("POST", "/v1/transactions", json=body)
        match answer:
            case Success((200, {"versions": dict(versions)})):
                return Settled(TransactOutcome.COMMITTED, versions, ())
            case Success((409, {"rows": list(rows)})):
                return Settled(TransactOutcome.CONFLICT, {}, _parse_rows(rows))
        return Settled(TransactOutcome.UNKNOWN, {}, ())

    async def _read_back(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Settled:
        """Find out whether a write whose answer was lost has taken effect."""
        unknown = Settled(TransactOutcome.UNKNOWN, {}, ())
        first = writes[0]
        answer = await self.read(first.key)
        if not isinstance(answer, Success):
            return unknown
        found = {row.key: row for row in answer.unwrap().rows}
        present = found.get(first.key)
        if _is_own_write(first, present):
            versions = {first.key: ABSENT if present is None else present.version}
            versions |= {each.key: versions[first.key] for each in writes}
            return Settled(TransactOutcome.COMMITTED, versions, ())
        wanted = next((c.version for c in conditions if c.key == first.key), None)
        if wanted == (ABSENT if present is None else present.version):
            return await self._send(conditions, writes)
        if present is None:
            return unknown
        return Settled(TransactOutcome.CONFLICT, {}, (present,))

    async def _call(
        self, method: str, path: str, **arguments: Any
    ) -> Result[tuple[int, Any], TableError]:
        if self._session is None:
            return Failure(TableError("the client is not open"))
        try:
            async with self._session.request(
                method, self._url + path, **arguments
            ) as response:
                return Success((response.status, await response.json()))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Failure(TableError(type(error).__name__))


def _mark(writes: Sequence[Write]) -> list[Write]:
    write_id = secrets.token_hex(8)
    marked = []
    for write in writes:
        value: RowValue | None = write.value
        if value is not None and WRITE_FIELD not in value:
            value = {**value, WRITE_FIELD: write_id}
        marked.append(write._replace(value=value))
    return marked


def _is_own_write(write: Write, present: Row | None) -> bool:
    if write.value is None or present is None:
        return write.value is None and present is None
    return present.value.get(WRITE_FIELD) == write.value.get(WRITE_FIELD)


def _parse_rows(rows: list[Any]) -> tuple[Row, ...]:
    return tuple(
        Row(row["key"], row["version"], row["value"])
        for row in rows
        if isinstance(row, dict) and isinstance(row.get("value"), dict)
    )
