"""Defines the interface to the platform's transactional table service, the store."""

from __future__ import annotations

from typing import NamedTuple, Protocol

ABSENT = 0  # revision of a row that does not exist


class StoredRow(NamedTuple):
    """A row of a table; the value is None if the row was deleted."""

    key: str
    revision: int
    value: bytes | None


class Snapshot(NamedTuple):
    """All rows of a table, or the rows changed after a given revision.

    Attributes:
        rows: Rows that could be decoded.
        revision: Revision up to which all changes are included.
        errors: Error messages for rows that could not be decoded.

    """

    rows: list[StoredRow]
    revision: int
    errors: list[str]


class StoreUnavailableError(Exception):
    """The store refused the call or could not be reached, so nothing was done."""


class OutcomeUnknownError(Exception):
    """No usable response was received; a write may have been or may yet be applied."""


class HistoryLostError(Exception):
    """The store no longer holds the changes after the requested revision."""


class ConflictError(Exception):
    """A write expected another revision than the row has.

    Args:
        row: The row as stored; None if it does not exist.

    """

    def __init__(self, row: StoredRow | None) -> None:
        super().__init__("the row does not have the expected revision")
        self.row = row


class Store(Protocol):
    """Client of the platform's table service.

    Every method raises `StoreUnavailableError` or `OutcomeUnknownError` if the store
    cannot be used.
    """

    async def read_table(self, table: str) -> Snapshot:
        """Return all rows of a table."""

    async def follow(self, table: str, after: int, wait_s: float) -> Snapshot:
        """Return the rows that changed after a revision, by long polling.

        Args:
            table: Name of the table.
            after: Revision after which changes are returned.
            wait_s: Longest time to wait for a change, in seconds.

        Raises:
            HistoryLostError: The changes are no longer held; read the whole table.

        """

    async def write(self, table: str, key: str, value: bytes, expected: int) -> int:
        """Write a row if it has the expected revision.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: New value of the row.
            expected: Revision that the row must have; `ABSENT` to create it.

        Returns:
            The new revision of the row.

        Raises:
            ConflictError: The row does not have the expected revision.

        """
