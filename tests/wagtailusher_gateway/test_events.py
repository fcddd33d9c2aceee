"""Tests of splitting streams into complete events.

They guard against callers that get partial, repeated or missing events when a stream is resumed.
"""

from __future__ import annotations

from random import Random
import unittest

from wagtailusher_gateway.events import EventFramer, StreamPosition
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
            position = StreamPosition()
            framer = EventFramer(position)
            out, offset = b"", 0
            while offset < len(whole):
                size = random.randrange(1, 50)
                out += framer.feed(whole[offset : offset + size])
                offset += size
                self.assertTrue(out == b"" or out.endswith(b"\n\n"))
            framer.finish()
            self.assertEqual((out, position.last_id, position.count), (whole, "29", 29))

    def test_resumed_stream_continues_after_the_last_event(self) -> None:
        """Events already relayed are dropped, as is the partial event of the first stream."""
        position = StreamPosition()
        EventFramer(position).feed(event(1) + event(2) + b"id: 3\nda")
        framer = EventFramer(position)
        self.assertEqual(framer.feed(event(2) + event(3)), event(3))
        self.assertEqual(framer.feed(event(4)), event(4))

    def test_resumed_stream_with_a_missing_event_is_broken(self) -> None:
        """A resumed stream that is missing an event is not relayed."""
        position = StreamPosition()
        EventFramer(position).feed(event(4))
        framer = EventFramer(position)
        self.assertEqual(framer.feed(event(6)), b"")
        with self.assertRaises(BrokenStreamError):
            framer.raise_failure()

    def test_events_before_a_failure_are_relayed(self) -> None:
        """A repeated event ends the stream after those before it, also in the same chunk."""
        position = StreamPosition()
        framer = EventFramer(position)
        self.assertEqual(framer.feed(event(1) + event(2) + event(1)), event(1) + event(2))
        self.assertEqual((framer.feed(event(3)), position.last_id), (b"", "2"))
        with self.assertRaises(BrokenStreamError):
            framer.finish()

    def test_head_of_another_answer_ends_a_stream_without_length(self) -> None:
        """Events behind another answer's head are not relayed, whatever their numbers are."""
        framer = EventFramer(StreamPosition())
        head = b"HTTP/1.1 200 OK\r\nX-Other: 1\r\n\r\n"
        self.assertEqual(framer.feed(event(1) + head + event(2), is_delimited=False), event(1))
        self.assertTrue(framer.has_failed)

    def test_event_that_another_answer_fills_is_not_relayed(self) -> None:
        """An event was cut, and the head and the first event of another answer follow."""
        other = b"HTTP/1.1 200 OK\r\nX-Other: 1\r\n\r\n"
        for cut in (b"", b"id: ", b"id: 2\ndata: tok", b"id: 2\ndata: token 2\n"):
            for is_delimited in (True, False):
                framer = EventFramer(StreamPosition())
                fed = framer.feed(event(1) + cut + other + event(2), is_delimited=is_delimited)
                self.assertEqual((fed, framer.has_failed), (event(1), True), cut)

    def test_event_with_another_identifier_than_a_number_does_not_follow_numbers(self) -> None:
        framer = EventFramer(StreamPosition())
        self.assertEqual(framer.feed(event(1) + b"id: x\ndata: y\n\n"), event(1))
        self.assertTrue(framer.has_failed)

    def test_event_without_identifier_ends_a_numbered_stream_without_length(self) -> None:
        """Nothing else tells it from other bytes; where the end is declared it may follow."""
        for is_delimited in (True, False):
            framer = EventFramer(StreamPosition())
            framer.feed(event(1) + b": ping\n\n" + b"data: x\n\n", is_delimited=is_delimited)
            self.assertIs(framer.has_failed, not is_delimited)

    def test_quoted_response_is_no_answer_of_its_own(self) -> None:
        """An event may quote HTTP; only the line ends of a real head tell another answer."""
        framer = EventFramer(StreamPosition())
        quoted = b"id: 1\ndata: HTTP/1.1 200 OK\ndata: Content-Type: a\n\n"
        self.assertEqual(framer.feed(quoted, is_delimited=False), quoted)

    def test_callers_resume_may_skip_numbers(self) -> None:
        """Numbers only have to rise; what the caller has is known from its own identifier."""
        framer = EventFramer(StreamPosition(last_id="10"))
        self.assertEqual(framer.feed(event(20) + event(30)), event(20) + event(30))

    def test_identifier_of_any_length_is_relayed(self) -> None:
        """A number that is too long to be one is an opaque identifier."""
        framer = EventFramer(StreamPosition())
        long = b"id: " + b"1" * 5_000 + b"\ndata: x\n\n"
        self.assertEqual(framer.feed(long), long)

    def test_position_behind_an_event_without_identifier_cannot_be_resumed(self) -> None:
        """A resume after the last identifier would repeat that event."""
        position = StreamPosition()
        framer = EventFramer(position)
        framer.feed(event(1) + b"data: unnumbered\n\n")
        self.assertFalse(position.can_resume)
        framer.feed(event(2))
        self.assertTrue(position.can_resume)

    def test_end_of_connection_without_an_event_is_a_failure(self) -> None:
        """Neither a first nor a resumed answer without a length is complete without an event."""
        position = StreamPosition()
        with self.assertRaises(BrokenStreamError):
            EventFramer(position).finish(is_delimited=False)
        EventFramer(position).feed(event(1))
        with self.assertRaises(BrokenStreamError):
            EventFramer(position).finish(is_delimited=False)
        EventFramer(position).finish()

    def test_end_within_an_event_is_a_failure(self) -> None:
        """A stream must end after a complete event."""
        framer = EventFramer(StreamPosition())
        framer.feed(event(1) + b"id: 2")
        with self.assertRaises(BrokenStreamError):
            framer.finish()


if __name__ == "__main__":
    unittest.main()
