"""Relays an endpoint's answer: complete events as they arrive, any other body once it is whole."""

from __future__ import annotations

from collections.abc import Callable

from wagtailusher_core import WagtailusherError, callback
from wagtailusher_daemon.exceptions import IncompleteAnswerError
from wagtailusher_http import BodySink, ClientAnswer, is_event_stream
from wagtailusher_integrations.engine import EventStream

PROGRESS_BATCH_EVENTS = 8
RELAYED_PART_BYTES = 64 * 1024


class AnswerRelay:
    """Relays one answer; `on_progress` is called with the number of new events, in batches."""

    def __init__(
        self,
        answer: ClientAnswer,
        on_progress: Callable[[int], None],
        silence_timeout_ms: int,
        on_data: Callable[[], None] = lambda: None,
    ) -> None:
        """Wrap an answer whose headers have been received; call `on_data` for each chunk."""
        self._on_data = on_data
        self._answer = answer
        self._on_progress = on_progress
        self._silence_timeout_ms = silence_timeout_ms
        self._stream = EventStream() if is_event_stream(answer.headers) else None
        self._rest = memoryview(b"")
        self._held_bytes = 0
        self._unreported_events = 0
        self._ended = False

    async def async_read_first(self) -> bytes:
        """Return the first bytes that can be relayed, empty when the body is empty.

        Bytes of another answer can't be told from those of a body that is no event stream before
        it is whole, so it is read first.
        """
        if self._stream is None:
            self._rest = memoryview(await self._answer.async_read(self._silence_timeout_ms))
            self._held_bytes = len(self._rest)
            self._ended = True
            return self._take_part()
        first_parts: list[bytes] = []

        def keep_first(chunk: bytes) -> bool:
            part = self._split_events(chunk)
            if part:
                first_parts.append(part)
            return not (first_parts or self._is_broken)

        self._ended = await self._async_relay_chunks(keep_first)
        if first_parts:
            return first_parts[0]
        self._check_complete()
        return b""

    async def async_relay_rest(self, sink: BodySink) -> None:
        """Relay the rest; raise IncompleteAnswerError when the end marker is missing.

        Raises BrokenStreamError when bytes that are no event follow the relayed events. An error
        behind the end marker is ignored, as nothing is left to relay or to resume.
        """

        def deliver(chunk: bytes) -> bool:
            part = self._split_events(chunk)
            if part:
                sink.write(part)
                if self._unreported_events >= PROGRESS_BATCH_EVENTS:
                    self._report_progress()
            return not (sink.needs_drain or self._has_excess or self._is_broken)

        while self._rest:
            await sink.async_drain()
            sink.write(self._take_part())
        while not (self._ended or self._has_excess or self._is_broken):
            try:
                self._ended = await self._async_relay_chunks(deliver)
            except WagtailusherError:
                if self._stream is None or not self._stream.is_complete:
                    raise
                break
            if not self._ended:
                await sink.async_drain()
        self._check_complete()

    @property
    def held_bytes(self) -> int:
        """Return the size of the body if it was read whole, else 0."""
        return self._held_bytes

    def _take_part(self) -> bytes:
        """Return the next part of a body that was read whole."""
        part = bytes(self._rest[:RELAYED_PART_BYTES])
        self._rest = self._rest[RELAYED_PART_BYTES:]
        return part

    @callback
    def abort(self) -> None:
        """Report pending events, free the body and abort an answer that has not ended."""
        self._rest = memoryview(b"")
        self._report_progress()
        if not self._ended:
            self._answer.abort()

    @property
    def _has_excess(self) -> bool:
        """Return whether data followed the end marker, after which nothing is relayed."""
        return self._stream is not None and self._stream.has_excess

    @property
    def _is_broken(self) -> bool:
        """Return whether bytes that are no event have ended the stream."""
        return self._stream is not None and self._stream.is_broken

    async def _async_relay_chunks(self, deliver: Callable[[bytes], bool]) -> bool:
        """Pass the answer's chunks to a function; return whether the answer has ended."""
        try:
            return await self._answer.async_relay_body(deliver, self._silence_timeout_ms)
        except WagtailusherError:
            self._report_progress()
            raise

    def _split_events(self, chunk: bytes) -> bytes:
        """Return the complete events of a stream."""
        self._on_data()
        stream = self._stream
        assert stream is not None
        before = stream.event_count
        part = stream.feed(chunk)
        self._unreported_events += stream.event_count - before
        return part

    def _check_complete(self) -> None:
        """Raise an error when an event stream broke or ended without its end marker."""
        self._report_progress()
        if self._stream is None or self._stream.is_complete:
            return
        self.abort()
        self._stream.raise_broken()
        raise IncompleteAnswerError("event stream ended without its end marker")

    def _report_progress(self) -> None:
        """Report the events relayed since the last report."""
        if self._unreported_events:
            self._on_progress(self._unreported_events)
            self._unreported_events = 0
