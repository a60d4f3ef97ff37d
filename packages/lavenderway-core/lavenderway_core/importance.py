"""Importance classes of requests, which determine the order of load shedding."""

from __future__ import annotations

from enum import IntEnum


class Importance(IntEnum):
    """Importance class of a request; classes with higher numbers are shed first."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3

    @classmethod
    def parse(cls, text: str) -> Importance | None:
        """Return the class named by `text`, ignoring case, or None if unknown."""
        return _BY_NAME.get(text.strip().lower())

    @property
    def label(self) -> str:
        """Name in resources, headers and metrics."""
        return self.name.lower()

    def lowered_to(self, other: Importance) -> Importance:
        """Return the less important of the two classes.

        Importance is only ever lowered along the call graph.
        """
        return max(self, other)


_BY_NAME = {member.name.lower(): member for member in Importance}
