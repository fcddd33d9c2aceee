"""Tests of streams at an engine that several VMs overload together."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.standins.batching_engine import BatchingEngine
from tests.wagtailusher_platform.fleet import KEY, WORKSPACE, PlatformTest, configuration
from wagtailusher_gateway import GatewayApp

URGENT_KEY = "urgent-key"
CHAT_PRIORITY = 0
REVIEW_PRIORITY = 1
EVENT_COUNT = 30


def ranked_configuration() -> dict[str, Any]:
    """Return a configuration with chats above reviews, and one workspace above another."""
    document = configuration()
    priorities = {"chat": CHAT_PRIORITY, "review": REVIEW_PRIORITY}
    for route in document["routes"]:
        route["priority"] = priorities.get(route["name"], route["priority"])
    document["tenants"] = [
        {"name": WORKSPACE, "api_keys": [KEY], "priority": 1},
        {"name": "urgent", "api_keys": [URGENT_KEY], "priority": 0},
    ]
    return document


class PreemptionTest(PlatformTest):
    """Which of the requests that VMs sent to one engine it preempts."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("op/config", ranked_configuration())
        self.engine = BatchingEngine(batch_requests=2, event_count=EVENT_COUNT)
        await self.async_runner("engines", "i-1", self.engine.async_behave)
        for number in (1, 2):
            await self.async_ready(await self.async_gateway(number), 1)

    async def _async_start(self, app: GatewayApp, attempt_id: str, path: str, key: str) -> None:
        """Start reading a stream and wait until the engine runs it."""
        reply = await self.async_ask(
            app, path, b"prompt", x_attempt_id=attempt_id, authorization=f"Bearer {key}"
        )
        self.bodies.append(asyncio.ensure_future(reply.async_read()))
        await self.async_until(lambda: attempt_id in self.engine.running_ids)

    async def _async_preempted_ids(self, *streams: tuple[str, str, str]) -> list[str]:
        """Start streams at the VMs in turn; return the preempted ones once all are complete."""
        self.bodies: list[asyncio.Future[bytes]] = []
        for number, (attempt_id, path, key) in enumerate(streams):
            await self._async_start(self.apps[number % 2], attempt_id, path, key)
        for body in self.bodies:
            self.assertEqual((await body).count(b"data:"), EVENT_COUNT)
        return [preemption.attempt_id for preemption in self.engine.preemptions]

    async def test_chat_is_not_preempted_while_a_review_of_its_workspace_runs(self) -> None:
        preempted = await self._async_preempted_ids(
            ("review", "/review/", KEY), ("chat", "/chat/", KEY), ("urgent", "/chat/", URGENT_KEY)
        )
        self.assertEqual(preempted, ["review"])

    async def test_workspace_rank_precedes_the_routes(self) -> None:
        preempted = await self._async_preempted_ids(
            ("review", "/review/", URGENT_KEY),
            ("chat", "/chat/", KEY),
            ("urgent", "/chat/", URGENT_KEY),
        )
        self.assertEqual(preempted, ["chat"])
