"""Tests of ticket verification.

Guards against altered, foreign or expired tickets that are accepted, and against tickets that
become invalid when the secret is rotated.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from wagtailusher_core import Incarnation, VmId
from wagtailusher_once import TicketExpiredError, TicketInvalidError, TicketIssuer

LIFETIME_MS = 60_000
SKEW_MS = 2_000
WALL_MS = 1_700_000_000_000


def _make_ticket_issuer(
    *, secret: bytes = b"fleet", previous: tuple[bytes, ...] = ()
) -> TicketIssuer:
    """Return a ticket issuer with a fixed nonce."""
    return TicketIssuer(
        vm_id=VmId("vm1"),
        incarnation=Incarnation(7),
        secret=secret,
        previous_secrets=previous,
        lifetime_ms=LIFETIME_MS,
        max_clock_skew_ms=SKEW_MS,
        draw_nonce=lambda: "abc",
    )


class TicketTest(unittest.TestCase):
    """Tickets specify their home and can't be altered."""

    def test_ticket_specifies_its_home(self) -> None:
        ticket = _make_ticket_issuer().verify(_make_ticket_issuer().issue(WALL_MS), WALL_MS + 1_000)
        self.assertEqual((ticket.home_id, ticket.incarnation), ("vm1", 7))
        self.assertEqual(ticket.remaining_ms, LIFETIME_MS - 1_000)
        self.assertEqual(ticket.ticket_id, "vm1/7/abc")

    def test_ticket_expires_after_lifetime_and_skew(self) -> None:
        text = _make_ticket_issuer().issue(WALL_MS)
        _make_ticket_issuer().verify(text, WALL_MS + LIFETIME_MS + SKEW_MS)
        with self.assertRaises(TicketExpiredError):
            _make_ticket_issuer().verify(text, WALL_MS + LIFETIME_MS + SKEW_MS + 1)

    def test_ticket_of_the_previous_secret_is_accepted(self) -> None:
        text = _make_ticket_issuer(secret=b"old").issue(WALL_MS)
        _make_ticket_issuer(secret=b"new", previous=(b"old",)).verify(text, WALL_MS)
        with self.assertRaises(TicketInvalidError):
            _make_ticket_issuer(secret=b"new").verify(text, WALL_MS)

    def test_ambiguous_vm_id_and_empty_secret_are_refused(self) -> None:
        with self.assertRaises(ValueError):
            TicketIssuer(vm_id=VmId("a|b"), incarnation=Incarnation(1), secret=b"s")
        with self.assertRaises(ValueError):
            _make_ticket_issuer(secret=b"")

    @given(st.data())
    def test_altered_ticket_is_refused(self, data: st.DataObject) -> None:
        text = _make_ticket_issuer().issue(WALL_MS)
        position = data.draw(st.integers(0, len(text) - 1))
        character = data.draw(st.characters().filter(lambda drawn: drawn != text[position]))
        with self.assertRaises(TicketInvalidError):
            _make_ticket_issuer().verify(
                text[:position] + character + text[position + 1 :], WALL_MS
            )

    @given(st.text())
    def test_garbage_is_refused(self, text: str) -> None:
        with self.assertRaises(TicketInvalidError):
            _make_ticket_issuer().verify(text, WALL_MS)
