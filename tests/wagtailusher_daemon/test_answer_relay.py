"""Tests of the relay of an answer with scripted endpoints and callers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import cast
import unittest

from wagtailusher_daemon.answer_relay import AnswerRelay
from wagtailusher_daemon.exceptions import IncompleteAnswerError
from wagtailusher_http import AnswerTruncatedError, ClientAnswer, Headers

END = b"data: [DONE]\n\n"
SEEDS = 80


class ScriptedAnswer:
    """Relays the given chunks, pauses when the receiver asks, then completes or is truncated."""

    def __init__(self, chunks: list[bytes], *, truncated: bool = False) -> None:
        self.headers = Headers([("content-type", "text/event-stream")])
        self.aborted = False
        self._chunks = chunks
        self._truncated = truncated

    async def async_relay_body(
        self, deliver: Callable[[bytes], bool], silence_timeout_ms: int
    ) -> bool:
        while self._chunks:
            if not deliver(self._chunks.pop(0)) and (self._chunks or self._truncated):
                return False
        if self._truncated:
            raise AnswerTruncatedError("the endpoint closed the connection")
        return True

    def abort(self) -> None:
        self.aborted = True


class SlowSink:
    """Stores what is written and needs a drain after a random share of the chunks."""

    def __init__(self, generator: Random) -> None:
        self.written: list[bytes] = []
        self.drains = 0
        self._generator = generator
        self._full = False

    @property
    def needs_drain(self) -> bool:
        return self._full

    def write(self, chunk: bytes) -> None:
        if self._full:
            raise AssertionError("written to a sink that needs a drain")
        self.written.append(chunk)
        self._full = self._generator.random() < 0.3

    async def async_drain(self) -> None:
        self.drains += 1
        self._full = False


class AnswerRelayTest(unittest.IsolatedAsyncioTestCase):
    """Guards against wrong event counts when an answer is split or truncated at any byte."""

    def setUp(self) -> None:
        self.reported: list[int] = []

    def _relay(self, answer: ScriptedAnswer) -> AnswerRelay:
        return AnswerRelay(cast(ClientAnswer, answer), self.reported.append, 1_000)

    async def _async_run(self, answer: ScriptedAnswer, sink: SlowSink) -> None:
        relay = self._relay(answer)
        first = await relay.async_read_first()
        if first:
            sink.write(first)
            if sink.needs_drain:
                await sink.async_drain()
        await relay.async_relay_rest(sink)

    async def test_complete_answer_in_random_chunks_with_a_slow_caller(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.reported.clear()
                generator = Random(seed)
                data = _events(generator.randrange(30)) + END
                sink = SlowSink(generator)
                await self._async_run(ScriptedAnswer(_split(data, generator)), sink)
                self.assertEqual(b"".join(sink.written), data)
                self.assertEqual(sum(self.reported), data.count(b"\n\n"))

    async def test_truncated_answer_reports_exactly_the_events_written(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.reported.clear()
                generator = Random(seed)
                whole = _events(20)
                data = whole[: generator.randrange(len(whole))]
                sink = SlowSink(generator)
                with self.assertRaises(AnswerTruncatedError):
                    await self._async_run(
                        ScriptedAnswer(_split(data, generator), truncated=True), sink
                    )
                written = b"".join(sink.written)
                self.assertTrue(whole.startswith(written))
                self.assertEqual(sum(self.reported), written.count(b"\n\n"))

    async def test_stream_without_end_marker_is_incomplete(self) -> None:
        for events in (0, 1, 12):
            with self.subTest(events=events), self.assertRaises(IncompleteAnswerError):
                await self._async_run(ScriptedAnswer([_events(events)]), SlowSink(Random(1)))

    async def test_abort_before_the_end_aborts_the_answer_and_counts_events(self) -> None:
        answer = ScriptedAnswer([_events(1), _events(1), END])
        relay = self._relay(answer)
        await relay.async_read_first()
        relay.abort()
        self.assertTrue(answer.aborted)
        self.assertEqual(sum(self.reported), 1)

    async def test_abort_after_the_end_keeps_the_connection(self) -> None:
        answer = ScriptedAnswer([_events(2), END])
        relay = self._relay(answer)
        await relay.async_read_first()
        await relay.async_relay_rest(SlowSink(Random(1)))
        relay.abort()
        self.assertFalse(answer.aborted)


def _events(count: int) -> bytes:
    """Return a number of events."""
    return b"".join(b'data: {"n": %d}\n\n' % number for number in range(count))


def _split(data: bytes, generator: Random) -> list[bytes]:
    """Return data in chunks of random sizes."""
    fragments: list[bytes] = []
    while data:
        size = generator.randint(1, 60)
        fragments.append(data[:size])
        data = data[size:]
    return fragments


if __name__ == "__main__":
    unittest.main()
