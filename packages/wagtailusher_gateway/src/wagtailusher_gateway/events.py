"""Cuts a stream of server-sent events at whole events and knows the last one's identifier."""

from __future__ import annotations

from collections.abc import Iterator
import re

from wagtailusher_gateway.const import MAX_EVENT_BYTES
from wagtailusher_gateway.exceptions import BrokenStreamError
from wagtailusher_http import EVENT_DELIMITER, split_complete_events

_ID = re.compile(rb"(?:^|\n)id: ?([^\n]*)")


class EventCutter:
    """Holds back the beginning of an event until the rest of it is there.

    Events that the caller already has, as it happens after a resume, are dropped; a gap raises
    BrokenStreamError.
    """

    __slots__ = ("_joining", "_rest", "count", "last_id")

    def __init__(self, last_id: str | None = None) -> None:
        """Start a stream, or go on after an event."""
        self._rest = b""
        self._joining = False
        self.last_id = last_id
        self.count = 0

    @property
    def has_rest(self) -> bool:
        """Tell whether a part of an event is held back."""
        return bool(self._rest)

    def join(self) -> None:
        """Expect the events of another run, which go on after the last one."""
        self._rest = b""
        self._joining = True

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events at hand, possibly none."""
        events, self._rest = split_complete_events(self._rest, chunk)
        if not events:
            if len(self._rest) > MAX_EVENT_BYTES:
                raise BrokenStreamError("an event of the stream is too large")
            return b""
        if self._joining:
            return b"".join(self._joined(events))
        self.count += events.count(EVENT_DELIMITER)
        self._note_last(events)
        return events

    def _note_last(self, events: bytes) -> None:
        """Note the identifier of the last event."""
        last = events[events.rfind(EVENT_DELIMITER, 0, -len(EVENT_DELIMITER)) + 1 :]
        found = _ID.search(last)
        if found is not None:
            self.last_id = found[1].decode("latin-1").strip()

    def _joined(self, events: bytes) -> Iterator[bytes]:
        """Yield the events that follow the last one."""
        for event in events.split(EVENT_DELIMITER)[:-1]:
            whole = event + EVENT_DELIMITER
            found = _ID.search(whole)
            number = _number(found[1].decode("latin-1")) if found else None
            last = _number(self.last_id)
            if number is not None and last is not None:
                if number <= last:
                    continue
                if number > last + 1:
                    raise BrokenStreamError("the resumed stream leaves out an event")
            if found is not None:
                self.last_id = found[1].decode("latin-1").strip()
            self.count += 1
            yield whole


def _number(text: str | None) -> int | None:
    """Return an identifier's number, or None when it is none."""
    text = (text or "").strip()
    return int(text) if text.isdecimal() else None
