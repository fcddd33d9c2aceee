"""Tests of workspaces that compete for an endpoint, through the whole path on loopback.

They guard against a workspace that waits behind all requests that a hot one sent before.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
import unittest

from tests.standins.runner import Received, RunnerStandin, signed_answer
from tests.wagtailusher_platform.fleet import KEY, PlatformTest, configuration
from wagtailusher_gateway import GatewayApp

LONG_MS = 60_000
"""Target and timeout of the requests; the test's order must not depend on the machine's speed."""

AT_ENDPOINT = 2
"""Requests that an endpoint with one slot gets at once."""


class GatedEndpoint:
    """An endpoint that answers when it is told to."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        self._may_answer = asyncio.Semaphore(0)

    def answer(self, count: int = 1) -> None:
        """Let some of the requests be answered."""
        for _ in range(count):
            self._may_answer.release()

    async def async_behave(
        self, runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request when it may be answered."""
        self.paths.append(request.target)
        await self._may_answer.acquire()
        writer.write(signed_answer(request, b"done"))
        await writer.drain()
        return True


class WorkspacesTest(PlatformTest):
    """A hot workspace has sent more than there is room for when a small one comes."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        document = configuration()
        for route in document["routes"]:
            route |= {"timeout_ms": LONG_MS, "target_latency_ms": LONG_MS}
        document["tenants"] = [
            {"name": "hot", "api_keys": [KEY], "priority": 1},
            {"name": "small", "api_keys": ["small-key"], "priority": 1},
        ]
        self.store.put("op/config", document)
        self.endpoint = GatedEndpoint()
        await self.async_runner("desk", "i-1", self.endpoint.async_behave, slots=1)
        self.app = await self.async_gateway()
        await self.async_ready(self.app, 1)

    async def _async_ask(self, app: GatewayApp, path: str, key: str) -> int:
        reply = await self.async_ask(
            app, path, authorization=f"Bearer {key}", x_deadline_ms=str(LONG_MS)
        )
        await reply.async_read(LONG_MS)
        return reply.status

    async def test_request_of_a_small_workspace_goes_before_those_that_a_hot_one_queued(
        self,
    ) -> None:
        async with asyncio.TaskGroup() as group:
            tasks = []
            for number in range(6):
                path = f"/look/hot-{number}"
                tasks.append(group.create_task(self._async_ask(self.app, path, KEY)))
            await self.async_until(lambda: self.app.dispatcher.admission.count == 6 - AT_ENDPOINT)
            task = group.create_task(self._async_ask(self.app, "/look/small", "small-key"))
            tasks.append(task)
            waiting = 7 - AT_ENDPOINT
            await self.async_until(lambda: self.app.dispatcher.admission.count == waiting)
            self.endpoint.answer()
            await self.async_until(lambda: len(self.endpoint.paths) > AT_ENDPOINT)
            self.endpoint.answer(6)
        self.assertEqual(self.endpoint.paths[AT_ENDPOINT], "/look/small")
        self.assertEqual([task.result() for task in tasks], [HTTPStatus.OK] * 7)


if __name__ == "__main__":
    unittest.main()
