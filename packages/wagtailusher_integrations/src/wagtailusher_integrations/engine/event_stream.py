"""Splits chunks of any size into complete server-sent events."""

from __future__ import annotations

from wagtailusher_http import EVENT_DELIMITER, split_complete_events
from wagtailusher_integrations.engine.exceptions import EngineError

_END_MARKER = b"data: [DONE]\n\n"
_MAX_EVENT_BYTES = 1024 * 1024


class EventStream:
    """Buffers an incomplete event until the rest of it arrives."""

    __slots__ = ("_rest", "event_count", "is_complete")

    def __init__(self) -> None:
        self._rest = bytearray()
        self.event_count = 0
        self.is_complete = False

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the events that are now complete, possibly none."""
        events = split_complete_events(self._rest, chunk)
        if not events:
            if len(self._rest) > _MAX_EVENT_BYTES:
                raise EngineError("an event of the stream is too large")
            return b""
        self.event_count += events.count(EVENT_DELIMITER)
        self.is_complete = events.endswith(_END_MARKER)
        return events
