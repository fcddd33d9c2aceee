"""Splits a stream of server-sent events into complete events and tracks the last identifier."""

from __future__ import annotations

from collections.abc import Iterator
import re

from wagtailusher_gateway.const import MAX_EVENT_BYTES
from wagtailusher_gateway.exceptions import BrokenStreamError
from wagtailusher_http import EVENT_DELIMITER, split_complete_events

_ID = re.compile(rb"(?:^|\n)id: ?([^\n]*)")


class EventFramer:
    """Buffers an incomplete event until the rest of it arrives.

    After a resume, events that the caller already received are dropped, and a missing event raises
    BrokenStreamError.
    """

    __slots__ = ("_is_resumed", "_partial_event", "count", "last_id")

    def __init__(self, last_id: str | None = None) -> None:
        """Start a stream, or continue one after the event `last_id`."""
        self._partial_event = b""
        self._is_resumed = False
        self.last_id = last_id
        self.count = 0

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial_event)

    @property
    def partial_event_bytes(self) -> int:
        """Return the size of the buffered incomplete event."""
        return len(self._partial_event)

    def begin_resumed_stream(self) -> None:
        """Expect the stream of another endpoint, which continues after the last event."""
        self._partial_event = b""
        self._is_resumed = True

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the complete events so far, possibly none."""
        events, self._partial_event = split_complete_events(self._partial_event, chunk)
        if not events:
            if len(self._partial_event) > MAX_EVENT_BYTES:
                raise BrokenStreamError("an event of the stream is too large")
            return b""
        if self._is_resumed:
            return b"".join(self._new_events(events))
        self.count += events.count(EVENT_DELIMITER)
        self._record_last_id(events)
        return events

    def _record_last_id(self, events: bytes) -> None:
        last = events[events.rfind(EVENT_DELIMITER, 0, -len(EVENT_DELIMITER)) + 1 :]
        found = _ID.search(last)
        if found is not None:
            self.last_id = found[1].decode("latin-1").strip()

    def _new_events(self, events: bytes) -> Iterator[bytes]:
        """Yield the events that follow the last relayed one."""
        for event in events.split(EVENT_DELIMITER)[:-1]:
            complete_event = event + EVENT_DELIMITER
            found = _ID.search(complete_event)
            number = _number(found[1].decode("latin-1")) if found else None
            last = _number(self.last_id)
            if number is not None and last is not None:
                if number <= last:
                    continue
                if number > last + 1:
                    raise BrokenStreamError("the resumed stream is missing an event")
            if found is not None:
                self.last_id = found[1].decode("latin-1").strip()
            self.count += 1
            yield complete_event


def _number(text: str | None) -> int | None:
    """Return the number in an identifier, or None if it is not decimal."""
    text = (text or "").strip()
    return int(text) if text.isdecimal() else None
