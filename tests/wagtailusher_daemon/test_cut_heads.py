"""End-to-end tests of endpoints that stop within the head of an answer.

They guard against a success with an empty or short body that looks whole to its caller.
"""

from __future__ import annotations

from itertools import product

from tests.standins.raw_endpoint import RawRequest, response
from tests.wagtailusher_daemon.test_cut_answers import (
    EVENT_STREAM,
    OWN_JSON,
    OWN_STREAM,
    OWN_TEXT,
    CutAnswerCase,
    Parts,
    without_resume,
    write_parts,
)

ENDS = ("close", "reset")
CUT_BYTES = (1, 12, 15, 16, 17, 40, -4, -3, -2, -1)
"""Bytes of the head that are written; from its end if negative."""


def half_head(body: bytes, cut_bytes: int, content_type: str, *, has_length: bool = True) -> Parts:
    """Return parts that are the beginning of an answer's head."""

    def parts(request: RawRequest) -> tuple[bytes, ...]:
        whole = response(body, request.request_id, content_type=content_type, has_length=has_length)
        head = whole[: whole.index(b"\r\n\r\n") + 4]
        return (head[:cut_bytes],)

    return parts


class CutHeadTest(CutAnswerCase):
    """No part of a head brings a caller a success."""

    async def test_half_a_head_of_an_engine_is_no_answer(self) -> None:
        for end, cut_bytes, has_length in product(ENDS, CUT_BYTES, (True, False)):
            with self.subTest(end=end, cut_bytes=cut_bytes, has_length=has_length):
                parts = half_head(OWN_JSON, cut_bytes, "application/json", has_length=has_length)
                self.set_reply(write_parts(parts, end=end))
                status, body, _ = await self.async_chat(stream=False)
                self.assertEqual(status, 502, body)

    async def test_half_a_head_of_a_stream_is_no_answer(self) -> None:
        for end, cut_bytes, has_length in product(ENDS, CUT_BYTES, (True, False)):
            with self.subTest(end=end, cut_bytes=cut_bytes, has_length=has_length):
                parts = half_head(OWN_STREAM, cut_bytes, EVENT_STREAM, has_length=has_length)
                self.set_reply(write_parts(without_resume(parts), end=end))
                status, body, _ = await self.async_chat(stream=True)
                self.assertEqual(status, 502, body)

    async def test_half_a_head_of_a_service_is_no_answer(self) -> None:
        for end, cut_bytes, has_length in product(ENDS, CUT_BYTES, (True, False)):
            with self.subTest(end=end, cut_bytes=cut_bytes, has_length=has_length):
                parts = half_head(OWN_TEXT, cut_bytes, "text/plain", has_length=has_length)
                self.set_reply(write_parts(parts, end=end))
                await self.async_expect_failed_call()
                ticket = await self.fleet.async_ticket()
                status, value = await self.fleet.async_book("b", ticket)
                self.assertEqual((status, value["error"]["outcome"]), (502, "unknown"))
