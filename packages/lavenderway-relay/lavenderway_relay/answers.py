"""Judges what an upstream sent: an answer, a refusal, or nothing to rely on."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_relay.dialect import Dialect
    from lavenderway_relay.messages import Response

MISDIRECTED = 421
SUCCESS = range(200, 300)
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})  # to a caller, of any answer


class Finding(Enum):
    """What a response of an upstream amounts to."""

    ANSWER = "answer"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    UNUSABLE = "unusable"


def judge_response(response: Response, request_id: bytes, dialect: Dialect) -> Finding:
    """Return what a whole response amounts to.

    A success must bear the upstream's signature and the request's id. A status that
    promises that the request has not run is passed on only with the upstream's word
    for it; without that word the outcome is unknown.
    """
    if response.status == MISDIRECTED:
        return Finding.MISDIRECTED
    if response.header(dialect.not_executed) is not None:
        return Finding.REJECTED
    if response.status in PROMISES_NOT_RUN:
        return Finding.UNUSABLE
    if response.status in SUCCESS:
        signed = response.header(dialect.signature) is not None
        own = response.header(dialect.request_id) == request_id
        encoded = response.header(b"content-encoding") is not None
        if not signed or not own or encoded:
            return Finding.UNUSABLE
    return Finding.ANSWER
