"""Detection of server-sent event streams and splitting at event boundaries."""

from __future__ import annotations

import re

from wagtailusher_http.headers import Headers

EVENTS_TYPE = "text/event-stream"
EVENT_DELIMITER = b"\n\n"

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
"""May precede the first event."""
END_MARKER = b"data: [DONE]"
"""Event behind the last one of many engines' streams; it has no identifier."""
_LINE_END = re.compile(rb"\r\n|\n|\r")
_LINE = re.compile(rb"[!-9;-~]*:.*|[!-9;-~]+", re.DOTALL)
"""A comment, or a field with or without a value; unknown ones are ignored by callers."""
_KNOWN_LINE = re.compile(rb"(?:data|event|id|retry)?:.*|data|event|id|retry", re.DOTALL)
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d")
_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


def is_event(block: bytes) -> bool:
    """Return whether the lines between two delimiters are those of one event.

    They are fields or comments, at least one of them known, with one identifier at most. Bytes of
    another response aren't: its status line comes with unknown fields, and an empty line ends it.
    """
    content = block.removeprefix(BYTE_ORDER_MARK).strip(b"\n")
    if not content:
        return True
    lines = _LINE_END.split(content)
    known = [line for line in lines if _KNOWN_LINE.fullmatch(line)]
    if not known or not all(_LINE.fullmatch(line) for line in lines):
        return False
    if len(known) < len(lines) and _STATUS_LINE.search(content):
        return False
    return len(_ID.findall(content)) <= 1


def event_id(event: bytes) -> str | None:
    """Return the identifier of an event, or None if it has none."""
    found = _ID.search(event.removeprefix(BYTE_ORDER_MARK))
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
