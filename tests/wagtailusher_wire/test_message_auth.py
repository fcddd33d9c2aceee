"""Tests of datagram authentication.

Forged, altered, replayed or outdated datagrams must be refused with their error codes.
"""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailusher_core import ErrorCode, Incarnation, VmId
from wagtailusher_wire import MalformedMessageError, MessageAuthenticator, WireError
from wagtailusher_wire.const import REPLAY_WINDOW_MESSAGES

_OLD = b"an old secret of the fleet"
_NEW = b"a new secret of the fleet"
_VM = VmId("vm-1")
_FIRST = Incarnation(1)


def _refusal_code(authenticator: MessageAuthenticator, datagram: bytes) -> ErrorCode | None:
    """Return the error code with which a datagram is refused, or None if it is accepted."""
    try:
        authenticator.verify(datagram)
    except WireError as err:
        return err.code
    return None


class MessageAuthenticatorTest(TestCase):
    """Only new datagrams that are signed with a fleet secret are accepted."""

    def test_signed_datagram_is_accepted_once(self) -> None:
        datagram = MessageAuthenticator(_NEW).sign(_VM, _FIRST, b"payload")
        receiver = MessageAuthenticator(_NEW)
        authenticated = receiver.verify(datagram)
        self.assertEqual((authenticated.vm_id, authenticated.incarnation), (_VM, _FIRST))
        self.assertEqual(authenticated.payload, b"payload")
        self.assertEqual(_refusal_code(receiver, datagram), ErrorCode.PEER_UNAUTHENTICATED)

    def test_old_secret_is_accepted_during_rotation(self) -> None:
        datagram = MessageAuthenticator(_OLD).sign(_VM, _FIRST, b"")
        self.assertIsNone(_refusal_code(MessageAuthenticator(_NEW, other_secrets=[_OLD]), datagram))
        self.assertEqual(
            _refusal_code(MessageAuthenticator(_NEW), datagram), ErrorCode.PEER_UNAUTHENTICATED
        )

    def test_unknown_version_and_wrong_sizes_are_refused(self) -> None:
        receiver = MessageAuthenticator(_NEW)
        datagram = MessageAuthenticator(_NEW).sign(_VM, _FIRST, b"")
        self.assertEqual(_refusal_code(receiver, b"\x02" + datagram[1:]), ErrorCode.WIRE_VERSION)
        self.assertEqual(_refusal_code(receiver, datagram[:20]), ErrorCode.WIRE_MALFORMED)
        self.assertEqual(_refusal_code(receiver, datagram + bytes(1_200)), ErrorCode.WIRE_MALFORMED)
        with self.assertRaises(MalformedMessageError):
            receiver.sign(_VM, _FIRST, bytes(1_200))

    @settings(max_examples=300)
    @given(st.integers(0, 2**16), st.integers(1, 255))
    def test_any_changed_byte_is_refused(self, position: int, flip: int) -> None:
        datagram = bytearray(MessageAuthenticator(_NEW).sign(_VM, _FIRST, b"payload"))
        datagram[position % len(datagram)] ^= flip
        self.assertIsNotNone(_refusal_code(MessageAuthenticator(_NEW), bytes(datagram)))

    @given(st.permutations(range(20)))
    def test_reordering_within_the_window_is_accepted_once(self, order: list[int]) -> None:
        sender, receiver = MessageAuthenticator(_NEW), MessageAuthenticator(_NEW)
        datagrams = [sender.sign(_VM, _FIRST, b"") for _ in order]
        self.assertTrue(all(_refusal_code(receiver, datagrams[i]) is None for i in order))
        self.assertFalse(any(_refusal_code(receiver, datagrams[i]) is None for i in order))

    def test_older_than_the_window_or_incarnation_is_refused(self) -> None:
        sender, receiver = MessageAuthenticator(_NEW), MessageAuthenticator(_NEW)
        late = sender.sign(_VM, _FIRST, b"")
        for _ in range(REPLAY_WINDOW_MESSAGES):
            receiver.verify(sender.sign(_VM, _FIRST, b""))
        self.assertEqual(_refusal_code(receiver, late), ErrorCode.PEER_UNAUTHENTICATED)
        old = sender.sign(_VM, _FIRST, b"")
        receiver.verify(sender.sign(_VM, Incarnation(2), b""))
        self.assertEqual(_refusal_code(receiver, old), ErrorCode.PEER_UNAUTHENTICATED)
