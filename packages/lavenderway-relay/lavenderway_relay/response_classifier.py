"""Classifies responses of an upstream by their status and headers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_relay.header_names import HeaderNames
    from lavenderway_relay.messages import Response

MISDIRECTED_STATUS = 421
SUCCESS_STATUSES = range(200, 300)
# Statuses that assure a caller that its request did not run.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


class ResponseKind(Enum):
    """Classification of an upstream's response."""

    USABLE = "answer"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    UNUSABLE = "unusable"


def classify_response(
    response: Response, request_id: bytes, header_names: HeaderNames
) -> ResponseKind:
    """Classify a complete response of an upstream.

    A response that carries the ID of another request tells nothing of this one. A
    success must carry the upstream's signature and the ID of the request, and must not
    have a content encoding. A status that assures the caller that the request did
    not run is trusted only if the upstream marks the response accordingly; otherwise
    the outcome is unknown.
    """
    response_id = response.header(header_names.request_id)
    if response_id is not None and response_id != request_id:
        return ResponseKind.UNUSABLE
    if response.status == MISDIRECTED_STATUS:
        return ResponseKind.MISDIRECTED
    if response.header(header_names.not_executed) is not None:
        return ResponseKind.REJECTED
    if response.status in NOT_EXECUTED_STATUSES:
        return ResponseKind.UNUSABLE
    if response.status in SUCCESS_STATUSES:
        signed = response.header(header_names.signature) is not None
        encoded = response.header(b"content-encoding") is not None
        if not signed or response_id is None or encoded:
            return ResponseKind.UNUSABLE
    return ResponseKind.USABLE
