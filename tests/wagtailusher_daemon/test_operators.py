"""Tests of the operators' command with running apps."""

from __future__ import annotations

import asyncio
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
import json
from typing import Any
import unittest

from tests.standins.config_service import async_wait_until
from tests.wagtailusher_daemon.fleet import MODEL, Fleet, settings_document
from wagtailusher_cli.main import run
from wagtailusher_http import HttpClient

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


class OperatorsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against operator output that differs from what the apps did."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.async_start()
        self.addresses = ",".join(app.operator_address for app in self.fleet.apps)

    async def asyncTearDown(self) -> None:
        await self.fleet.async_stop()

    async def _async_run(self, *arguments: str) -> tuple[int, Any]:
        """Run a command in a thread and return its exit code and its last JSON value."""
        output = StringIO()

        def run_command() -> int:
            with redirect_stdout(output), redirect_stderr(StringIO()):
                return run([*arguments, "--address", self.addresses, "--json"])

        code = await asyncio.to_thread(run_command)
        text = output.getvalue().strip()
        if arguments[0] == "watch-drain":
            text = text.splitlines()[-1]
        return code, json.loads(text) if text else None

    async def test_commands_show_the_fleet(self) -> None:
        code, answers = await self._async_run("fleet")
        self.assertEqual(code, 0, answers)
        text = json.dumps(answers)
        for app in self.fleet.apps:
            self.assertIn(app.vm_id, text)
        for command in ("stewards", "drains", "quarantine", "refusals", "advise"):
            with self.subTest(command=command):
                code, _ = await self._async_run(command)
                self.assertIn(code, (0, 1))

    async def test_explain_shows_the_endpoint_of_a_request(self) -> None:
        value = {"model": MODEL, "messages": [{"role": "user", "content": "x"}]}
        answer = await self.fleet.async_post(
            "/v1/chat/completions", value, headers={"traceparent": TRACEPARENT}
        )
        await answer.async_read()
        code, found = await self._async_run("explain", TRACE_ID)
        self.assertEqual(code, 0)
        text = json.dumps(found)
        self.assertIn('"outcome": "completed"', text)
        used = [engine.engine_id for engine in self.fleet.engines if engine.counters.started]
        self.assertIn(used[0], text)
        code, _ = await self._async_run("explain", "f" * 32)
        self.assertEqual(code, 1)

    async def test_watch_drain_waits_until_requests_completed(self) -> None:
        long_answer = asyncio.create_task(self.fleet.async_chat(max_tokens=150))
        await async_wait_until(
            lambda: any(engine.counters.started for engine in self.fleet.engines)
        )
        document = settings_document(2, drained_domains=["domain-0"])
        self.fleet.config_service.publish("settings", document)
        code, _ = await self._async_run("watch-drain", "domain-0", "--timeout-s", "30")
        self.assertEqual(code, 0)
        counters = [engine.counters for engine in self.fleet.engines]
        self.assertEqual(sum(item.completed for item in counters), 1)
        status, body = await long_answer
        self.assertEqual((status, body.count(b"data: ")), (200, 151))

    async def test_metrics_are_scraped(self) -> None:
        await self.fleet.async_chat()
        async with HttpClient() as client:
            address = self.fleet.apps[0].operator_address
            answer = await client.async_request(address, "GET", "/metrics")
            text = (await answer.async_read()).decode()
        self.assertIn('wagtailusher_requests_total{outcome="completed",tier="2"} 1', text)


if __name__ == "__main__":
    unittest.main()
