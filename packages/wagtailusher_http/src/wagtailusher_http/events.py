"""Server-sent events: which answers are such streams, and cutting them at whole events."""

from __future__ import annotations

from wagtailusher_http.headers import Headers

EVENTS_TYPE = "text/event-stream"
EVENT_DELIMITER = b"\n\n"


def is_event_stream(headers: Headers) -> bool:
    """Tell whether an answer is a stream of server-sent events."""
    return (headers.get("content-type") or "").startswith(EVENTS_TYPE)


def split_complete_events(rest: bytes, chunk: bytes) -> tuple[bytes, bytes]:
    """Return the whole events of what was held back and a chunk, and what is held back now."""
    data = rest + chunk if rest else chunk
    end = data.rfind(EVENT_DELIMITER) + len(EVENT_DELIMITER)
    if end < len(EVENT_DELIMITER):
        return b"", data
    rest = data[end:]
    return data[:end] if rest else data, rest
