"""Splits a stream of server-sent events into complete events and tracks the last identifier."""

from __future__ import annotations

from dataclasses import dataclass
import re

from wagtailusher_gateway.const import MAX_EVENT_BYTES
from wagtailusher_gateway.exceptions import BrokenStreamError
from wagtailusher_http import (
    END_MARKER,
    EVENT_DELIMITER,
    event_id,
    is_event,
    split_complete_events,
)

_DATA = re.compile(rb"(?:^|\n)data")
_MAX_NUMBER_DIGITS = 18
"""Longest identifier that counts as a number; longer ones don't fit into 64 bits."""


@dataclass(slots=True, kw_only=True)
class StreamPosition:
    """The last event of a caller's stream; the attempts that bring its events share it."""

    last_id: str | None = None
    count: int = 0
    has_event_without_id: bool = False
    """Whether an event without an identifier follows the last one that has one."""

    @property
    def can_resume(self) -> bool:
        """Return whether the last identifier tells which events the caller has."""
        return self.last_id is not None and not self.has_event_without_id


class EventFramer:
    """Splits one attempt's answer into complete events and advances the caller's position.

    An attempt that continues a stream may repeat events that the caller has; these are dropped.
    Events that are missing, repeated later on or part of another answer end the stream with
    BrokenStreamError, after the events before them.
    """

    __slots__ = (
        "_failure",
        "_has_new_event",
        "_is_continued",
        "_is_resumed",
        "_partial_event",
        "_position",
    )

    def __init__(self, position: StreamPosition) -> None:
        """Start with the attempt's first byte."""
        self._partial_event = bytearray()
        self._position = position
        self._is_continued = position.last_id is not None
        self._is_resumed = position.count > 0
        self._has_new_event = False
        self._failure: BrokenStreamError | None = None

    @property
    def partial_event_bytes(self) -> int:
        """Return the size of the buffered incomplete event."""
        return len(self._partial_event)

    @property
    def has_failed(self) -> bool:
        """Return whether nothing more of the answer can be relayed."""
        return self._failure is not None

    def feed(self, chunk: bytes, *, is_delimited: bool = True) -> bytes:
        """Add a chunk and return the complete events so far, possibly none.

        `is_delimited` is false if only the end of the connection ends the answer, so that another
        answer may follow in it.
        """
        if self._failure is not None:
            return b""
        events = split_complete_events(self._partial_event, chunk)
        if not events and len(self._partial_event) > MAX_EVENT_BYTES:
            self._failure = BrokenStreamError("an event of the stream is too large")
        accepted: list[bytes] = []
        for event in events.split(EVENT_DELIMITER)[:-1]:
            complete_event = event + EVENT_DELIMITER
            try:
                if self._is_new(complete_event, is_delimited=is_delimited):
                    accepted.append(complete_event)
            except BrokenStreamError as err:
                self._failure = err
                break
        return b"".join(accepted)

    def raise_failure(self) -> None:
        """Raise BrokenStreamError if nothing more of the answer can be relayed."""
        if self._failure is not None:
            raise self._failure

    def finish(self, *, is_delimited: bool = True) -> None:
        """Raise BrokenStreamError if the answer did not end after a complete event.

        Without any event, the end of the connection alone does not make an answer complete.
        """
        self.raise_failure()
        if self._partial_event:
            raise BrokenStreamError("the stream ended within an event")
        if not is_delimited and not self._has_new_event:
            raise BrokenStreamError("the connection ended without an event")

    def _is_new(self, event: bytes, *, is_delimited: bool) -> bool:
        """Return whether to relay an event, and advance the position if so."""
        if not is_event(event):
            raise BrokenStreamError("the stream contains bytes that are no event")
        own_id = event_id(event)
        number, last = _number(own_id), _number(self._position.last_id)
        if number is not None and last is not None:
            if number <= last:
                if self._is_continued and not self._has_new_event:
                    return False
                raise BrokenStreamError("the stream repeats an event")
            if self._is_resumed and number > last + 1:
                raise BrokenStreamError("the resumed stream is missing an event")
        if number is None and last is not None and self._has_new_event:
            self._check_unnumbered(event, has_id=own_id is not None, is_delimited=is_delimited)
        if own_id is not None:
            self._position.last_id = own_id
            self._position.has_event_without_id = False
            self._has_new_event = True
        elif _DATA.search(event) is not None:
            self._position.has_event_without_id = True
            self._has_new_event = True
        self._position.count += 1
        return True

    def _check_unnumbered(self, event: bytes, *, has_id: bool, is_delimited: bool) -> None:
        """Raise BrokenStreamError if an event without a number can't follow numbered ones.

        Where only the connection's end delimits the stream, its events must all have numbers, as
        nothing else tells them from other bytes; comments and the end marker need none.
        """
        content = event.strip()
        is_numbered_only = not is_delimited and not content.startswith(b":")
        if has_id or (is_numbered_only and content not in (b"", END_MARKER)):
            raise BrokenStreamError("an event of the stream is out of order")


def _number(text: str | None) -> int | None:
    """Return the number in an identifier, or None if it is not a short decimal."""
    text = (text or "").strip()
    return int(text) if text.isdecimal() and len(text) <= _MAX_NUMBER_DIGITS else None
