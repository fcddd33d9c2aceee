"""Detection of bytes of another response within a body.

An endpoint may stop within a body and answer once more on the same connection. The other response
then takes the place of the rest that the first one declared.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
import re

from wagtailusher_http.const import MAX_STATUS_LINE_BYTES
from wagtailusher_http.headers import Headers, RawHeader

EMPTY_LINES = b"\r\n"
"""Line ends that may precede a response."""

StatesRequest = Callable[[Headers], bool]
"""Returns whether a response's headers state the request that it belongs to."""

_RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-5]\d\d[^\r\n]{0,256}\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]*(?::|\Z)"
    rb"|HTTP/1\.[01] [^\r\n]{0,256}\r\n(?:[^\r\n]{0,256}\r\n)?\r\n"
)
"""A status line and the name of the first header field, which the end may cut off; or the lines of
a malformed head without fields. Lines are short, so that a search takes linear time."""
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d[^\r\n]{0,256}\r?\n")
_FIELD = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+)[ \t]*:[ \t]*([^\r\n]*)\r?\n(?:[ \t][^\r\n]*\r?\n)*"
)
"""A field with its continuation lines."""
_CUT_FIELD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]*(?::[^\r\n]*)?\r?\Z")
_CUT_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d[^\r\n]{0,256}\r?\Z")
_MIN_CUT_BYTES = len(b"HTTP/1.")
"""Part of a status line that no body without a length may end with."""
_STATUS_PREFIX = (
    b"H",
    b"T",
    b"T",
    b"P",
    b"/",
    b"1",
    b".",
    b"01",
    b" ",
    b"12345",
    *(b"0123456789",) * 2,
)
"""The bytes that each position of a status line may have, up to its status code."""


def contains_response_head(body: bytes) -> bool:
    """Return whether a part of a body looks like another response's head.

    Where only the end of the connection delimits a body, nothing else tells them apart.
    """
    return _RESPONSE_HEAD.search(body) is not None or _ends_within_status_line(body, _MIN_CUT_BYTES)


def contains_foreign_head(body: bytes, states_request: StatesRequest) -> bool:
    """Return whether a body contains a response's head that states a request.

    A body that quotes a response contains a head, too, but states no request in it.
    """
    return any(states_request(Headers.from_raw(fields)) for fields, _ in _iter_heads(body))


def may_end_within_head(body: bytes) -> bool:
    """Return whether a body may end within another response's head."""
    if _ends_within_status_line(body, 1):
        return True
    return any(_CUT_FIELD.match(body, end) for _, end in _iter_heads(body))


def _iter_heads(body: bytes) -> Iterator[tuple[list[RawHeader], int]]:
    """Yield the fields of each response head within a body, and where they end."""
    position = 0
    while (line := _STATUS_LINE.search(body, position)) is not None:
        fields, position = [], line.end()
        while (field := _FIELD.match(body, position)) is not None:
            fields.append((field[1].lower(), field[2]))
            position = field.end()
        yield fields, position


def _ends_within_status_line(body: bytes, min_bytes: int) -> bool:
    """Return whether a body ends with a part of a status line, not including its end."""
    if _CUT_STATUS_LINE.search(body, max(0, len(body) - MAX_STATUS_LINE_BYTES)):
        return True
    longest = min(len(body), len(_STATUS_PREFIX))
    return any(_is_status_prefix(body[-size:]) for size in range(min_bytes, longest + 1))


def begins_response(data: bytes) -> bool:
    """Return whether data is the beginning of a response, possibly behind empty lines."""
    return _is_status_prefix(data.lstrip(EMPTY_LINES))


def _is_status_prefix(data: bytes) -> bool:
    """Return whether data and a status line agree in all bytes that both have."""
    return all(byte in allowed for byte, allowed in zip(data, _STATUS_PREFIX, strict=False))
