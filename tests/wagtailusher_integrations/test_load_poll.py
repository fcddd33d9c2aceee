"""Tests of load polls at engines that are not running or don't answer."""

from __future__ import annotations

import asyncio
from dataclasses import replace
import unittest

from tests.standins.engine import EngineStandin
from wagtailusher_core import EndpointId, FailureDomainId, PoolId
from wagtailusher_http import HttpClient
from wagtailusher_integrations.engine import EngineCoordinator
from wagtailusher_placement import EndpointInfo


class LoadPollTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an engine taken for restarted, or a stopped one for running."""

    async def asyncSetUp(self) -> None:
        self.client = HttpClient()
        self.engines = EngineCoordinator(self.client)
        self.server = await asyncio.start_server(self._async_close, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.endpoint = EndpointInfo(
            endpoint_id=EndpointId("engine-0"),
            pool_ids=frozenset({PoolId("model")}),
            failure_domain_id=FailureDomainId("domain-0"),
            address=f"{host}:{port}",
        )

    async def asyncTearDown(self) -> None:
        self.client.close()
        self.server.close()
        await self.server.wait_closed()

    async def _async_close(self, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Close a connection without an answer."""
        writer.close()

    async def _async_poll(self) -> list[EndpointId]:
        """Poll the engine and return the endpoints that refused a connection."""
        refused: list[EndpointId] = []
        reports = await self.engines.async_poll_load(
            [self.endpoint], lambda: 1, on_refused=refused.append
        )
        self.assertEqual(reports, [])
        return refused

    async def test_stopped_engine_refuses_the_connection(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        self.assertEqual(await self._async_poll(), [EndpointId("engine-0")])

    async def test_closed_connection_is_no_refusal(self) -> None:
        self.assertEqual(await self._async_poll(), [])

    async def test_poll_over_a_new_connection_leaves_none_behind(self) -> None:
        """Its end would be the reason for another poll, again and again."""
        for new_connection, idle_count in ((False, 1), (True, 0)):
            with self.subTest(new_connection=new_connection):
                ended: list[str] = []
                client = HttpClient(on_idle_end=ended.append)
                self.addCleanup(client.close)
                engine = EngineStandin("engine-0")
                await engine.async_start()
                endpoint = replace(self.endpoint, address=engine.address)
                reports = await EngineCoordinator(client).async_poll_load(
                    [endpoint], lambda: 1, new_connection=new_connection
                )
                self.assertEqual(len(reports), 1)
                await engine.async_stop()
                await asyncio.sleep(0.05)
                self.assertEqual(len(ended), idle_count)
