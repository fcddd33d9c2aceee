"""Tests of endpoints with the longest identifiers that a store's keys allow.

They guard against messages between VMs that exceed a datagram, and against errors in one step that
take other work with them.
"""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from unittest.mock import patch

from tests.standins.runner import stream
from tests.wagtailusher_platform.fleet import PlatformTest, configuration
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp

ENGINES = 9
EVENTS = 4
LAST_EVENT = b"data: token %d\n\n" % EVENTS
LONG_ID = "{:0192}"
STREAMS = 40
TIMEOUT_MS = 8_000
LONG_PROMPT = {"x_token_count": "30000,100", "x_prompt_prefix": "aa:30000"}


class LongNamesTest(PlatformTest):
    """Two VMs before nine engines, each of which has requests."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        document = configuration()
        for route in document["routes"]:
            route["timeout_ms"] = TIMEOUT_MS
        self.store.put("op/config", document)
        for number in range(ENGINES):
            await self.async_runner("engines", LONG_ID.format(number), stream(EVENTS, gap_s=0.42))
        self.vm, self.peer = [await self.async_gateway(number) for number in (1, 2)]
        for app in (self.vm, self.peer):
            await self.async_ready(app, ENGINES)
            await self.async_settled(app)

    async def _async_stream(self, app: GatewayApp, **fields: str) -> tuple[int, bytes]:
        """Return the status and the body of a stream."""
        fields["x_deadline_ms"] = str(TIMEOUT_MS)
        reply = await self.async_ask(app, "/chat/1", b"x", **fields)
        return reply.status, await reply.async_read(TIMEOUT_MS)

    def _start_streams(self) -> list[asyncio.Task[tuple[int, bytes]]]:
        return [asyncio.create_task(self._async_stream(self.vm)) for _ in range(STREAMS)]

    async def test_stop_with_requests_at_many_endpoints_cuts_no_stream(self) -> None:
        streams = self._start_streams()
        await asyncio.sleep(0.6)
        self.apps.remove(self.vm)
        await self.vm.async_stop()
        ends = await asyncio.gather(*streams)
        refused = [body for status, body in ends if status != 200]
        self.assertEqual([status for status, _ in ends], [200] * STREAMS, refused)
        self.assertTrue(all(body.endswith(LAST_EVENT) for _, body in ends))

    async def test_long_prompt_beside_requests_at_many_endpoints_is_served(self) -> None:
        streams = self._start_streams()
        await asyncio.sleep(0.2)
        status, body = await self._async_stream(self.vm, **LONG_PROMPT)
        self.assertEqual((status, body.endswith(LAST_EVENT)), (200, True))
        await asyncio.gather(*streams)

    async def test_peers_hear_of_a_vm_with_requests_at_many_endpoints(self) -> None:
        streams = self._start_streams()
        await asyncio.sleep(1.5)
        live_ids = {item.vm_id for item in self.peer.fleet.live_members(monotonic_ms())}
        self.assertIn(self.vm.options.vm_id, live_ids)
        await asyncio.gather(*streams)


class BrokenStepTest(PlatformTest):
    """One step of the periodic work or of a stop raises an error."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        behaviour = stream(EVENTS, gap_s=0.3)
        self.vm, _ = await self.async_endpoints_and_gateway("engines", (behaviour,))

    async def test_error_in_one_step_of_the_tick_leaves_out_no_other(self) -> None:
        parts = [
            *(self.vm.heartbeats, self.vm.stream_versions, self.vm.quarantine),
            *(self.vm.crash_watch, self.vm.findings, self.vm.view_cache),
        ]
        for broken in parts:
            with self.subTest(broken=type(broken).__name__), ExitStack() as stack:
                ticks = [stack.enter_context(patch.object(part, "tick")) for part in parts]
                ticks[parts.index(broken)].side_effect = RuntimeError
                with self.assertLogs("wagtailusher_daemon.steps", "ERROR"):
                    self.vm._tick()
                self.assertTrue(all(tick.called for tick in ticks))

    async def test_error_in_any_step_of_a_stop_cuts_no_stream(self) -> None:
        steps: list[tuple[object, str]] = [
            *((self.vm.heartbeats, "send_all"), (self.vm.crash_watch, "close")),
            *((self.vm._tasks, "async_stop"), (self.vm.servers, "async_close")),
        ]
        request = asyncio.create_task(self._async_body())
        await asyncio.sleep(0.4)
        self.apps.remove(self.vm)
        with ExitStack() as stack:
            for owner, name in steps:
                stack.enter_context(patch.object(owner, name, side_effect=RuntimeError))
            with self.assertLogs("wagtailusher_daemon.steps", "ERROR") as logs:
                await self.vm.async_stop()
        self.assertEqual(len(logs.records), len(steps))
        self.assertTrue((await request).endswith(LAST_EVENT))
        await self.vm._tasks.async_stop()
        await self.vm.servers.async_close()

    async def _async_body(self) -> bytes:
        reply = await self.async_ask(self.vm, "/chat/1", b"x")
        return await reply.async_read(4_000)
