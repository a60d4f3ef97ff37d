"""Loads the settings of a node from a TOML file and reports all their errors."""

from __future__ import annotations

import ipaddress
import tomllib
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.ids import FailureDomainId, HostId
from lavenderway_core.validation import (
    FieldReader,
    Finding,
    build_int_parser,
    parse_name,
    parse_positive,
    parse_text,
)
from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

MIN_SECRET_CHARS = 32
DEFAULT_TABLE_TIMEOUT_S = 2.0
DEFAULT_STOP_TIMEOUT_S = 30.0
DEFAULT_MAX_HEAD_BYTES = 16384


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address in the form `ip:port`."""
        return f"{self.ip}:{self.port}"


class Listeners(NamedTuple):
    """Addresses on which the node listens.

    Attributes:
        callers: Requests of callers.
        peers: Links from other nodes; also the address advertised to them.
        operators: Resource API for operators.
        upstreams: Announcements of the upstreams of this host.

    """

    callers: Address
    peers: Address
    operators: Address
    upstreams: Address


class Settings(NamedTuple):
    """Validated settings of a node.

    Attributes:
        host: Name of the host on which the node runs.
        failure_domain: Failure domain of the host.
        listeners: Addresses on which the node listens.
        fleet_secrets: Secrets accepted from peers; the first one signs.
        operator_secrets: Accepted credentials of operators.
        platform: Base URL of the platform's table service.
        table_timeout_s: Timeout of one request to the table service, in seconds.
        seeds: Addresses of peers to join through; needed when the platform is
            unavailable.
        statsd: Address of the metrics collector, if any.
        stop_timeout_s: Maximum duration of a graceful shutdown, in seconds.
        max_head_bytes: Maximum size of a request line or header field, in bytes.

    """

    host: HostId
    failure_domain: FailureDomainId
    listeners: Listeners
    fleet_secrets: tuple[bytes, ...]
    operator_secrets: tuple[str, ...]
    platform: str
    table_timeout_s: float
    seeds: tuple[str, ...]
    statsd: Address | None
    stop_timeout_s: float
    max_head_bytes: int


def load_settings(path: Path) -> Result[Settings, tuple[Finding, ...]]:
    """Read and validate a settings file.

    Args:
        path: TOML file.

    Returns:
        The settings, or all findings, each with the file and the key path or line.

    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Failure((Finding(str(path), str(error.strerror), "a readable file"),))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Failure((Finding(str(path), str(error), "a TOML document"),))
    return _check_document(document, path)


def parse_address(value: object) -> Address | None:
    """Parse an IP address and port; return None if the value is malformed."""
    text = parse_text(value)
    if text is None:
        return None
    ip, _, port = text.rpartition(":")
    try:
        parsed = ipaddress.ip_address(ip.strip("[]"))
    except ValueError:
        return None
    if not port.isdecimal() or not 1 <= int(port) <= 65535:
        return None
    return Address(str(parsed), int(port))


def _check_document(
    document: Mapping[str, object], path: Path
) -> Result[Settings, tuple[Finding, ...]]:
    root = FieldReader(document=document, place="")
    sections = {
        name: FieldReader(document=_read_section(root, name), place=name)
        for name in ("listen", "platform", "secrets", "peers", "statsd", "limits")
    }
    settings = _read_settings(root, sections, path.parent)
    root.report_unknown_fields()
    for section in sections.values():
        section.report_unknown_fields()
    readers = [root, *sections.values()]
    findings = [finding for reader in readers for finding in reader.findings]
    if findings:
        return Failure(
            tuple(each._replace(place=f"{path}: {each.place}") for each in findings)
        )
    return Success(settings)


def _read_section(root: FieldReader, name: str) -> Mapping[str, object]:
    empty: Mapping[str, object] = {}
    return root.read_optional(
        name, lambda v: v if isinstance(v, dict) else None, "a table", empty
    )


def _read_settings(
    root: FieldReader, sections: dict[str, FieldReader], base_directory: Path
) -> Settings:
    limits = sections["limits"]
    positive_number = "a number greater than 0"
    name_format = "1 to 63 of a-z, 0-9, '.', '_', '-', starting with a letter or digit"
    return Settings(
        host=HostId(root.require("host", parse_name, name_format, "")),
        failure_domain=FailureDomainId(
            root.require("failure_domain", parse_name, name_format, "")
        ),
        listeners=_read_listeners(sections["listen"]),
        fleet_secrets=tuple(
            secret.encode()
            for secret in _read_secrets(sections, "fleet_file", base_directory)
        ),
        operator_secrets=_read_secrets(sections, "operator_file", base_directory),
        platform=sections["platform"].require(
            "url",
            _parse_url,
            "an http:// or https:// URL whose host is an IP address",
            "",
        ),
        table_timeout_s=sections["platform"].read_optional(
            "timeout_s", parse_positive, positive_number, DEFAULT_TABLE_TIMEOUT_S
        ),
        seeds=_read_seeds(sections["peers"]),
        statsd=_read_statsd(sections["statsd"]),
        stop_timeout_s=limits.read_optional(
            "stop_timeout_s", parse_positive, positive_number, DEFAULT_STOP_TIMEOUT_S
        ),
        max_head_bytes=limits.read_optional(
            "max_head_bytes",
            build_int_parser(1024, 65536),
            "an integer from 1024 to 65536",
            DEFAULT_MAX_HEAD_BYTES,
        ),
    )


def _read_listeners(reader: FieldReader) -> Listeners:
    expected = "an IP address and port, as in 127.0.0.1:8080"
    unset = Address("127.0.0.1", 0)
    return Listeners(
        *(
            reader.require(name, parse_address, expected, unset)
            for name in Listeners._fields
        )
    )


def _read_secrets(
    sections: dict[str, FieldReader], key: str, base_directory: Path
) -> tuple[str, ...]:
    reader = sections["secrets"]
    name = reader.require(key, parse_text, "the path of a file", "")
    if not name:
        return ()
    expected = (
        f"a file with one secret of at least {MIN_SECRET_CHARS} characters a line"
    )
    try:
        lines = (base_directory / name).read_text(encoding="utf-8").split()
    except (OSError, UnicodeDecodeError):
        reader.report(key, f"{name!r} cannot be read", expected)
        return ()
    if not lines or any(len(line) < MIN_SECRET_CHARS for line in lines):
        reader.report(key, f"{name!r} has no secret or one that is too short", expected)
    return tuple(lines)


def _read_seeds(reader: FieldReader) -> tuple[str, ...]:
    unset: tuple[str, ...] = ()
    return reader.read_optional(
        "seeds", _parse_seeds, "a list of IP addresses and ports", unset
    )


def _read_statsd(reader: FieldReader) -> Address | None:
    expected = "an IP address and port, as in 127.0.0.1:8125"
    unset = Address("", 0)
    address = reader.read_optional("address", parse_address, expected, unset)
    return address if address.port else None


def _parse_seeds(value: object) -> tuple[str, ...] | None:
    if not isinstance(value, list):
        return None
    parsed = [parse_address(item) for item in value]
    if any(address is None for address in parsed):
        return None
    return tuple(str(address) for address in parsed)


def _parse_url(value: object) -> str | None:
    text = parse_text(value)
    if text is None:
        return None
    scheme, _, rest = text.partition("://")
    if scheme not in ("http", "https"):
        return None
    address = rest.split("/", 1)[0]
    if parse_address(address) is None and parse_address(f"{address}:80") is None:
        return None
    return text.rstrip("/")
