"""Tests of the message codecs.

Malformed input may only raise a WireError: any other error, or a crash in the Cap'n Proto reader,
would let one bad datagram stop the daemon.
"""

from __future__ import annotations

from dataclasses import fields, replace
from random import Random
from unittest import TestCase
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st
import msgspec

from wagtailusher_core import ErrorCode, FailureDomainId, Incarnation, Revision, VmId
from wagtailusher_wire import (
    MESSAGE_TYPES,
    Beat,
    Codec,
    ContentAnswer,
    DeltaStep,
    MalformedMessageError,
    MemberState,
    MemberUpdate,
    Message,
    Nack,
    Ping,
    StreamVersionQuery,
    StreamVersionRecord,
    WireError,
    WireVersionError,
    decode,
    encode,
)

_UINT64 = st.integers(0, 2**64 - 1)
_UINT32 = st.integers(0, 2**32 - 1)
_TEXT = st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=20)
_REVISIONS = st.builds(Revision, epoch=_UINT64, number=_UINT64)


def _messages_of_type(cls: type[Message]) -> st.SearchStrategy[Message]:
    """Return messages of one type with integers that fit the schema."""
    return st.from_type(cls)


st.register_type_strategy(int, _UINT32)
st.register_type_strategy(str, _TEXT)
st.register_type_strategy(Revision, _REVISIONS)
_MESSAGES = st.sampled_from(MESSAGE_TYPES).flatmap(_messages_of_type)
_CODECS = st.sampled_from(Codec)


def _mutate(generator: Random, content: bytearray) -> bytes:
    """Return a message with changed bytes, truncated, extended or with a replaced body."""
    for _ in range(generator.randrange(1, 5)):
        content[generator.randrange(1, len(content))] = generator.randrange(256)
    mutation = generator.randrange(4)
    if mutation == 0:
        return bytes(content[: generator.randrange(len(content))])
    if mutation == 1:
        return bytes(content) + generator.randbytes(generator.randrange(30))
    if mutation == 2:
        return bytes(content[:2]) + generator.randbytes(generator.randrange(100))
    return bytes(content)


class CodecTest(TestCase):
    """Messages survive both codecs, and invalid bytes raise only wire errors."""

    @settings(max_examples=300)
    @given(_MESSAGES, _CODECS)
    def test_round_trip(self, message: Message, codec: Codec) -> None:
        self.assertEqual(decode(encode(message, codec=codec)), message)

    @settings(max_examples=1_000)
    @given(
        st.binary(max_size=200)
        | st.builds(
            lambda c, k, b: bytes((c, k)) + b,
            _CODECS,
            st.integers(0, len(MESSAGE_TYPES)),
            st.binary(max_size=200),
        )
    )
    def test_arbitrary_bytes_raise_only_wire_errors(self, content: bytes) -> None:
        try:
            decode(content)
        except WireError as err:
            self.assertIn(err.code, (ErrorCode.WIRE_MALFORMED, ErrorCode.WIRE_VERSION))

    @settings(max_examples=1_000)
    @given(
        _MESSAGES, _CODECS, st.lists(st.tuples(_UINT32, st.integers(1, 255)), max_size=4), _UINT32
    )
    def test_mutated_bytes_raise_only_wire_errors(
        self, message: Message, codec: Codec, flips: list[tuple[int, int]], cut: int
    ) -> None:
        content = bytearray(encode(message, codec=codec))
        for position, flip in flips:
            content[position % len(content)] ^= flip
        try:
            decode(bytes(content[: len(content) - cut % 3]))
        except WireError as err:
            self.assertIn(err.code, (ErrorCode.WIRE_MALFORMED, ErrorCode.WIRE_VERSION))

    def test_unencodable_and_too_large_messages_raise_errors(self) -> None:
        with self.assertRaises(MalformedMessageError):
            encode(Nack(sequence=-1, subject=VmId("a")))
        answer = ContentAnswer(
            sequence=1,
            revision=Revision(number=1),
            digest=1,
            base=Revision(),
            steps=(DeltaStep(copy_offset_bytes=0, copy_bytes=0, insert=b"x" * 1_000_000),),
        )
        content = encode(answer)
        self.assertEqual(decode(content), answer)
        with self.assertRaises(MalformedMessageError):
            decode(content, max_bytes=1_000)

    def test_message_of_a_build_without_the_last_fields_has_their_defaults(self) -> None:
        beat = Beat(
            address="a",
            view_address="b",
            failure_domain_id=FailureDomainId("c"),
            weight=1,
            is_leaving=False,
            is_ready=True,
            view_revision=5,
            view_age_ms=0,
            is_to_be_relayed=True,
        )
        later = replace(beat, view_epoch=7, takes_forwarded=True, configuration_version=8)
        content = encode(later)
        values = msgspec.msgpack.decode(content[2:])
        known = [field.name for field in fields(Beat)].index("view_epoch")
        shortened = content[:2] + msgspec.msgpack.encode(values[:known])
        self.assertEqual(decode(shortened), beat)

    def test_build_that_does_not_know_a_kind_raises_a_wire_error(self) -> None:
        query = StreamVersionQuery(sequence=1, stream_id="attempt")
        known = MESSAGE_TYPES[: MESSAGE_TYPES.index(StreamVersionRecord)]
        self.assertEqual(known[-1], Beat)
        with (
            patch("wagtailusher_wire.codec.MESSAGE_TYPES", known),
            self.assertRaises(WireVersionError),
        ):
            decode(encode(query))

    def test_mutated_nested_messages_raise_only_wire_errors(self) -> None:
        generator = Random(5)
        update = MemberUpdate(
            vm_id=VmId("b"), incarnation=Incarnation(5), version=1, state=MemberState.ALIVE
        )
        originals = (
            encode(Ping(sequence=1, target=VmId("x"), updates=(update, update))),
            encode(Nack(sequence=1, subject=VmId("x"))),
        )
        for _ in range(20_000):
            content = _mutate(generator, bytearray(generator.choice(originals)))
            try:
                decode(content)
            except WireError as err:
                self.assertIn(err.code, (ErrorCode.WIRE_MALFORMED, ErrorCode.WIRE_VERSION))
