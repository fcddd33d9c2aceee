"""Matching of responses to the request that was sent."""

from __future__ import annotations

from collections.abc import Callable

from wagtailusher_http.headers import Headers

ResponseMatcher = Callable[[Headers], bool]
"""Returns, from the response headers, whether a response belongs to the request sent."""


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
