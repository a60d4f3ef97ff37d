"""Settings of a node: a TOML file, checked as a whole."""

from __future__ import annotations

import ipaddress
import tomllib
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.ids import FailureDomainId, HostId
from lavenderway_core.validation import (
    Finding,
    Reader,
    bounded_int,
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
    """IP address and port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address as text."""
        return f"{self.ip}:{self.port}"


class Listeners(NamedTuple):
    """Addresses at which the node listens.

    Attributes:
        callers: For callers.
        peers: For other nodes; other nodes reach it at this very address.
        operators: For operators.
        upstreams: For announcements of the upstreams of this host.

    """

    callers: Address
    peers: Address
    operators: Address
    upstreams: Address


class Settings(NamedTuple):
    """Settings of a node.

    Attributes:
        fleet_secrets: Secrets accepted from peers; the first one is used.
        operator_secrets: Credentials of operators.
        platform: Base URL of the platform's table service.
        seeds: Addresses of peers to ask when the platform is away.
        statsd: Address of the metrics collector, if any.
        stop_timeout_s: Longest time of a planned stop, in seconds.

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
    """Read and check a settings file.

    Args:
        path: TOML file.

    Returns:
        The settings, or all findings with file and key path or line.

    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Failure((Finding(str(path), str(error.strerror), "a readable file"),))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Failure((Finding(str(path), str(error), "a TOML document"),))
    return _check(document, path)


def parse_address(value: object) -> Address | None:
    """Return the IP address and port in a text, None when malformed."""
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


def _check(
    document: Mapping[str, object], path: Path
) -> Result[Settings, tuple[Finding, ...]]:
    root = Reader(document=document, place="")
    sections = {
        name: Reader(document=_section(root, name), place=name)
        for name in ("listen", "platform", "secrets", "peers", "statsd", "limits")
    }
    settings = _read(root, sections, path.parent)
    root.finish()
    for section in sections.values():
        section.finish()
    readers = [root, *sections.values()]
    findings = [finding for reader in readers for finding in reader.findings]
    if findings:
        return Failure(
            tuple(each._replace(place=f"{path}: {each.place}") for each in findings)
        )
    return Success(settings)


def _section(root: Reader, name: str) -> Mapping[str, object]:
    empty: Mapping[str, object] = {}
    return root.take(
        name, lambda v: v if isinstance(v, dict) else None, "a table", empty
    )


def _read(root: Reader, sections: dict[str, Reader], folder: Path) -> Settings:
    limits = sections["limits"]
    number = "a number greater than 0"
    name = "1 to 63 of a-z, 0-9, '.', '_', '-'"
    return Settings(
        host=HostId(root.require("host", parse_name, name, "")),
        failure_domain=FailureDomainId(
            root.require("failure_domain", parse_name, name, "")
        ),
        listeners=_read_listeners(sections["listen"]),
        fleet_secrets=tuple(
            secret.encode() for secret in _read_secrets(sections, "fleet_file", folder)
        ),
        operator_secrets=_read_secrets(sections, "operator_file", folder),
        platform=sections["platform"].require(
            "url", _parse_url, "an http:// or https:// URL with an IP number", ""
        ),
        table_timeout_s=sections["platform"].take(
            "timeout_s", parse_positive, number, DEFAULT_TABLE_TIMEOUT_S
        ),
        seeds=_read_seeds(sections["peers"]),
        statsd=_read_statsd(sections["statsd"]),
        stop_timeout_s=limits.take(
            "stop_timeout_s", parse_positive, number, DEFAULT_STOP_TIMEOUT_S
        ),
        max_head_bytes=limits.take(
            "max_head_bytes",
            bounded_int(1024, 65536),
            "an integer from 1024 to 65536",
            DEFAULT_MAX_HEAD_BYTES,
        ),
    )


def _read_listeners(reader: Reader) -> Listeners:
    expected = "an IP address and port, as in 127.0.0.1:8080"
    nowhere = Address("127.0.0.1", 0)
    return Listeners(
        *(
            reader.require(name, parse_address, expected, nowhere)
            for name in Listeners._fields
        )
    )


def _read_secrets(
    sections: dict[str, Reader], key: str, folder: Path
) -> tuple[str, ...]:
    reader = sections["secrets"]
    name = reader.require(key, parse_text, "the path of a file", "")
    if not name:
        return ()
    expected = f"a readable file with one secret of {MIN_SECRET_CHARS} or more a line"
    try:
        lines = (folder / name).read_text(encoding="utf-8").split()
    except (OSError, UnicodeDecodeError):
        reader.report(key, f"{name!r} cannot be read", expected)
        return ()
    if not lines or any(len(line) < MIN_SECRET_CHARS for line in lines):
        reader.report(key, f"{name!r} holds no secret or a short one", expected)
    return tuple(lines)


def _read_seeds(reader: Reader) -> tuple[str, ...]:
    nobody: tuple[str, ...] = ()
    return reader.take(
        "seeds", _parse_seeds, "a list of IP addresses and ports", nobody
    )


def _read_statsd(reader: Reader) -> Address | None:
    expected = "an IP address and port, as in 127.0.0.1:8125"
    nowhere = Address("", 0)
    address = reader.take("address", parse_address, expected, nowhere)
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
