"""Tests of the relay of an answer against scripted endpoints and callers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import cast
import unittest

from wagtailusher_daemon.answer_relay import AnswerRelay
from wagtailusher_daemon.exceptions import BrokenAnswerError
from wagtailusher_http import AnswerTruncatedError, ClientAnswer, Headers

END = b"data: [DONE]\n\n"
SEEDS = 80


class ScriptedAnswer:
    """Hands on given chunks, pausing when told to, and then ends or breaks."""

    def __init__(self, chunks: list[bytes], *, breaks: bool = False) -> None:
        self.headers = Headers([("content-type", "text/event-stream")])
        self.aborted = False
        self._chunks = chunks
        self._breaks = breaks

    async def async_relay_body(
        self, deliver: Callable[[bytes], bool], silence_timeout_ms: int
    ) -> bool:
        while self._chunks:
            if not deliver(self._chunks.pop(0)) and (self._chunks or self._breaks):
                return False
        if self._breaks:
            raise AnswerTruncatedError("the endpoint is gone")
        return True

    def abort(self) -> None:
        self.aborted = True


class SlowSink:
    """Keeps what is written and asks to be drained after each chunk of some."""

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
            raise AssertionError("written to a caller that does not keep up")
        self.written.append(chunk)
        self._full = self._generator.random() < 0.3

    async def async_drain(self) -> None:
        self.drains += 1
        self._full = False


class AnswerRelayTest(unittest.IsolatedAsyncioTestCase):
    """What reached the caller is counted exactly, wherever the answer breaks."""

    def setUp(self) -> None:
        self.told: list[int] = []

    def _relay(self, answer: ScriptedAnswer) -> AnswerRelay:
        return AnswerRelay(cast(ClientAnswer, answer), self.told.append, 1_000)

    async def _async_run(self, answer: ScriptedAnswer, sink: SlowSink) -> None:
        relay = self._relay(answer)
        first = await relay.async_first()
        if first:
            sink.write(first)
            if sink.needs_drain:
                await sink.async_drain()
        await relay.async_pump(sink)

    async def test_whole_answer_at_any_cut_with_a_slow_caller(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.told.clear()
                generator = Random(seed)
                data = _events(generator.randrange(30)) + END
                sink = SlowSink(generator)
                await self._async_run(ScriptedAnswer(_cut(data, generator)), sink)
                self.assertEqual(b"".join(sink.written), data)
                self.assertEqual(sum(self.told), data.count(b"\n\n"))

    async def test_broken_answer_tells_exactly_the_events_that_were_written(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.told.clear()
                generator = Random(seed)
                whole = _events(20)
                data = whole[: generator.randrange(len(whole))]
                sink = SlowSink(generator)
                with self.assertRaises(AnswerTruncatedError):
                    await self._async_run(ScriptedAnswer(_cut(data, generator), breaks=True), sink)
                written = b"".join(sink.written)
                self.assertTrue(whole.startswith(written))
                self.assertEqual(sum(self.told), written.count(b"\n\n"))

    async def test_stream_without_its_marker_is_broken(self) -> None:
        for events in (0, 1, 12):
            with self.subTest(events=events), self.assertRaises(BrokenAnswerError):
                await self._async_run(ScriptedAnswer([_events(events)]), SlowSink(Random(1)))

    async def test_given_up_before_its_end_is_aborted_and_counted(self) -> None:
        answer = ScriptedAnswer([_events(1), _events(1), END])
        relay = self._relay(answer)
        await relay.async_first()
        relay.give_up()
        self.assertTrue(answer.aborted)
        self.assertEqual(sum(self.told), 1)

    async def test_given_up_after_its_end_keeps_the_connection(self) -> None:
        answer = ScriptedAnswer([_events(2), END])
        relay = self._relay(answer)
        await relay.async_first()
        await relay.async_pump(SlowSink(Random(1)))
        relay.give_up()
        self.assertFalse(answer.aborted)


def _events(count: int) -> bytes:
    """Return some events."""
    return b"".join(b'data: {"n": %d}\n\n' % number for number in range(count))


def _cut(data: bytes, generator: Random) -> list[bytes]:
    """Return data in pieces of random sizes."""
    pieces: list[bytes] = []
    while data:
        size = generator.randint(1, 60)
        pieces.append(data[:size])
        data = data[size:]
    return pieces


if __name__ == "__main__":
    unittest.main()
