"""Tests of the detection of another response's bytes within a body.

They guard against bodies that contain other bytes, and against refusing answers that quote HTTP.
"""

from __future__ import annotations

import unittest

from wagtailusher_http import Headers
from wagtailusher_http.foreign_bytes import (
    begins_response,
    contains_foreign_head,
    may_end_within_head,
)

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Request: 7\r\n\r\n"


def states_request(headers: Headers) -> bool:
    """Return whether headers state a request."""
    return "x-request" in headers


class ForeignHeadTest(unittest.TestCase):
    """A head that states a request, or that the body's end cuts off, is another response's."""

    def test_head_that_states_a_request_is_foreign(self) -> None:
        self.assertTrue(contains_foreign_head(b"own" + HEAD + b"body", states_request))
        self.assertTrue(contains_foreign_head(HEAD[:-2], states_request))
        self.assertTrue(contains_foreign_head(HEAD.replace(b"\r\n", b"\n"), states_request))
        folded = HEAD.replace(b"text/plain", b"text/plain;\r\n a=b").replace(b"t: 7", b"t : 7")
        self.assertTrue(contains_foreign_head(folded, states_request))

    def test_quoted_head_is_not_foreign(self) -> None:
        quoted = HEAD.replace(b"X-Request", b"X-Other")
        for body in (quoted + b"body", b"HTTP/1.1 200 OK\r\nno field", b"HTTP/1.1 200 OK\nX: 1"):
            self.assertFalse(contains_foreign_head(body, states_request), body)

    def test_body_may_end_anywhere_within_a_head(self) -> None:
        for size in range(1, len(HEAD)):
            self.assertTrue(may_end_within_head(b"own" + HEAD[:size]), size)
        for body in (b"", b"own", HEAD + b"x", b"HTTP/1.1 200 OK\r\nno field", b"HTTP/2 "):
            self.assertFalse(may_end_within_head(body), body)

    def test_surplus_begins_a_response(self) -> None:
        for data in (b"", b"\r\n", b"H", b"HTTP/1.", HEAD, b"\r\n" + HEAD):
            self.assertTrue(begins_response(data), data)
        for data in (b"TTP/1.1 200", b"0 OK\r\n", b"\x16", b"HTTP/3", HEAD[1:]):
            self.assertFalse(begins_response(data), data)


if __name__ == "__main__":
    unittest.main()
