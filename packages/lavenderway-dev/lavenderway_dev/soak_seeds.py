"""Seeds of former soak failures, which are run again as regression cases."""

from __future__ import annotations

from enum import Enum


class Cause(Enum):
    """Causes of former failures; the value describes the fault."""

    TAKEN_PORT = "a concurrent run took the port of a node that was restarting"
    UNBOUNDED_INTAKE = "a stopping node took requests until it exited, and dropped them"
    SLOW_READER = "the timeout for unacknowledged data reset a slow reader's connection"
    CANCELLED_ATTEMPT = (
        "an overdue attempt was cancelled although no other host had room"
    )
    PIPELINED_REFUSAL = (
        "a refusal that closed the connection cancelled requests in progress behind it"
    )
    RESTORED_STORE = "hosts lost their entries in a store with an older state"
    UNREAD_REQUEST = "an idle exit closed connections whose request was not yet read"
    LATE_EXIT = "a node that lacked processor time exited after its grace period"
    STOPPING_HOST = "the soak took a node that was still stopping for a recovered one"


# The first seed of a cause also runs in CI, except where CI cannot repeat it.
FAILED_SEEDS: dict[Cause, tuple[int, ...]] = {
    Cause.TAKEN_PORT: (106,),
    Cause.UNBOUNDED_INTAKE: (
        *(1, 5, 7, 9, 11, 13, 15, 17, 19, 21, 23, 25, 27, 29, 31, 33, 37),
        *(39, 41, 43, 47, 49, 51, 53, 55, 57, 59),
    ),
    Cause.SLOW_READER: (
        5,
        3,
        19,
        27,
        33,
        35,
        39,
        45,
    ),  # and all odd seeds of the other causes
    Cause.CANCELLED_ATTEMPT: (21, 5, 25, 37, 45),
    Cause.PIPELINED_REFUSAL: (13, 5, 11, 17, 29, 43, 59),
    Cause.RESTORED_STORE: (28, 50),
    Cause.UNREAD_REQUEST: (1, 21),
    Cause.LATE_EXIT: (27, 29, 13),
    Cause.STOPPING_HOST: (16, 15),
}


def list_failed_seeds() -> list[int]:
    """Return the seeds of all former failures in ascending order."""
    return sorted({seed for seeds in FAILED_SEEDS.values() for seed in seeds})
