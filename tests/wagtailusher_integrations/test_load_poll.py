"""Tests of load polls at engines that are not running or don't answer."""

from __future__ import annotations

import asyncio
import unittest

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
