"""Matching of responses to the request that was sent."""

from __future__ import annotations

from collections.abc import Callable
import re

import h11

from wagtailusher_http.headers import Headers

ResponseMatcher = Callable[[Headers], bool]
"""Returns, from the response headers, whether a response belongs to the request sent."""

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}")


def contains_status_line(head: h11.Response) -> bool:
    """Return whether a head contains a second status line.

    Such a head was parsed from an incomplete head and the complete one behind it.
    """
    if _STATUS_LINE.search(head.reason):
        return True
    return any(_STATUS_LINE.search(value) for _, value in head.headers)


def match_identifier(name: str, value: str, *, required: bool) -> ResponseMatcher:
    """Return a matcher of responses that echo an identifier in the field `name`.

    A response that states the field more than once never matches. One without the field matches
    unless it is `required`.
    """
    wanted = name.lower()

    def matches(headers: Headers) -> bool:
        echoed = [text for field, text in headers if field == wanted]
        return echoed == [value] or not (echoed or required)

    return matches
