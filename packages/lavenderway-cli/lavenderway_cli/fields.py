"""Reads `field=value` arguments into a specification."""

from __future__ import annotations

import json
from typing import NamedTuple

from returns.result import Failure, Result, Success

_LISTS = frozenset({"workspaces", "methods"})
_TEXTS = frozenset({"workspace", "service", "path_prefix", "digest", "cut_off"})


class FieldError(NamedTuple):
    """An argument that is not `field=value`."""

    argument: str

    def __str__(self) -> str:
        """Return the error as a sentence."""
        return f"{self.argument!r} is not of the form field=value, as in rate=100."


def parse_fields(
    arguments: list[str],
) -> Result[dict[str, object], tuple[FieldError, ...]]:
    """Return the specification that `field=value` arguments describe.

    Numbers, `true` and `false` are read as such, lists are written `a,b,c`.
    """
    wrong = tuple(FieldError(each) for each in arguments if "=" not in each)
    if wrong:
        return Failure(wrong)
    pairs = (each.split("=", 1) for each in arguments)
    return Success({name: _parse_value(name, text) for name, text in pairs})


def _parse_value(name: str, text: str) -> object:
    if name in _LISTS:
        return [part for part in text.split(",") if part]
    if name in _TEXTS:
        return text
    try:
        return json.loads(text)
    except ValueError:
        return text
