"""Data types for operations on the platform's transactional key-value table."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from lavenderway_core.ids import JobId, WorkspaceId

RowValue = dict[str, object]
ABSENT = 0  # version of a row that does not exist


class Row(NamedTuple):
    """Row as read; a transaction can be made conditional on its version."""

    key: str
    version: int
    value: RowValue


class Condition(NamedTuple):
    """Condition that a row is at a version; `ABSENT` means that it does not exist."""

    key: str
    version: int


class Write(NamedTuple):
    """Write of a row in a transaction.

    Attributes:
        value: New value, or None to delete the row.
        ttl_s: Seconds after which the table may delete the row, or None for never.

    """

    key: str
    value: RowValue | None
    ttl_s: int | None = None


class TransactOutcome(Enum):
    """Outcome of a transaction; one that is `UNKNOWN` may have been committed."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class Purpose(Enum):
    """Purpose of a table operation, by which its result is dispatched."""

    ALLOTMENTS = "allotments"
    RELEASE = "release"
    CONFIG_ITEMS = "config-items"
    CLAIM = "claim"
    CLAIM_RESULT = "claim-result"


class OperationTag(NamedTuple):
    """Correlates the result of a table operation with its request."""

    purpose: Purpose
    workspace: WorkspaceId | None = None
    job: JobId | None = None
