"""Tests of cutting streams at whole events."""

from __future__ import annotations

from random import Random
import unittest

from wagtailusher_gateway.events import EventCutter
from wagtailusher_gateway.exceptions import BrokenStreamError


def event(number: int) -> bytes:
    """Return an event."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


class EventsTest(unittest.TestCase):
    """Events come out whole, once each, in order."""

    def test_any_pieces(self) -> None:
        """However a stream is cut, the same events come out."""
        whole = b"".join(map(event, range(1, 30)))
        for seed in range(40):
            random = Random(seed)
            cutter = EventCutter()
            out, at = b"", 0
            while at < len(whole):
                size = random.randrange(1, 50)
                out += cutter.feed(whole[at : at + size])
                at += size
                self.assertTrue(out == b"" or out.endswith(b"\n\n"))
            self.assertEqual((out, cutter.last_id, cutter.has_rest), (whole, "29", False))

    def test_joined_run_goes_on_after_the_last_event(self) -> None:
        """Events that are there already are dropped, a rest of the first run as well."""
        cutter = EventCutter()
        cutter.feed(event(1) + event(2) + b"id: 3\nda")
        cutter.join()
        self.assertEqual(cutter.feed(event(2) + event(3)), event(3))
        self.assertEqual(cutter.feed(event(4)), event(4))

    def test_joined_run_with_a_gap_is_broken(self) -> None:
        """A resumed stream that leaves out an event is not passed on."""
        cutter = EventCutter("4")
        cutter.join()
        with self.assertRaises(BrokenStreamError):
            cutter.feed(event(6))


if __name__ == "__main__":
    unittest.main()
