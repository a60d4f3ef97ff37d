"""At-most-once execution of requests with an idempotency key.

A request is claimed by a conditional write of a row in the platform's table before it
runs, and its response is stored with the claim.
"""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.refusal import Outcome, Reason, Refusal
from lavenderway_core.table import Row, RowValue

if TYPE_CHECKING:
    from lavenderway_core.identification import Call
    from lavenderway_core.ids import HostId, JobId

CLAIM_KEY_PREFIX = "claims/"
CLAIM_TTL_S = 24 * 3600
IN_PROGRESS_RETRY_AFTER_S = 1.0


class ClaimState(Enum):
    """State of a claimed request, as stored in its row."""

    STARTED = "started"
    DONE = "done"


class Claim(NamedTuple):
    """Content of the row of a claimed request.

    Attributes:
        write_id: ID of the write that made the claim. By it a node recognizes its own
            write if the table's response was lost.
        fingerprint: Digest of the request, to detect reuse of the key.
        response: Response of the first execution, or None if it is not known yet or
            was too large to store.

    """

    state: ClaimState
    write_id: str
    fingerprint: str
    response: RowValue | None

    def encode(self) -> RowValue:
        """Return the value to store in the table."""
        return {
            "state": self.state.value,
            "write": self.write_id,
            "fingerprint": self.fingerprint,
            "answer": self.response,
        }

    @classmethod
    def parse(cls, row: Row) -> Claim | None:
        """Return the claim stored in a row, or None if it is malformed."""
        match row.value:
            case {
                "state": str(state),
                "write": str(write_id),
                "fingerprint": str(fingerprint),
                "answer": dict() | None as response,
            } if state in {member.value for member in ClaimState}:
                return cls(ClaimState(state), write_id, fingerprint, response)
        return None


def claim_row_key(call: Call) -> str | None:
    """Return the key of the row that must be claimed before a call runs.

    Returns None if the call has no idempotency key.
    """
    if call.idempotency_key is None:
        return None
    digest = hashlib.sha256(call.idempotency_key.encode()).hexdigest()
    return f"{CLAIM_KEY_PREFIX}{call.workspace or '-'}/{call.route.name}/{digest}"


def build_write_id(job: JobId, host: HostId) -> str:
    """Return the ID of the write by which `host` claims `job`."""
    return f"{host}:{job.origin}:{job.incarnation}:{job.exchange}:{job.attempt}"


def resolve_existing_claim(row: Row, fingerprint: str) -> RowValue | Refusal:
    """Return the stored response of an earlier execution, or a refusal.

    Args:
        row_key: Row of the existing claim.
        fingerprint: Digest of the current request.

    """
    claim = Claim.parse(row)
    if claim is None:
        return Refusal(Reason.CONFLICT, Outcome.UNKNOWN)
    if claim.fingerprint != fingerprint:
        return Refusal(Reason.KEY_REUSED, Outcome.NOT_RUN)
    if claim.state is ClaimState.DONE and claim.response is not None:
        return claim.response
    detail = "The first request with this key was started; its answer is not known."
    return Refusal(Reason.CONFLICT, Outcome.UNKNOWN, IN_PROGRESS_RETRY_AFTER_S, detail)
