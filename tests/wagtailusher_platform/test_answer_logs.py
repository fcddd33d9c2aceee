"""Tests of the log fields that tell which bytes were taken for an answer."""

from __future__ import annotations

from tests.standins.runner import answer, extra_answer, mismatched_then_answer, unframed
from tests.wagtailusher_platform.fleet import PlatformTest


class AnswerLogTest(PlatformTest):
    """The log tells where an answer's bytes came from."""

    async def test_log_line_has_the_history_of_the_answers_connection(self) -> None:
        """A skipped response, a reused connection and a body without length are told apart."""
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        with self.assertLogs("wagtailusher_gateway.request_record") as logs:
            for behaviour in (answer(), mismatched_then_answer(b"mine"), unframed(b"all")):
                runners[0].behaviours = [behaviour]
                await (await self.async_ask(app, "/book/", b"x")).async_read()
        first, skipped, unframed_body = (vars(line) for line in logs.records)
        self.assertEqual((first["connection_requests"], first["skipped_responses"]), (1, 0))
        self.assertEqual((skipped["connection_requests"], skipped["skipped_responses"]), (2, 1))
        self.assertEqual(
            (skipped["ends_with_connection"], unframed_body["ends_with_connection"]), (False, True)
        )
        self.assertTrue(skipped["has_answer_id"])

    async def test_log_line_has_the_bytes_behind_the_answers_end(self) -> None:
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        with self.assertLogs("wagtailusher_gateway.request_record") as logs:
            for behaviour in (answer(), extra_answer()):
                runners[0].behaviours = [behaviour]
                await (await self.async_ask(app, "/book/", b"x")).async_read()
        own, extra = (vars(line) for line in logs.records)
        self.assertEqual(own["surplus_bytes"], 0)
        self.assertGreater(extra["surplus_bytes"], 0)
