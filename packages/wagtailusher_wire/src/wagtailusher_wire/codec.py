"""Encoding and decoding of messages; the first byte names the codec."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from functools import cache
from pathlib import Path
from typing import Any, cast

import capnp
import msgspec

from wagtailusher_wire.capnp_conversion import from_plain, to_plain
from wagtailusher_wire.const import MAX_NESTING, MAX_STREAM_MESSAGE_BYTES
from wagtailusher_wire.endpoint_messages import (
    LimitSummary,
    LivenessSummary,
    QuarantineSummary,
    StatementSummary,
)
from wagtailusher_wire.errors import MalformedMessageError, WireVersionError
from wagtailusher_wire.gateway_messages import (
    Beat,
    StreamVersionAnswer,
    StreamVersionQuery,
    StreamVersionRecord,
    ViewChanges,
)
from wagtailusher_wire.messages import MESSAGE_TYPES, LeaseBatch, Message
from wagtailusher_wire.msgpack_rows import from_row, row_type, to_row

_SCHEMA_FILE = Path(__file__).with_name("messages.capnp")
_HEADER_BYTES = 2
_WORD_BYTES = 8
_MIN_TRAVERSAL_WORDS = 4_096

_KIND_BY_TYPE = {cls: kind for kind, cls in enumerate(MESSAGE_TYPES)}
_ROW_DECODERS = {cls: msgspec.msgpack.Decoder(row_type(cls)) for cls in MESSAGE_TYPES}


class Codec(IntEnum):
    """Format of a message's body."""

    CAPNP = 1
    MSGPACK = 2


DEFAULT_CODEC = Codec.CAPNP

_CODEC_BY_TYPE: dict[type[Message], Codec] = {
    LeaseBatch: Codec.MSGPACK,
    QuarantineSummary: Codec.MSGPACK,
    LivenessSummary: Codec.MSGPACK,
    LimitSummary: Codec.MSGPACK,
    StatementSummary: Codec.MSGPACK,
    Beat: Codec.MSGPACK,
    StreamVersionRecord: Codec.MSGPACK,
    StreamVersionQuery: Codec.MSGPACK,
    StreamVersionAnswer: Codec.MSGPACK,
    ViewChanges: Codec.MSGPACK,
}
"""Messages that each node sends many times a second use the codec with the lowest CPU cost."""


def encode(message: Message, *, codec: Codec | None = None) -> bytes:
    """Return a message as bytes: codec, kind, body.

    Raises MalformedMessageError when a value does not fit its field.
    """
    kind = _KIND_BY_TYPE[type(message)]
    if codec is None:
        codec = _CODEC_BY_TYPE.get(type(message), DEFAULT_CODEC)
    try:
        body = _ENCODERS[codec](message)
    except (capnp.KjException, ValueError, TypeError, OverflowError) as err:
        raise MalformedMessageError(f"{type(message).__name__} cannot be encoded") from err
    return bytes((codec, kind)) + body


def decode(content: bytes, *, max_bytes: int = MAX_STREAM_MESSAGE_BYTES) -> Message:
    """Return the decoded message; raise MalformedMessageError or WireVersionError."""
    if len(content) > max_bytes:
        raise MalformedMessageError("Message is too large")
    if len(content) < _HEADER_BYTES:
        raise MalformedMessageError("Message is too short")
    decoder = _DECODERS.get(content[0])
    if decoder is None:
        raise WireVersionError(f"Codec {content[0]} is unknown")
    kind = content[1]
    if kind >= len(MESSAGE_TYPES):
        raise WireVersionError(f"Message kind {kind} is unknown")
    try:
        return decoder(MESSAGE_TYPES[kind], content[_HEADER_BYTES:])
    except (
        capnp.KjException,
        msgspec.MsgspecError,
        ValueError,
        TypeError,
        OverflowError,
        RuntimeError,
        MemoryError,
    ) as err:
        raise MalformedMessageError("Message cannot be decoded") from err


@cache
def _schema() -> Any:
    """Return the Cap'n Proto schema, loaded on first use."""
    return capnp.load(str(_SCHEMA_FILE))


def _encode_capnp(message: Message) -> bytes:
    """Return the body as unpacked Cap'n Proto segments.

    The packed format is not used, because its reader terminates the process on some malformed
    input.
    """
    struct = getattr(_schema(), type(message).__name__)
    return cast(bytes, struct.new_message(**to_plain(message)).to_bytes())


def _decode_capnp(cls: type[Message], body: bytes) -> Message:
    """Return the message from a body, limiting how much data its pointers may expand to."""
    struct = getattr(_schema(), cls.__name__)
    limit = max(_MIN_TRAVERSAL_WORDS, 2 * len(body) // _WORD_BYTES)
    with struct.from_bytes(
        body, traversal_limit_in_words=limit, nesting_limit=MAX_NESTING
    ) as reader:
        return cast(Message, from_plain(cls, reader.to_dict()))


def _encode_msgpack(message: Message) -> bytes:
    """Return the body as a msgpack array."""
    return msgspec.msgpack.encode(to_row(message))


def _decode_msgpack(cls: type[Message], body: bytes) -> Message:
    """Return the message from a msgpack array."""
    return from_row(cls, _ROW_DECODERS[cls].decode(body))


_ENCODERS: dict[Codec, Callable[[Message], bytes]] = {
    Codec.CAPNP: _encode_capnp,
    Codec.MSGPACK: _encode_msgpack,
}
_DECODERS: dict[int, Callable[[type[Message], bytes], Message]] = {
    Codec.CAPNP: _decode_capnp,
    Codec.MSGPACK: _decode_msgpack,
}
