"""Tests of splitting streams into complete events.

They guard against callers that get partial, repeated or missing events when a stream is resumed.
"""

from __future__ import annotations

from random import Random
import unittest

from wagtailusher_gateway.events import EventFramer
from wagtailusher_gateway.exceptions import BrokenStreamError


def event(number: int) -> bytes:
    """Return an event."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


class EventsTest(unittest.TestCase):
    """Events are returned complete, once each and in order."""

    def test_any_pieces(self) -> None:
        """The same events are returned whatever the chunk boundaries are."""
        whole = b"".join(map(event, range(1, 30)))
        for seed in range(40):
            random = Random(seed)
            framer = EventFramer()
            out, offset = b"", 0
            while offset < len(whole):
                size = random.randrange(1, 50)
                out += framer.feed(whole[offset : offset + size])
                offset += size
                self.assertTrue(out == b"" or out.endswith(b"\n\n"))
            self.assertEqual((out, framer.last_id, framer.has_partial_event), (whole, "29", False))

    def test_resumed_stream_continues_after_the_last_event(self) -> None:
        """Events already relayed are dropped, as is the partial event of the first stream."""
        framer = EventFramer()
        framer.feed(event(1) + event(2) + b"id: 3\nda")
        framer.begin_resumed_stream()
        self.assertEqual(framer.feed(event(2) + event(3)), event(3))
        self.assertEqual(framer.feed(event(4)), event(4))

    def test_resumed_stream_with_a_missing_event_is_broken(self) -> None:
        """A resumed stream that is missing an event is not relayed."""
        framer = EventFramer("4")
        framer.begin_resumed_stream()
        with self.assertRaises(BrokenStreamError):
            framer.feed(event(6))


if __name__ == "__main__":
    unittest.main()
