"""Tests of the detection of another response's bytes within a body.

They guard against bodies that contain other bytes, and against refusing answers that quote HTTP.
"""

from __future__ import annotations

import unittest

from wagtailusher_http import Headers
from wagtailusher_http.foreign_bytes import (
    begins_response,
    contains_foreign_head,
    ends_within_status_line,
)

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Request: 7\r\n\r\n"


def states_request(headers: Headers) -> bool:
    """Return whether headers state a request."""
    return "x-request" in headers


class ForeignHeadTest(unittest.TestCase):
    """A head that states a request, or that the body's end cuts off, is another response's."""

    def test_head_is_foreign_wherever_the_body_ends_behind_its_status_line(self) -> None:
        for size in range(HEAD.index(b"\n") + 1, len(HEAD) + 1):
            self.assertTrue(contains_foreign_head(b"own" + HEAD[:size], states_request), size)

    def test_quoted_head_is_not_foreign(self) -> None:
        quoted = HEAD.replace(b"X-Request", b"X-Other")
        for body in (quoted + b"body", b"HTTP/1.1 200 OK\r\nno field", b"HTTP/1.1 200 OK\nX: 1"):
            self.assertFalse(contains_foreign_head(body, states_request), body)

    def test_body_may_end_within_a_status_line(self) -> None:
        line_bytes = HEAD.index(b"\r\n") + 1
        for size in range(1, line_bytes + 1):
            self.assertTrue(ends_within_status_line(b"own" + HEAD[:size]), size)
        for body in (b"", b"own", b"HTTP/1.1 200 OK\r\n", b"HTTP/2 "):
            self.assertFalse(ends_within_status_line(body), body)

    def test_surplus_begins_a_response(self) -> None:
        for data in (b"", b"\r\n", b"H", b"HTTP/1.", HEAD, b"\r\n" + HEAD):
            self.assertTrue(begins_response(data), data)
        for data in (b"TTP/1.1 200", b"0 OK\r\n", b"\x16", b"HTTP/3", HEAD[1:]):
            self.assertFalse(begins_response(data), data)


if __name__ == "__main__":
    unittest.main()
