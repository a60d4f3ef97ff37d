"""Positions in the history of the store, which may return from an older copy."""

from __future__ import annotations

from typing import NamedTuple


class Revision(NamedTuple):
    """Position in the history of the store, ordered by era and then by version.

    Attributes:
        era: Number of times that the store has returned from an older copy; it gives
            out the versions after that copy again.
        version: Version within the era.

    """

    era: int
    version: int


NO_REVISION = Revision(0, 0)  # before every change


def encode_revision(revision: Revision) -> int | list[int]:
    """Return a revision as a JSON-compatible value.

    In the first era it is the version alone, because each forwarded request carries a
    revision.
    """
    return list(revision) if revision.era else revision.version


def decode_revision(value: object) -> Revision:
    """Decode a revision from a JSON value.

    Raises:
        ValueError: The value is neither a version nor a list of an era and a version.

    """
    numbers = [0, value] if isinstance(value, int) else value
    if not isinstance(numbers, list) or len(numbers) != len(Revision._fields):
        raise ValueError(f"expected a version or [era, version], got {value!r:.40}")
    era, version = (_require_natural(number) for number in numbers)
    return Revision(era, version)


def _require_natural(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"expected a natural number, got {value!r:.40}")
    return value
