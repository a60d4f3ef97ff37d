"""Operations on the platform's transactional table, as data."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from lavenderway_core.ids import JobId, WorkspaceId

RowValue = dict[str, object]
ABSENT = 0  # version of a row that does not exist


class Row(NamedTuple):
    """A row as read, with the version that conditional writes name."""

    key: str
    version: int
    value: RowValue


class Condition(NamedTuple):
    """Requires a row to be at a version; `ABSENT` requires that there is none."""

    key: str
    version: int


class Write(NamedTuple):
    """Sets a row; a value of None deletes it.

    Attributes:
        ttl_s: Seconds after which the table may drop the row; None for never.

    """

    key: str
    value: RowValue | None
    ttl_s: int | None = None


class TransactOutcome(Enum):
    """How a transaction ended."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class Purpose(Enum):
    """What a table operation is for."""

    ALLOTMENTS = "allotments"
    RELEASE = "release"
    CONFIG_ITEMS = "config-items"
    CLAIM = "claim"
    CLAIM_RESULT = "claim-result"


class Ticket(NamedTuple):
    """Names a table operation, so that its answer finds the one who asked."""

    purpose: Purpose
    workspace: WorkspaceId | None = None
    job: JobId | None = None
