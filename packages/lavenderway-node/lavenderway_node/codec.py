"""CBOR codec for the typed messages between nodes.

A message is encoded as an array of its tag and its fields. Decoding checks every field
against the annotations of the message's `NamedTuple`, so that the handlers of messages
need no checks of their own.
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
    """Description of why a message could not be decoded."""

    problem: str


class _FieldError(Exception):
    """A value does not match the annotation of its field."""


Decoder = Callable[[Any], Any]

MESSAGE_TYPES: tuple[type, ...] = (
    frames.Hello,
    frames.Proof,
    frames.AttemptOpen,
    frames.AttemptBody,
    frames.AttemptCancel,
    frames.ResponseHead,
    frames.ResponseBody,
    frames.ResponseRefused,
    frames.ResponseAck,
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
    """Encode a message as CBOR."""
    return cbor2.dumps([_TAGS[type(message)], *message], default=_encode_enum)


def decode(data: bytes) -> Result[tuple[Any, ...], DecodeError]:
    """Decode and validate a message; return the reason if it is malformed."""
    try:
        array = cbor2.loads(data)
        tag, *fields = array
        return Success(_DECODERS[tag](fields))
    except _FieldError as error:
        return Failure(DecodeError(str(error)))
    except (cbor2.CBORDecodeError, TypeError, ValueError, IndexError) as error:
        return Failure(DecodeError(f"malformed message: {type(error).__name__}"))


def _encode_enum(encoder: cbor2.CBOREncoder, value: object) -> None:
    if not isinstance(value, Enum):
        raise TypeError(f"expected an Enum, found {type(value).__name__}")
    encoder.encode(value.value)


def _build_decoder(annotation: Any) -> Decoder:
    """Build the decoder for values of an annotated type."""
    if annotation in (int, str, bytes, bool):
        return _build_scalar_decoder(annotation)
    if annotation is float:
        return _decode_float
    if isinstance(annotation, typing.NewType):
        return _build_decoder(annotation.__supertype__)
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return _build_enum_decoder(annotation)
    if isinstance(annotation, type) and hasattr(annotation, "_fields"):
        return _build_named_tuple_decoder(annotation)
    return _build_generic_decoder(annotation)


def _build_generic_decoder(annotation: Any) -> Decoder:
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin in (typing.Union, types.UnionType):
        non_none = [each for each in arguments if each is not type(None)]
        return _build_optional_decoder(_build_decoder(non_none[0]))
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _build_sequence_decoder(_build_decoder(arguments[0]))
    if origin is tuple:
        return _build_fixed_tuple_decoder([_build_decoder(each) for each in arguments])
    if origin is dict:
        return _decode_mapping
    raise TypeError(f"no decoder supports the annotation {annotation!r}")


def _build_scalar_decoder(expected_type: type) -> Decoder:
    def decode_scalar(value: Any) -> Any:
        if type(value) is not expected_type:
            raise _FieldError(
                f"expected {expected_type.__name__}, found {type(value).__name__}"
            )
        return value

    return decode_scalar


def _decode_float(value: Any) -> float:
    if type(value) not in (float, int):
        raise _FieldError(f"expected a number, found {type(value).__name__}")
    return float(value)


def _build_enum_decoder(expected_type: type[Enum]) -> Decoder:
    members = {member.value: member for member in expected_type}

    def decode_enum(value: Any) -> Any:
        try:
            return members[value]
        except (KeyError, TypeError):
            raise _FieldError(f"{value!r} is not a {expected_type.__name__}") from None

    return decode_enum


def _build_optional_decoder(inner: Decoder) -> Decoder:
    def decode_optional(value: Any) -> Any:
        return None if value is None else inner(value)

    return decode_optional


def _build_sequence_decoder(inner: Decoder) -> Decoder:
    def decode_sequence(value: Any) -> Any:
        if type(value) is not list:
            raise _FieldError(f"expected an array, found {type(value).__name__}")
        return tuple([inner(item) for item in value])

    return decode_sequence


def _build_fixed_tuple_decoder(inner: list[Decoder]) -> Decoder:
    def decode_fixed(value: Any) -> Any:
        if type(value) is not list or len(value) != len(inner):
            raise _FieldError(f"expected an array of length {len(inner)}")
        return tuple([each(item) for each, item in zip(inner, value, strict=True)])

    return decode_fixed


def _decode_mapping(value: Any) -> Any:
    if type(value) is not dict or not all(type(key) is str for key in value):
        raise _FieldError(
            f"expected a map with text keys, found {type(value).__name__}"
        )
    return value


def _build_named_tuple_decoder(expected_type: Any) -> Decoder:
    annotations = typing.get_type_hints(expected_type)
    inner = [_build_decoder(annotations[name]) for name in expected_type._fields]
    size = len(inner)

    def decode_named_tuple(value: Any) -> Any:
        if type(value) is not list or len(value) != size:
            raise _FieldError(
                f"expected an array of length {size} for {expected_type.__name__}"
            )
        return expected_type._make(
            [each(item) for each, item in zip(inner, value, strict=True)]
        )

    return decode_named_tuple


_DECODERS = [_build_named_tuple_decoder(message_type) for message_type in MESSAGE_TYPES]
