"""Claims in the platform's table, by which a keyed request runs at most once."""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.refusal import Outcome, Reason, Refusal
from lavenderway_core.table import Row, RowValue

if TYPE_CHECKING:
    from lavenderway_core.identification import Call
    from lavenderway_core.ids import HostId, JobId

CLAIM_PREFIX = "claims/"
CLAIM_TTL_S = 24 * 3600
IN_PROGRESS_RETRY_AFTER_S = 1.0


class ClaimState(Enum):
    """State of a claimed request, as its row tells it."""

    STARTED = "started"
    DONE = "done"


class Claim(NamedTuple):
    """Row of a claimed request.

    Attributes:
        write: Id of the write that made the claim, to recognise one's own.
        answer: Answer of the first run, if it was small enough to keep.

    """

    state: ClaimState
    write: str
    fingerprint: str
    answer: RowValue | None

    def encode(self) -> RowValue:
        """Return the value to store."""
        return {
            "state": self.state.value,
            "write": self.write,
            "fingerprint": self.fingerprint,
            "answer": self.answer,
        }

    @classmethod
    def parse(cls, row: Row) -> Claim | None:
        """Return the claim in a row, None when malformed."""
        match row.value:
            case {
                "state": str(state),
                "write": str(write),
                "fingerprint": str(fingerprint),
                "answer": dict() | None as answer,
            } if state in {member.value for member in ClaimState}:
                return cls(ClaimState(state), write, fingerprint, answer)
        return None


def claim_row(call: Call) -> str | None:
    """Return the row that a call must claim, None without an idempotency key."""
    if call.idempotency_key is None:
        return None
    digest = hashlib.sha256(call.idempotency_key.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{call.workspace or '-'}/{call.route.name}/{digest}"


def write_id(job: JobId, host: HostId) -> str:
    """Return the id of the write by which `host` claims `job`."""
    return f"{host}:{job.origin}:{job.incarnation}:{job.exchange}:{job.attempt}"


def judge_taken(row: Row, fingerprint: str) -> RowValue | Refusal:
    """Return the kept answer of the first run, or why there is none."""
    claim = Claim.parse(row)
    if claim is None:
        return Refusal(Reason.CONFLICT, Outcome.UNKNOWN)
    if claim.fingerprint != fingerprint:
        return Refusal(Reason.KEY_REUSED, Outcome.NOT_RUN)
    if claim.state is ClaimState.DONE and claim.answer is not None:
        return claim.answer
    detail = "The first request with this key was started; its answer is not known."
    return Refusal(Reason.CONFLICT, Outcome.UNKNOWN, IN_PROGRESS_RETRY_AFTER_S, detail)
