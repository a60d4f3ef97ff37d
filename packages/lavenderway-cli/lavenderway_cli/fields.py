"""Parser of the `field=value` arguments that specify a resource."""

from __future__ import annotations

import json
from typing import NamedTuple

from returns.result import Failure, Result, Success

_LIST_FIELDS = frozenset({"workspaces", "methods"})
_STRING_FIELDS = frozenset({"workspace", "service", "path_prefix", "digest", "cut_off"})


class FieldError(NamedTuple):
    """Error for an argument that is not of the form `field=value`."""

    argument: str

    def __str__(self) -> str:
        """Return the error as a sentence."""
        return f"{self.argument!r} is not of the form field=value, as in rate=100."


def parse_fields(
    arguments: list[str],
) -> Result[dict[str, object], tuple[FieldError, ...]]:
    """Return the specification given by `field=value` arguments.

    Lists are written as `a,b,c`. A value of a field that is neither a list nor a string
    is parsed as JSON, such as `100` or `true`, and kept as a string if that fails.

    Returns:
        The specification, or an error for each malformed argument.

    """
    errors = tuple(
        FieldError(argument) for argument in arguments if "=" not in argument
    )
    if errors:
        return Failure(errors)
    pairs = (argument.split("=", 1) for argument in arguments)
    return Success({name: _parse_value(name, text) for name, text in pairs})


def _parse_value(name: str, text: str) -> object:
    if name in _LIST_FIELDS:
        return [part for part in text.split(",") if part]
    if name in _STRING_FIELDS:
        return text
    try:
        return json.loads(text)
    except ValueError:
        return text
