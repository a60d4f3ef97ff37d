"""Validation of resource documents, with a report of every error found."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Mapping
from typing import NamedTuple, TypeVar

from returns.result import Failure, Result, Success

from lavenderway_core.ids import KeyId, RouteId, ServiceId, UpstreamId, WorkspaceId
from lavenderway_core.importance import Importance
from lavenderway_core.resources import (
    CutOffPolicy,
    KeySpec,
    Kind,
    RouteSpec,
    Spec,
    UpstreamSpec,
    WorkspaceSpec,
)

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
HTTP_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
DEFAULT_TIMEOUT_MS = 10_000
MAX_TIMEOUT_MS = 600_000
DEFAULT_MAX_BODY_BYTES = 1 << 20
MAX_BODY_BYTES = 64 << 20
DEFAULT_CUT_OFF_AFTER_S = 60.0

T = TypeVar("T")


class Finding(NamedTuple):
    """Error found in a document.

    Attributes:
        place: Key path of the field, such as `spec.rate`.
        problem: Description of the error.
        expected: Description of a valid value.

    """

    place: str
    problem: str
    expected: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f"{self.place}: {self.problem}; expected {self.expected}"


class FieldReader:
    """Reads and checks the fields of a document, and collects findings.

    Args:
        document: Mapping to read.
        place: Key path of the mapping, used in findings.

    """

    def __init__(self, *, document: Mapping[str, object], place: str) -> None:
        self.findings: list[Finding] = []
        self._document = document
        self._place = place
        self._read_keys: set[str] = set()

    def report(self, key: str, problem: str, expected: str) -> None:
        """Add a finding for the field `key`."""
        place = f"{self._place}.{key}" if self._place else key
        self.findings.append(Finding(place, problem, expected))

    def read_optional(
        self, key: str, parse: Callable[[object], T | None], expected: str, default: T
    ) -> T:
        """Return the parsed value of an optional field.

        Args:
            key: Name of the field.
            parse: Function that returns the value, or None if it is invalid.
            expected: Description of a valid value, used in findings.
            default: Value to return if the field is absent or invalid.

        """
        self._read_keys.add(key)
        if key not in self._document:
            return default
        value = self._document[key]
        parsed = parse(value)
        if parsed is None:
            self.report(key, f"{value!r} is not valid", expected)
            return default
        return parsed

    def require(
        self, key: str, parse: Callable[[object], T | None], expected: str, default: T
    ) -> T:
        """Return the parsed value of a required field; report it if it is absent."""
        if key not in self._document:
            self._read_keys.add(key)
            self.report(key, "is missing", expected)
            return default
        return self.read_optional(key, parse, expected, default)

    def report_unknown_fields(self) -> None:
        """Report the fields that have not been read as unknown."""
        known = ", ".join(sorted(self._read_keys))
        for key in self._document:
            if key not in self._read_keys:
                self.report(key, "is not a known field", f"one of {known}")


def parse_text(value: object) -> str | None:
    """Return `value` if it is a non-empty string, else None."""
    return value if isinstance(value, str) and value else None


def parse_bool(value: object) -> bool | None:
    """Return `value` if it is a boolean, else None."""
    return value if isinstance(value, bool) else None


def parse_name(value: object) -> str | None:
    """Return `value` if it is a valid resource name, else None."""
    text = parse_text(value)
    return text if text and NAME_PATTERN.fullmatch(text) else None


def parse_positive(value: object) -> float | None:
    """Return `value` as a float if it is finite and positive, else None."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    number = float(value)
    return number if math.isfinite(number) and number > 0 else None


def build_int_parser(low: int, high: int) -> Callable[[object], int | None]:
    """Return a parser that accepts integers from `low` to `high`, both included."""

    def parse(value: object) -> int | None:
        if isinstance(value, bool) or not isinstance(value, int):
            return None
        return value if low <= value <= high else None

    return parse


def parse_importance(value: object) -> Importance | None:
    """Return the importance named by `value`, or None if there is none."""
    return Importance.parse(value) if isinstance(value, str) else None


def parse_cut_off(value: object) -> CutOffPolicy | None:
    """Return the cut-off policy named by `value`, or None if there is none."""
    return next((policy for policy in CutOffPolicy if policy.value == value), None)


def parse_path_prefix(value: object) -> str | None:
    """Return `value` if it is a path that starts with a slash, else None.

    Paths with a query, a fragment, spaces or empty segments are invalid.
    """
    text = parse_text(value)
    if text is None or not text.startswith("/"):
        return None
    return None if set(text) & set("?# ") or "//" in text else text


def _parse_set(value: object, allowed: Callable[[str], bool]) -> frozenset[str] | None:
    if not isinstance(value, list):
        return None
    if not all(isinstance(item, str) and allowed(item) for item in value):
        return None
    return frozenset(value)


def parse_names(value: object) -> frozenset[str] | None:
    """Return a list of resource names as a set, or None if `value` is not one."""
    return _parse_set(value, lambda item: NAME_PATTERN.fullmatch(item) is not None)


def parse_methods(value: object) -> frozenset[str] | None:
    """Return a list of HTTP methods as a set, or None if `value` is not one."""
    return _parse_set(value, lambda item: item in HTTP_METHODS)


def parse_digest(value: object) -> str | None:
    """Return `value` if it is a SHA-256 digest in lower-case hexadecimal, else None."""
    text = parse_text(value)
    return text if text and DIGEST_PATTERN.fullmatch(text) else None


Parser = Callable[[str, FieldReader], Spec]
_PARSERS: dict[Kind, Parser] = {}


def registers_parser(kind: Kind) -> Callable[[Parser], Parser]:
    """Return a decorator that registers the parser of specifications of `kind`."""

    def register(parser: Parser) -> Parser:
        _PARSERS[kind] = parser
        return parser

    return register


@registers_parser(Kind.WORKSPACE)
def parse_workspace(name: str, reader: FieldReader) -> WorkspaceSpec:
    """Parse the specification of a workspace."""
    number = "a number greater than 0"
    return WorkspaceSpec(
        name=WorkspaceId(name),
        rate_per_s=reader.require("rate", parse_positive, number, 1.0),
        burst=reader.require("burst", parse_positive, number, 1.0),
        weight=reader.read_optional("weight", parse_positive, number, 1.0),
        cut_off=reader.read_optional(
            "cut_off", parse_cut_off, "'serve' or 'refuse'", CutOffPolicy.SERVE
        ),
        cut_off_after_s=reader.read_optional(
            "cut_off_after_s", parse_positive, number, DEFAULT_CUT_OFF_AFTER_S
        ),
    )


@registers_parser(Kind.KEY)
def parse_key(name: str, reader: FieldReader) -> KeySpec:
    """Parse the specification of a key."""
    return KeySpec(
        name=KeyId(name),
        workspace=WorkspaceId(
            reader.require("workspace", parse_name, "the name of a workspace", "")
        ),
        digest=reader.require("digest", parse_digest, "64 hexadecimal digits", ""),
    )


@registers_parser(Kind.ROUTE)
def parse_route(name: str, reader: FieldReader) -> RouteSpec:
    """Parse the specification of a route."""
    importances = ", ".join(member.label for member in Importance)
    prefix = "a path that starts with '/', without query"
    unrestricted: frozenset[str] = frozenset()
    workspaces = reader.read_optional(
        "workspaces", parse_names, "a list of workspace names", unrestricted
    )
    return RouteSpec(
        name=RouteId(name),
        path_prefix=reader.require("path_prefix", parse_path_prefix, prefix, "/"),
        service=ServiceId(
            reader.require("service", parse_name, "the name of a service", "")
        ),
        idempotent=reader.require("idempotent", parse_bool, "true or false", False),
        importance=reader.read_optional(
            "importance", parse_importance, f"one of {importances}", Importance.NORMAL
        ),
        open_to_all=reader.read_optional(
            "open_to_all", parse_bool, "true or false", False
        ),
        workspaces=frozenset(WorkspaceId(name) for name in workspaces),
        methods=reader.read_optional(
            "methods",
            parse_methods,
            f"a list of {', '.join(sorted(HTTP_METHODS))}",
            unrestricted,
        ),
        timeout_ms=reader.read_optional(
            "timeout_ms",
            build_int_parser(1, MAX_TIMEOUT_MS),
            f"an integer from 1 to {MAX_TIMEOUT_MS}",
            DEFAULT_TIMEOUT_MS,
        ),
        max_body_bytes=reader.read_optional(
            "max_body_bytes",
            build_int_parser(0, MAX_BODY_BYTES),
            f"an integer from 0 to {MAX_BODY_BYTES}",
            DEFAULT_MAX_BODY_BYTES,
        ),
    )


@registers_parser(Kind.UPSTREAM)
def parse_upstream(name: str, reader: FieldReader) -> UpstreamSpec:
    """Parse the operator's setting for an upstream."""
    drain = reader.require("drain", parse_bool, "true or false", False)
    return UpstreamSpec(name=UpstreamId(name), drain=drain)


def check_spec(
    kind: Kind, name: str, document: object
) -> Result[Spec, tuple[Finding, ...]]:
    """Validate the document of a resource.

    Args:
        kind: Kind of the resource.
        name: Name of the resource.
        document: Decoded specification to validate.

    Returns:
        The specification, or all findings if the document or the name is invalid.

    """
    if not isinstance(document, Mapping):
        return Failure((Finding("spec", "is not a mapping", "a mapping of fields"),))
    reader = FieldReader(document=document, place="spec")
    if parse_name(name) is None:
        expected = "1 to 63 of a-z, 0-9, '.', '_', '-', starting with a letter or digit"
        reader.findings.append(Finding("name", f"{name!r} is not valid", expected))
    spec = _PARSERS[kind](name, reader)
    reader.report_unknown_fields()
    if reader.findings:
        return Failure(tuple(reader.findings))
    return Success(spec)
