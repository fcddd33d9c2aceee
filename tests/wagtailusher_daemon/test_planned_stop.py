"""End-to-end tests of VMs that stop by plan while their callers go on using them.

They guard against requests that end with a closed connection.
"""

from __future__ import annotations

import asyncio
import json
import unittest

from tests.wagtailusher_daemon.fleet import MODEL, Fleet
from wagtailusher_http import ConnectError, HttpError

GRACE_MS = 1_000
STEP_S = 0.1


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """One VM stops, with nobody to refer its callers to."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(vm_count=1, engine_count=1)
        await self.fleet.async_start()
        self.addAsyncCleanup(self.fleet.async_stop)
        self.address = self.fleet.apps[0].address

    async def _async_chat(self, *, stream: bool) -> tuple[int, bytes]:
        """Return the status and the body of a chat; the status is 0 if nothing listens."""
        value = {"model": MODEL, "stream": stream, "messages": [{"role": "user", "content": "q"}]}
        body = json.dumps(value).encode()
        try:
            answer = await self.fleet.client.async_request(
                self.address, "POST", "/v1/chat/completions", self.fleet.headers(), body
            )
        except ConnectError:
            return 0, b""
        return answer.status, await answer.async_read()

    async def _async_stop_during(self, count: int, *, stream: bool) -> list[tuple[int, bytes]]:
        """Stop the VM while chats arrive, from before the stop until the VM is gone."""
        tasks = []
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                tasks.append(group.create_task(self._async_chat(stream=stream)))
                await asyncio.sleep(STEP_S)
                if number == 1:
                    group.create_task(self.fleet.apps[0].async_stop(grace_ms=GRACE_MS))
        return [task.result() for task in tasks]

    async def test_chats_during_the_grace_are_answered_or_refused(self) -> None:
        answers = await self._async_stop_during(14, stream=False)
        self.assertEqual([status for status, _ in answers[:2]], [200, 200])
        self.assertLessEqual({status for status, _ in answers}, {200, 503, 0})

    async def test_chat_that_outlasts_the_grace_is_answered(self) -> None:
        """Nothing else can be said of it than that it may have run."""
        self.fleet.engines[0].behaviour.first_token_ms = 5 * GRACE_MS
        for stream in (False, True):
            with self.subTest(stream=stream):
                answers = await self._async_stop_during(2, stream=stream)
                for status, body in answers:
                    self.assertEqual(status, 502)
                    self.assertEqual(json.loads(body)["error"]["outcome"], "unknown")
                await self.fleet.async_replace(0)
                self.address = self.fleet.apps[0].address

    async def test_chat_that_has_begun_does_not_look_complete(self) -> None:
        self.fleet.engines[0].behaviour.between_tokens_ms = GRACE_MS
        value = {"model": MODEL, "stream": True, "messages": [{"role": "user", "content": "q"}]}
        answer = await self.fleet.async_post("/v1/chat/completions", value)
        stop = asyncio.ensure_future(self.fleet.apps[0].async_stop(grace_ms=GRACE_MS))
        with self.assertRaises(HttpError):
            await answer.async_read()
        await stop


if __name__ == "__main__":
    unittest.main()
