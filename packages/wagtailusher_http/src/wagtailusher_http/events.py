"""Detection of server-sent event streams and splitting at event boundaries."""

from __future__ import annotations

import re

from wagtailusher_http.headers import Headers

EVENTS_TYPE = "text/event-stream"
EVENT_DELIMITER = b"\n\n"

_LINE = re.compile(rb"(?:[A-Za-z][A-Za-z0-9_-]*)?:[^\r\n]*|data|event|id|retry")
"""A field or a comment. Streams end their lines with a line feed only."""
_ID = re.compile(rb"^id: ?(.*)$", re.MULTILINE)


def is_event(block: bytes) -> bool:
    """Return whether the lines between two delimiters are those of one event.

    They are fields or comments, with one identifier at most. Bytes of another response aren't.
    """
    lines = block.strip(b"\n").split(b"\n")
    if lines != [b""] and not all(_LINE.fullmatch(line) for line in lines):
        return False
    return len(_ID.findall(block)) <= 1


def event_id(event: bytes) -> str | None:
    """Return the identifier of an event, or None if it has none."""
    found = _ID.search(event)
    return found[1].decode("latin-1").strip() if found is not None else None


def is_event_stream(headers: Headers) -> bool:
    """Return whether the response is a stream of server-sent events."""
    return (headers.get("content-type") or "").startswith(EVENTS_TYPE)


def split_complete_events(rest: bytearray, chunk: bytes) -> bytes:
    """Add a chunk to the incomplete event in `rest`; return the events that are complete now.

    `rest` keeps the bytes after them. Only the chunk is searched, so that an event costs the same
    in however many chunks it arrives.
    """
    # A delimiter may begin with the last byte of the rest.
    overlap = bytes(rest[-1:])
    end = (overlap + chunk).rfind(EVENT_DELIMITER) + len(EVENT_DELIMITER) - len(overlap)
    if end < len(EVENT_DELIMITER) - len(overlap):
        rest += chunk
        return b""
    events = bytes(rest) + chunk[:end] if rest else chunk[:end]
    rest[:] = chunk[end:]
    return events
