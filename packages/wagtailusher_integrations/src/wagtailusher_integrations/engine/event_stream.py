"""Whole events of a stream of server-sent events, cut from chunks of any size."""

from __future__ import annotations

from wagtailusher_http import EVENT_DELIMITER, split_complete_events
from wagtailusher_integrations.engine.exceptions import EngineError

_END_MARKER = b"data: [DONE]\n\n"
_MAX_EVENT_BYTES = 1024 * 1024


class EventStream:
    """Holds back the beginning of an event until the rest of it is there."""

    __slots__ = ("_rest", "event_count", "is_complete")

    def __init__(self) -> None:
        """Start before the first event."""
        self._rest = b""
        self.event_count = 0
        self.is_complete = False

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events at hand, possibly none."""
        events, self._rest = split_complete_events(self._rest, chunk)
        if not events:
            if len(self._rest) > _MAX_EVENT_BYTES:
                raise EngineError("an event of the stream is too large")
            return b""
        self.event_count += events.count(EVENT_DELIMITER)
        self.is_complete = events.endswith(_END_MARKER)
        return events
