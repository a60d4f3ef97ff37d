"""CBOR codec for typed messages between nodes.

A message is an array of its tag and its fields. Decoding checks every field against
the annotation of the message's `NamedTuple`, so that a malformed message is an error
here and nowhere else.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

import cbor2
from lavenderway_core import messages
from returns.result import Failure, Result, Success

from lavenderway_node import frames

MAX_MESSAGE_BYTES = 1 << 20


class DecodeError(NamedTuple):
    """Why a message could not be decoded."""

    problem: str


class _MismatchError(Exception):
    """A field does not fit its annotation."""


Decoder = Callable[[Any], Any]

MESSAGE_TYPES: tuple[type, ...] = (
    frames.Hello,
    frames.Proof,
    frames.CallOpen,
    frames.CallBody,
    frames.CallCancel,
    frames.AnswerHead,
    frames.AnswerBody,
    frames.AnswerRefused,
    frames.AnswerAck,
    messages.GossipRequest,
    messages.GossipReply,
    messages.ConfigPush,
    messages.RecordPush,
    messages.TokenRequest,
    messages.TokenReply,
    messages.TokenReport,
    messages.AppliedReport,
    messages.StatusRequest,
    messages.StatusReply,
    frames.ExplainRequest,
    frames.ExplainReply,
)
_TAGS = {message_type: tag for tag, message_type in enumerate(MESSAGE_TYPES)}


def encode(message: tuple[Any, ...]) -> bytes:
    """Return the wire form of a message."""
    return cbor2.dumps([_TAGS[type(message)], *message], default=_encode_other)


def decode(data: bytes) -> Result[tuple[Any, ...], DecodeError]:
    """Return the message in `data`, or why there is none."""
    try:
        array = cbor2.loads(data)
        tag, *fields = array
        return Success(_DECODERS[tag](fields))
    except _MismatchError as error:
        return Failure(DecodeError(str(error)))
    except (cbor2.CBORDecodeError, TypeError, ValueError, IndexError) as error:
        return Failure(DecodeError(f"not a message: {type(error).__name__}"))


def _encode_other(encoder: cbor2.CBOREncoder, value: object) -> None:
    if not isinstance(value, Enum):
        raise TypeError(f"cannot encode {type(value).__name__}")
    encoder.encode(value.value)


def _decoder_for(hint: Any) -> Decoder:
    """Return the decoder for an annotation."""
    if hint in (int, str, bytes, bool):
        return _scalar(hint)
    if hint is float:
        return _decode_float
    if isinstance(hint, typing.NewType):
        return _decoder_for(hint.__supertype__)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _enum(hint)
    if isinstance(hint, type) and hasattr(hint, "_fields"):
        return _named_tuple(hint)
    return _generic(hint)


def _generic(hint: Any) -> Decoder:
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        rest = [each for each in arguments if each is not type(None)]
        return _optional(_decoder_for(rest[0]))
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _sequence(_decoder_for(arguments[0]))
    if origin is tuple:
        return _fixed([_decoder_for(each) for each in arguments])
    if origin is dict:
        return _decode_mapping
    raise TypeError(f"no decoder for {hint!r}")


def _scalar(kind: type) -> Decoder:
    def decode_scalar(value: Any) -> Any:
        if type(value) is not kind:
            raise _MismatchError(f"{type(value).__name__} instead of {kind.__name__}")
        return value

    return decode_scalar


def _decode_float(value: Any) -> float:
    if type(value) not in (float, int):
        raise _MismatchError(f"{type(value).__name__} instead of a number")
    return float(value)


def _enum(kind: type[Enum]) -> Decoder:
    members = {member.value: member for member in kind}

    def decode_enum(value: Any) -> Any:
        try:
            return members[value]
        except (KeyError, TypeError):
            raise _MismatchError(f"{value!r} is no {kind.__name__}") from None

    return decode_enum


def _optional(inner: Decoder) -> Decoder:
    def decode_optional(value: Any) -> Any:
        return None if value is None else inner(value)

    return decode_optional


def _sequence(inner: Decoder) -> Decoder:
    def decode_sequence(value: Any) -> Any:
        if type(value) is not list:
            raise _MismatchError(f"{type(value).__name__} instead of an array")
        return tuple([inner(item) for item in value])

    return decode_sequence


def _fixed(inner: list[Decoder]) -> Decoder:
    def decode_fixed(value: Any) -> Any:
        if type(value) is not list or len(value) != len(inner):
            raise _MismatchError(f"not an array of {len(inner)}")
        return tuple([each(item) for each, item in zip(inner, value, strict=True)])

    return decode_fixed


def _decode_mapping(value: Any) -> Any:
    if type(value) is not dict or not all(type(key) is str for key in value):
        raise _MismatchError(f"{type(value).__name__} instead of a map")
    return value


def _named_tuple(kind: Any) -> Decoder:
    hints = typing.get_type_hints(kind)
    inner = [_decoder_for(hints[name]) for name in kind._fields]
    size = len(inner)

    def decode_named_tuple(value: Any) -> Any:
        if type(value) is not list or len(value) != size:
            raise _MismatchError(f"not an array of {size} for {kind.__name__}")
        return kind._make([each(item) for each, item in zip(inner, value, strict=True)])

    return decode_named_tuple


_DECODERS = [_named_tuple(message_type) for message_type in MESSAGE_TYPES]
