"""Splits chunks of any size into complete server-sent events."""

from __future__ import annotations

from wagtailusher_http import END_MARKER, EVENT_DELIMITER, is_event, split_complete_events
from wagtailusher_integrations.engine.exceptions import BrokenStreamError, EngineError

_MAX_EVENT_BYTES = 1024 * 1024


class EventStream:
    """Buffers an incomplete event until the rest of it arrives.

    The stream ends with its end marker; `has_excess` tells that other data followed it. Bytes that
    are no event break it before the end marker.
    """

    __slots__ = ("_rest", "event_count", "has_excess", "is_broken", "is_complete")

    def __init__(self) -> None:
        self._rest = bytearray()
        self.event_count = 0
        self.has_excess = False
        self.is_broken = False
        self.is_complete = False

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the events that are now complete.

        They reach up to the end marker, or up to bytes that are no event.
        """
        if self.is_complete or self.is_broken:
            self.has_excess = self.has_excess or (self.is_complete and bool(chunk))
            return b""
        received = split_complete_events(self._rest, chunk)
        if not received and len(self._rest) > _MAX_EVENT_BYTES:
            raise EngineError("an event of the stream is too large")
        events = self._accept(received)
        if self.is_complete:
            self.has_excess = bool(self._rest) or len(events) < len(received)
        if self.is_complete or self.is_broken:
            self._rest.clear()
        return events

    def raise_broken(self) -> None:
        """Raise BrokenStreamError if bytes that are no event have ended the stream."""
        if self.is_broken:
            raise BrokenStreamError("the stream contains bytes that are no event")

    def _accept(self, received: bytes) -> bytes:
        """Return the leading blocks that are events, up to the end marker."""
        accepted: list[bytes] = []
        for block in received.split(EVENT_DELIMITER)[:-1]:
            if not is_event(block):
                self.is_broken = True
                break
            accepted.append(block + EVENT_DELIMITER)
            if block.rpartition(b"\n")[2] == END_MARKER:
                self.is_complete = True
                break
        self.event_count += len(accepted)
        return b"".join(accepted)
