"""Tests of the mapping of the platform's headers.

They guard against forged headers that reach an endpoint, and against requests refused or answers
misread because of optional headers.
"""

from __future__ import annotations

import unittest

from wagtailusher_core import EndpointId, WorkspaceId
from wagtailusher_gateway import ForwardContext, RefusedError
from wagtailusher_http import Headers
from wagtailusher_platform.headers import (
    read_answer,
    read_request,
    request_headers,
    retry_after,
)

REQUIRED = {"host": "shop.example", "x-attempt-id": "a1"}


class HeadersTest(unittest.TestCase):
    """Headers are parsed, and those that callers may not set are not forwarded."""

    def test_terms_of_a_prompt(self) -> None:
        """Tokens and parts are parsed; the last part is the request's own."""
        fields = REQUIRED | {
            "x-token-count": "1460,80",
            "x-prompt-prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
            "x-deadline-ms": "4000",
            "authorization": "Bearer key",
        }
        terms = read_request(Headers(fields.items()))
        self.assertEqual((terms.prompt_tokens, terms.max_output_tokens), (1460, 80))
        self.assertEqual([part.tokens for part in terms.shared_parts], [800, 410])
        self.assertEqual((terms.deadline_ms, terms.api_key), (4000, "key"))

    def test_terms_of_a_resumed_stream(self) -> None:
        terms = read_request(Headers((REQUIRED | {"last-event-id": "3", "resumes": "a0"}).items()))
        self.assertEqual((terms.resume_after, terms.resumes_id), ("3", "a0"))

    def test_invalid_estimates_are_ignored(self) -> None:
        """Invalid values that are only used for placement never make a request fail."""
        fields = REQUIRED | {
            "x-token-count": "many",
            "x-prompt-prefix": "a:b,,c",
            "x-deadline-ms": "-5",
        }
        terms = read_request(Headers(fields.items()))
        self.assertEqual((terms.prompt_tokens, terms.parts, terms.deadline_ms), (0, (), None))

    def test_identifiers_beyond_latin_1_are_sent_as_utf_8(self) -> None:
        context = ForwardContext(
            endpoint_id=EndpointId("\u0142\u00f3d\u017a-1"),
            left_ms=1,
            workspace_id=WorkspaceId("\u6771\u4eac"),
            rank=1,
            resume_after=None,
        )
        raw = dict(request_headers(Headers(REQUIRED.items()), context).raw)
        self.assertEqual(raw[b"x-tenant"], "\u6771\u4eac".encode())
        self.assertEqual(raw[b"x-expect-instance"], "\u0142\u00f3d\u017a-1".encode())

    def test_request_without_identifier_is_refused(self) -> None:
        """Without an identifier an answer can't be matched to its request."""
        for missing in REQUIRED:
            fields = {name: value for name, value in REQUIRED.items() if name != missing}
            with self.assertRaises(RefusedError) as caught:
                read_request(Headers(fields.items()))
            self.assertEqual(caught.exception.status, 400)

    def test_forged_and_hop_fields_are_dropped(self) -> None:
        """Headers that the gateway sets, and hop-by-hop headers, are not forwarded."""
        forged = (
            "x-tenant",
            "x-hold",
            "x-pin-ms",
            "x-kv-backup",
            "kv-from",
            "kv-fetch",
            "x-request-priority",
            "x-expect-version",
            "authorization",
            "x-one-hop",
        )
        fields = REQUIRED | dict.fromkeys(forged, "forged") | {"connection": "close, X-One-Hop"}
        forward_context = ForwardContext(
            endpoint_id=EndpointId("i-1"),
            left_ms=250,
            workspace_id=WorkspaceId("members"),
            rank=12,
        )
        passed = dict(request_headers(Headers(fields.items()), forward_context))
        self.assertNotIn("forged", passed.values())
        self.assertNotIn("connection", passed)
        self.assertEqual(passed["x-deadline-ms"], "250")
        self.assertEqual((passed["x-tenant"], passed["x-request-priority"]), ("members", "9"))

    def test_statements_of_answers(self) -> None:
        """A request counts as not run only if the endpoint states it."""
        self.assertTrue(read_answer(503, Headers([("x-not-executed", "1")])).not_run)
        self.assertFalse(read_answer(503, Headers()).not_run)
        misdirected = read_answer(421, Headers())
        self.assertTrue(misdirected.not_run and misdirected.wrong_incarnation)

    def test_retry_after_has_fractions(self) -> None:
        """Times below a second are not rounded."""
        self.assertEqual(retry_after(150), "0.150")


if __name__ == "__main__":
    unittest.main()
