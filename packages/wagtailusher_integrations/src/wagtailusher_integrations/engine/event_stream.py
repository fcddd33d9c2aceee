"""Splits chunks of any size into complete server-sent events."""

from __future__ import annotations

import re

from wagtailusher_http import EVENT_DELIMITER, split_complete_events
from wagtailusher_integrations.engine.exceptions import EngineError

_END_MARKER = re.compile(rb"(?:\A|\n)data: \[DONE\]\n\n")
_MAX_EVENT_BYTES = 1024 * 1024


class EventStream:
    """Buffers an incomplete event until the rest of it arrives.

    The stream ends with its end marker; `has_excess` tells that other data followed it.
    """

    __slots__ = ("_rest", "event_count", "has_excess", "is_complete")

    def __init__(self) -> None:
        self._rest = bytearray()
        self.event_count = 0
        self.has_excess = False
        self.is_complete = False

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the events that are now complete, up to the end marker."""
        if self.is_complete:
            self.has_excess = self.has_excess or bool(chunk)
            return b""
        events = split_complete_events(self._rest, chunk)
        if not events:
            if len(self._rest) > _MAX_EVENT_BYTES:
                raise EngineError("an event of the stream is too large")
            return b""
        marker = _END_MARKER.search(events)
        if marker is not None:
            self.is_complete = True
            self.has_excess = bool(self._rest) or marker.end() < len(events)
            events = events[: marker.end()]
            self._rest.clear()
        self.event_count += events.count(EVENT_DELIMITER)
        return events
