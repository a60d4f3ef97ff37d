"""Importance of a request, which decides the order of load shedding."""

from __future__ import annotations

from enum import IntEnum


class Importance(IntEnum):
    """Importance class; a lower number is shed later."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3

    @classmethod
    def parse(cls, text: str) -> Importance | None:
        """Return the class named by `text`, or None for an unknown name."""
        return _BY_NAME.get(text.strip().lower())

    @property
    def label(self) -> str:
        """Name used in resources, headers and metrics."""
        return self.name.lower()

    def lowered_to(self, other: Importance) -> Importance:
        """Return the less important of the two; importance never rises."""
        return max(self, other)


_BY_NAME = {member.name.lower(): member for member in Importance}
