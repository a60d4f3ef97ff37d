"""Refusals: error responses that a node gives in place of an upstream's response."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """Whether a refused request may have been executed."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Reason for a refusal, with its label, HTTP status and title.

    Labels appear in problem types, logs and metrics.
    """

    NO_KEY = ("no-key", 401, "A valid key is required")
    KEY_UNCONFIRMED = ("key-unconfirmed", 503, "The key cannot be confirmed here")
    WRONG_WORKSPACE = ("wrong-workspace", 403, "The route is not of this workspace")
    NO_ROUTE = ("no-route", 404, "No route matches the path")
    METHOD = ("method-not-allowed", 405, "The method is not allowed on this route")
    BAD_REQUEST = ("bad-request", 400, "The request is malformed")
    CONFLICT = ("in-progress", 409, "A request with this idempotency key was started")
    TOO_LARGE = ("too-large", 413, "The body is over the limit of the route")
    HEAD_TOO_LARGE = ("head-too-large", 431, "The head is over the limit")
    KEY_REUSED = ("key-reused", 422, "The idempotency key came with another request")
    OVER_RATE = ("over-rate", 429, "The workspace is over its rate")
    SHED = ("shed", 503, "The service is overloaded")
    DRAINING = ("draining", 503, "The host is draining")
    NO_UPSTREAM = ("no-upstream", 503, "No upstream of the service is available")
    UNCONFIGURED = ("unconfigured", 503, "The node has no configuration yet")
    TABLE_UNAVAILABLE = (
        "table-unavailable",
        503,
        "The platform's table is unavailable",
    )
    LINK_LOST = ("link-lost", 503, "The connection was lost after the hand-over")
    DEADLINE = ("deadline", 504, "The deadline passed")

    def __init__(self, label: str, status: int, title: str) -> None:
        self.label = label
        self.status = status
        self.title = title


class Refusal(NamedTuple):
    """Refusal of one request.

    Attributes:
        reason: Reason for the refusal.
        outcome: Whether the request may have been executed.
        retry_after_s: Seconds after which a retry may succeed; None if no retry can.
        detail: Explanation for the caller; empty if the title suffices.

    """

    reason: Reason
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None
    detail: str = ""


REASONS_BY_LABEL = {reason.label: reason for reason in Reason}
