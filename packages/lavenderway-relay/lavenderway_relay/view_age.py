"""Tracks how long ago the node's views of shared state were confirmed as the newest.

A long poll that is pending looks the same whether nothing has changed or its response
was lost. Each view therefore has an age: the time since the newest moment at which it
is known to have been up to date. The store confirms a view by a response, and a peer
by the age of its own view. Ages are passed on instead of times, as clocks of hosts
differ.
"""

from __future__ import annotations

import math
from enum import Enum


class View(Enum):
    """State that a node copies from the store."""

    CONFIGURATION = "config"
    HOSTS = "hosts"


class ViewAges:
    """Ages of the views of one node."""

    def __init__(self) -> None:
        self._confirmed_at = dict.fromkeys(View, float("-inf"))
        self._suspended_until = float("-inf")

    def confirm(self, view: View, at: float) -> None:
        """Record that a view was the newest.

        Args:
            view: The confirmed view.
            at: A time not later than the confirmation was made, such as the time at
                which it was requested, in seconds.

        """
        if at >= self._suspended_until:
            self._confirmed_at[view] = max(at, self._confirmed_at[view])

    def suspend(self, until: float) -> None:
        """Ignore confirmations that were requested before a time, in seconds."""
        self._suspended_until = max(until, self._suspended_until)

    def confirmed_at(self, view: View) -> float:
        """Return when a view was last confirmed; minus infinity if never."""
        return self._confirmed_at[view]

    def age_s(self, view: View, now: float) -> float:
        """Return the age of a view, in seconds; infinite if never confirmed."""
        return now - self._confirmed_at[view]

    def oldest_s(self, now: float) -> float:
        """Return the age of the oldest view, in seconds."""
        return now - min(self._confirmed_at.values())


def encode_ages(ages: ViewAges, now: float) -> dict[str, int]:
    """Return the ages of the views that were ever confirmed, in milliseconds.

    Rounded up, as an age may be too high but not too low.
    """
    ages_s = {view: ages.age_s(view, now) for view in View}
    return {
        view.value: math.ceil(age_s * 1e3)
        for view, age_s in ages_s.items()
        if math.isfinite(age_s)
    }


def decode_ages(value: object) -> dict[View, float]:
    """Decode the ages in the reply of a peer, in seconds; a peer may send none.

    Raises:
        ValueError: An age is not a number of milliseconds from 0.

    """
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise ValueError(f"ages: expected an object, got {value!r:.40}")
    ages_s = {}
    for view in View:
        age_ms = value.get(view.value)
        if age_ms is None:
            continue
        if not isinstance(age_ms, int) or isinstance(age_ms, bool) or age_ms < 0:
            raise ValueError(f"ages.{view.value}: expected ms, got {age_ms!r:.40}")
        ages_s[view] = age_ms / 1e3
    return ages_s
