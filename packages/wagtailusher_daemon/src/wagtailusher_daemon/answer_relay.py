"""Relays an endpoint's answer as it arrives, cut at whole events, and counts them."""

from __future__ import annotations

from collections.abc import Callable

from wagtailusher_core import WagtailusherError, callback
from wagtailusher_daemon.exceptions import BrokenAnswerError
from wagtailusher_http import BodySink, ClientAnswer, is_event_stream
from wagtailusher_integrations.engine import EventStream

PROGRESS_EVENTS = 8


class AnswerRelay:
    """One answer on its way; `progress` is told of events, several at a time."""

    def __init__(
        self, answer: ClientAnswer, progress: Callable[[int], None], silence_timeout_ms: int
    ) -> None:
        """Take an answer whose head has arrived."""
        self._answer = answer
        self._progress = progress
        self._silence_timeout_ms = silence_timeout_ms
        self._stream = EventStream() if is_event_stream(answer.headers) else None
        self._untold = 0
        self._ended = False

    async def async_first(self) -> bytes:
        """Return the first part that may be relayed, or nothing when the body is empty."""
        held: list[bytes] = []

        def hold(chunk: bytes) -> bool:
            part = self._cut(chunk)
            if part:
                held.append(part)
            return not held

        self._ended = await self._async_take(hold)
        if held:
            return held[0]
        self._check_whole()
        return b""

    async def async_pump(self, sink: BodySink) -> None:
        """Relay the rest; raise when the answer is not whole."""

        def deliver(chunk: bytes) -> bool:
            part = self._cut(chunk)
            if part:
                sink.write(part)
                if self._untold >= PROGRESS_EVENTS:
                    self._tell()
            return not sink.needs_drain

        while not self._ended:
            self._ended = await self._async_take(deliver)
            if not self._ended:
                await sink.async_drain()
        self._check_whole()

    @callback
    def give_up(self) -> None:
        """Break off an answer that nobody waits for any more."""
        self._tell()
        if not self._ended:
            self._answer.abort()

    async def _async_take(self, deliver: Callable[[bytes], bool]) -> bool:
        """Hand the answer's chunks on; return whether that was all."""
        try:
            return await self._answer.async_relay_body(deliver, self._silence_timeout_ms)
        except WagtailusherError:
            self._tell()
            raise

    def _cut(self, chunk: bytes) -> bytes:
        """Return the whole events at hand; what is no stream of events is relayed as it comes."""
        stream = self._stream
        if stream is None:
            return chunk
        before = stream.event_count
        part = stream.feed(chunk)
        self._untold += stream.event_count - before
        return part

    def _check_whole(self) -> None:
        """Raise when a stream of events ended without its marker."""
        self._tell()
        if self._stream is not None and not self._stream.is_complete:
            raise BrokenAnswerError("the stream ended without its end marker")

    def _tell(self) -> None:
        """Tell of the events since the last time."""
        if self._untold:
            self._progress(self._untold)
            self._untold = 0
