"""Encodes and decodes host records for the store and for messages between nodes."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Any

import orjson
from lavenderway_core.ids import FailureDomainId, HostId, ServiceId, UpstreamId

from lavenderway_relay.model import Address, HostRecord, Upstream, UpstreamStatus
from lavenderway_relay.revision import Revision, decode_revision, encode_revision

PORTS = range(1, 65536)
# Larger numbers cannot be passed on: JSON as written here has integers of 64 bits.
MAX_NUMBER = 2**53 - 1


class RecordFormatError(Exception):
    """A host record cannot be decoded."""


def parse_address(text: str) -> Address:
    """Parse an address of the form `ip:port`.

    Raises:
        ValueError: The text does not have this form.

    """
    ip, _, port = text.rpartition(":")
    try:
        address = Address(str(IPv4Address(ip)), int(port))
    except ValueError as error:
        raise ValueError(
            f"{text!r} is not an address; expected the form ip:port"
        ) from error
    if str(address) != text or address.port not in PORTS:
        raise ValueError(f"{text!r}: expected a port from 1 to 65535")
    return address


def encode_record(record: HostRecord) -> bytes:
    """Encode a record as JSON, with the era but without the version of its revision."""
    fields = _to_fields(record)
    if record.revision.era:
        fields["era"] = record.revision.era
    return orjson.dumps(fields)


def decode_record(value: bytes, version: int) -> HostRecord:
    """Decode a record.

    Args:
        value: The record as JSON.
        version: Version of the stored row.

    Raises:
        RecordFormatError: A field is missing or has the wrong type or value.

    """
    try:
        fields = orjson.loads(value)
        return _from_fields(fields, decode_revision([fields.get("era", 0), version]))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise RecordFormatError(
            f"invalid host record {value[:80]!r}: {error!r}"
        ) from error


def _to_fields(record: HostRecord) -> dict[str, Any]:
    upstream = record.upstream
    fields: dict[str, Any] = {
        "host": record.host,
        "address": str(record.address),
        "domain": record.failure_domain,
        "serving": record.serving,
        "started": record.started_ms,
    }
    if record.joined:
        fields["joined"] = True
    if upstream is not None:
        fields["upstream"] = {
            "id": upstream.id,
            "service": upstream.service,
            "address": str(upstream.address),
            "slots": upstream.slots,
            "status": upstream.status.value,
            "born": upstream.started_ms,
            "sequence": upstream.sequence,
        }
    return fields


def _from_fields(fields: dict[str, Any], revision: Revision) -> HostRecord:
    upstream = None
    if "upstream" in fields:
        upstream_fields = fields["upstream"]
        upstream = Upstream(
            id=UpstreamId(_require_str(upstream_fields, "id")),
            service=ServiceId(_require_str(upstream_fields, "service")),
            address=parse_address(_require_str(upstream_fields, "address")),
            slots=max(1, _require_number(upstream_fields, "slots")),
            status=UpstreamStatus(upstream_fields["status"]),
            started_ms=_require_number(upstream_fields, "born"),
            sequence=_require_number(upstream_fields, "sequence"),
        )
    return HostRecord(
        host=HostId(_require_str(fields, "host")),
        address=parse_address(_require_str(fields, "address")),
        failure_domain=FailureDomainId(_require_str(fields, "domain")),
        serving=_require_bool(fields, "serving"),
        upstream=upstream,
        started_ms=_require_number(fields, "started"),
        joined="joined" in fields and _require_bool(fields, "joined"),
        revision=revision,
    )


def _require_str(fields: dict[str, Any], key: str) -> str:
    value = fields[key]
    if not isinstance(value, str):
        raise TypeError(f"{key}: expected a string, got {value!r:.40}")
    return value


def _require_number(fields: dict[str, Any], key: str) -> int:
    value = fields[key]
    if (
        not isinstance(value, int)
        or isinstance(value, bool)
        or not 0 <= value <= MAX_NUMBER
    ):
        raise ValueError(
            f"{key}: expected an integer from 0 to {MAX_NUMBER}, got {value!r:.40}"
        )
    return value


def _require_bool(fields: dict[str, Any], key: str) -> bool:
    value = fields[key]
    if not isinstance(value, bool):
        raise TypeError(f"{key}: expected true or false, got {value!r:.40}")
    return value


def encode_records(records: list[HostRecord]) -> list[dict[str, Any]]:
    """Return records, with their revisions, as JSON-compatible values."""
    return [
        {**_to_fields(record), "revision": encode_revision(record.revision)}
        for record in records
    ]


def decode_records(values: list[dict[str, Any]]) -> list[HostRecord]:
    """Decode the records of a message, each of which includes its revision.

    Raises:
        RecordFormatError: A field of a record is missing or has the wrong type or
            value.

    """
    try:
        return [
            _from_fields(fields, decode_revision(fields["revision"]))
            for fields in values
        ]
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise RecordFormatError(f"invalid host record in message: {error!r}") from error
