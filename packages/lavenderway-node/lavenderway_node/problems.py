"""Encodes refusals as HTTP problem details (RFC 9457)."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.refusal import Reason

if TYPE_CHECKING:
    from lavenderway_core.refusal import Refusal

OUTCOME_HEADER = "Lavenderway-Outcome"
REQUEST_ID_HEADER = "Lavenderway-Request-Id"
PROBLEM_TYPE = "application/problem+json"


class Problem(NamedTuple):
    """HTTP response that reports a refusal."""

    status: int
    headers: dict[str, str]
    body: bytes


def build_problem(refusal: Refusal, root: str) -> Problem:
    """Build the HTTP response that refuses a request.

    Args:
        refusal: Reason and outcome of the refusal.
        root: ID of the root request.

    """
    headers = {
        "Content-Type": PROBLEM_TYPE,
        OUTCOME_HEADER: refusal.outcome.value,
        REQUEST_ID_HEADER: root,
    }
    document: dict[str, object] = {
        "type": f"urn:lavenderway:{refusal.reason.label}",
        "title": refusal.reason.title,
        "status": refusal.reason.status,
        "instance": f"urn:lavenderway:request:{root}",
    }
    if refusal.detail:
        document["detail"] = refusal.detail
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
        document["retry_after_ms"] = math.ceil(refusal.retry_after_s * 1000)
    if refusal.reason is Reason.NO_KEY:
        headers["WWW-Authenticate"] = "Bearer"
    return Problem(refusal.reason.status, headers, json.dumps(document).encode())
