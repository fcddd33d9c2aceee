"""Tests of messages that are fitted into datagrams.

They guard against items that are lost, or sent in datagrams that exceed their limit.
"""

from __future__ import annotations

from dataclasses import replace
import unittest

from wagtailusher_core import EndpointId
from wagtailusher_wire import (
    MAX_PAYLOAD_BYTES,
    LivenessEntry,
    LivenessSummary,
    encode,
    fill_fields_to_fit,
    fill_to_fit,
    fits_datagram,
    split_to_fit,
)


def entry(number: int, length: int) -> LivenessEntry:
    """Return an entry whose identifier has a length."""
    endpoint_id = EndpointId(f"{number:0{length}}")
    return LivenessEntry(endpoint_id=endpoint_id, incarnation=1, is_responsive=True, silent_ms=1)


def summary(entries: tuple[LivenessEntry, ...]) -> LivenessSummary:
    """Return a message with entries."""
    return LivenessSummary(entries=entries)


class DatagramTest(unittest.TestCase):
    """Entries with identifiers of all lengths are sent in as many messages as they need."""

    def test_all_entries_are_in_messages_that_fit(self) -> None:
        for length in (1, 40, 192, 500, 1_000):
            entries = tuple(entry(number, length) for number in range(17))
            messages = list(split_to_fit(summary, entries))
            self.assertTrue(all(map(fits_datagram, messages)))
            self.assertEqual(tuple(x for item in messages for x in item.entries), entries)

    def test_entry_that_exceeds_a_datagram_is_told(self) -> None:
        large = entry(1, MAX_PAYLOAD_BYTES)
        misfits: list[LivenessEntry] = []
        messages = list(split_to_fit(summary, (entry(0, 9), large, entry(2, 9)), misfits.append))
        self.assertEqual(misfits, [large])
        self.assertEqual(sum(len(item.entries) for item in messages), 2)

    def test_as_many_of_the_first_entries_as_fit_are_kept(self) -> None:
        entries = tuple(entry(number, 192) for number in range(17))
        filled = fill_to_fit(summary, entries)
        kept = len(filled.entries)
        self.assertEqual(filled.entries, entries[:kept])
        self.assertLessEqual(len(encode(filled)), MAX_PAYLOAD_BYTES)
        self.assertGreater(len(encode(summary(entries[: kept + 1]))), MAX_PAYLOAD_BYTES)
        self.assertEqual(fill_to_fit(summary, entries[:3]), summary(entries[:3]))

    def test_fields_are_filled_in_order_and_up_to_their_limits(self) -> None:
        for length in (1, 40, 192):
            for count in (0, 1, 15, 16, 17, 60):
                for limit in (100, 500, MAX_PAYLOAD_BYTES):
                    entries = tuple(entry(number, length) for number in range(count))
                    filled = fill_fields_to_fit(summary(entries), {"entries": limit})
                    self.assertEqual(filled, fill_to_fit(summary, entries, max_bytes=limit))

    def test_field_is_filled_up_to_an_item_that_has_no_encoding(self) -> None:
        entries = (entry(0, 9), entry(1, 9), replace(entry(2, 9), endpoint_id=EndpointId("\ud800")))
        filled = fill_fields_to_fit(summary(entries), {"entries": MAX_PAYLOAD_BYTES})
        self.assertEqual(filled.entries, entries[:2])

    def test_text_that_has_no_encoding_does_not_fit(self) -> None:
        broken = LivenessEntry(
            endpoint_id=EndpointId("\ud800"), incarnation=1, is_responsive=True, silent_ms=1
        )
        self.assertFalse(fits_datagram(summary((broken,))))


if __name__ == "__main__":
    unittest.main()
