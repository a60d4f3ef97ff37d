"""The header in which two nodes tell each other about a request and its answer.

It is compact, since bytes between failure domains are dear: fields of one letter,
`name=value`, separated by semicolons.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from lavenderway_core.ids import HostId, ServiceId, WorkspaceId

HOP_HEADER = b"lavenderway-hop"


class HopFormatError(Exception):
    """A hop header that cannot be read."""


class Hop(NamedTuple):
    """What the node of the caller tells the node beside the upstream.

    Attributes:
        sender: Host where the request began.
        service: Service that it goes to.
        caller_service: Service of the sender's host.
        workspace: Workspace of the caller, if it has one.
        position: Importance class plus a fraction in [0, 1).
        call: Whether it is a call of a request that is already running.
        repeat: Whether it may be a repeat of a run.
        idempotent: Whether it may run more than once.
        target_s: Time left until the answer is worth less, in seconds.
        deadline_s: Time left until nobody waits any more, in seconds.
        config: Version of the configuration of the sender.
        revision: Revision of the sender's roster.

    """

    sender: HostId
    service: ServiceId
    caller_service: ServiceId
    workspace: WorkspaceId | None
    position: float
    call: bool
    repeat: bool
    idempotent: bool
    target_s: float
    deadline_s: float
    config: int
    revision: int


class Outcome(Enum):
    """What became of a request at the node beside the upstream."""

    ANSWERED = "a"
    NO_ROOM = "r"
    ABSENT = "g"
    STOPPING = "s"
    REJECTED = "j"
    UNKNOWN = "u"

    @property
    def not_run(self) -> bool:
        """Whether the request has not run and never will."""
        return self not in (Outcome.ANSWERED, Outcome.UNKNOWN)


class HopAnswer(NamedTuple):
    """What the node beside the upstream tells with an answer.

    Attributes:
        outcome: What became of the request.
        arrived: Whether the upstream was sent the request.
        load: Running and waiting requests for each slot.
        mean_s: Mean time that a request holds a slot, in seconds.
        starved: Whether a call further down found no room.
        levels: Levels of the services that the request reached.
        calls: Calls that the request led to, by service.
        config: Version of the configuration of that node.
        revision: Revision of that node's roster.
        reported: False if the node told nothing, as it could not be reached.

    """

    outcome: Outcome
    arrived: bool
    load: float
    mean_s: float
    starved: bool
    levels: dict[ServiceId, float]
    calls: dict[ServiceId, float]
    config: int
    revision: int
    reported: bool = True


def encode_hop(hop: Hop) -> bytes:
    """Return the header's value for a request."""
    flags = (1 if hop.call else 0) | (2 if hop.repeat else 0)
    flags |= 4 if hop.idempotent else 0
    workspace = hop.workspace or ""
    text = (
        f"h={hop.sender};s={hop.service};c={hop.caller_service};w={workspace};"
        f"p={hop.position:.3f};f={flags};t={hop.target_s * 1e3:.0f};"
        f"d={hop.deadline_s * 1e3:.0f};v={hop.config};r={hop.revision}"
    )
    return text.encode()


def decode_hop(value: bytes) -> Hop:
    """Read the header of a request.

    Raises:
        HopFormatError: A field is missing or is no number.

    """
    fields = _split(value)
    try:
        flags = int(fields["f"])
        return Hop(
            HostId(fields["h"]),
            ServiceId(fields["s"]),
            ServiceId(fields["c"]),
            WorkspaceId(fields["w"]) if fields["w"] else None,
            float(fields["p"]),
            bool(flags & 1),
            bool(flags & 2),
            bool(flags & 4),
            float(fields["t"]) / 1e3,
            float(fields["d"]) / 1e3,
            int(fields["v"]),
            int(fields["r"]),
        )
    except (KeyError, ValueError) as error:
        raise HopFormatError(f"hop header {value!r}: {error}") from error


def encode_answer(answer: HopAnswer) -> bytes:
    """Return the header's value for an answer."""
    flags = (1 if answer.arrived else 0) | (2 if answer.starved else 0)
    text = (
        f"o={answer.outcome.value};f={flags};q={answer.load:.2f};"
        f"m={answer.mean_s * 1e3:.1f};v={answer.config};r={answer.revision}"
    )
    if answer.levels:
        pairs = (f"{name}:{level:.2f}" for name, level in answer.levels.items())
        text += ";l=" + ",".join(pairs)
    if answer.calls:
        pairs = (f"{name}:{count:g}" for name, count in answer.calls.items())
        text += ";k=" + ",".join(pairs)
    return text.encode()


def decode_answer(value: bytes) -> HopAnswer:
    """Read the header of an answer.

    Raises:
        HopFormatError: A field is missing or is no number.

    """
    fields = _split(value)
    try:
        flags = int(fields["f"])
        return HopAnswer(
            Outcome(fields["o"]),
            bool(flags & 1),
            float(fields["q"]),
            float(fields["m"]) / 1e3,
            bool(flags & 2),
            _pairs(fields.get("l", "")),
            _pairs(fields.get("k", "")),
            int(fields["v"]),
            int(fields["r"]),
        )
    except (KeyError, ValueError) as error:
        raise HopFormatError(f"hop header {value!r}: {error}") from error


def _split(value: bytes) -> dict[str, str]:
    pieces = value.decode("latin-1").split(";")
    return dict(piece.partition("=")[::2] for piece in pieces)


def _pairs(text: str) -> dict[ServiceId, float]:
    if not text:
        return {}
    pairs = (piece.rpartition(":") for piece in text.split(","))
    return {ServiceId(name): float(number) for name, _, number in pairs}
