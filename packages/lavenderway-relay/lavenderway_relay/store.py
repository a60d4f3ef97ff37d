"""Defines the interface to the platform's transactional table service, the store."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from lavenderway_relay.revision import Revision

ABSENT = 0  # version of a row that does not exist


class StoredRow(NamedTuple):
    """A row of a table; the value is None if the row was deleted."""

    key: str
    version: int
    value: bytes | None


class Snapshot(NamedTuple):
    """All rows of a table, or the rows changed after a given revision.

    Attributes:
        rows: Rows that could be decoded.
        revision: Revision up to which all changes are included; its era is the present
            one.
        errors: Error messages for rows that could not be decoded.
        complete: Whether the rows are those of the whole table.

    """

    rows: list[StoredRow]
    revision: Revision
    errors: list[str]
    complete: bool


class StoreUnavailableError(Exception):
    """The store refused the call or could not be reached, so nothing was done."""


class OutcomeUnknownError(Exception):
    """No usable response was received; a write may have been or may yet be applied."""


class HistoryLostError(Exception):
    """The store no longer holds the changes after the requested revision."""


class ConflictError(Exception):
    """A write expected another version than the row has.

    Args:
        row: The row as stored; None if it does not exist.
        era: The store's present era.

    """

    def __init__(self, row: StoredRow | None, era: int) -> None:
        super().__init__("the row does not have the expected version")
        self.row = row
        self.era = era


class Store(Protocol):
    """Client of the platform's table service.

    Every method raises `StoreUnavailableError` or `OutcomeUnknownError` if the store
    cannot be used.
    """

    async def read_table(self, table: str) -> Snapshot:
        """Return all rows of a table.

        Raises:
            HistoryLostError: The store returned from an older copy meanwhile.

        """

    async def follow(self, table: str, after: int, wait_s: float) -> Snapshot:
        """Return the rows that changed after a version, by long polling.

        The version must be of the present era, which the snapshot's revision tells.

        Args:
            table: Name of the table.
            after: Version after which changes are returned.
            wait_s: Longest time to wait for a change, in seconds.

        Raises:
            HistoryLostError: The changes are no longer held; read the whole table.

        """

    async def write(
        self, table: str, key: str, value: bytes, expected: int
    ) -> Revision:
        """Write a row if it has the expected version.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: New value of the row.
            expected: Version that the row must have; `ABSENT` to create it.

        Returns:
            The new version of the row, with the present era.

        Raises:
            ConflictError: The row does not have the expected version.

        """
