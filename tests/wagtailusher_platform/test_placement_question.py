"""Test of the command that asks a running gateway where a request would go.

Guards against answers to callers, and against keys in the output.
"""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
from pathlib import Path
from tempfile import TemporaryDirectory

from tests.wagtailusher_platform.fleet import HOST, KEY, WORKSPACE, PlatformTest, free_ports
from wagtailusher_cli.main import run
from wagtailusher_quarantine import part_fingerprint


def ask(*arguments: str) -> tuple[int, str]:
    """Run the command; return its exit code and all output."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        code = run(["placement", *arguments])
    return code, output.getvalue()


class PlacementQuestionTest(PlatformTest):
    """One gateway with a metrics address and one desk."""

    async def test_operators_are_answered_and_callers_are_not(self) -> None:
        port = free_ports("127.0.0.1", 1)[0]
        self.environment = {"WAGTAILUSHER_METRICS_PORT": str(port)}
        app, runners = await self.async_endpoints_and_gateway("desk", ())
        address = app.options.metrics_listen or ""
        with TemporaryDirectory() as folder:
            key_file = Path(folder) / "key"
            key_file.write_text(KEY + "\n")
            asked = (HOST, "/look/1", "--address", address, "--key-file", str(key_file))
            code, text = await asyncio.to_thread(ask, *asked, "--json")
            _, table = await asyncio.to_thread(ask, *asked)
        self.assertEqual(code, 0, text)
        found = json.loads(text)["placements"][0]
        self.assertEqual((found["verdict"], found["endpoint_id"]), ("sent", "i-1"))
        self.assertIn("i-1", table)
        self.assertNotIn(KEY, text + table)
        self.assertEqual(runners[0].received, [])
        missing = await asyncio.to_thread(ask, HOST, "/look/1", "--address", address)
        self.assertEqual(missing[0], 1)
        self.assertIn("unauthorized", missing[1])
        bad = await asyncio.to_thread(ask, *asked[:4], "--parts", "x")
        self.assertEqual(bad[0], 3)
        self.assertIn("bad_request", bad[1])
        target = f"/placement?host={HOST}&path=/look/1"
        answer = await self.async_ask(app, target)
        self.assertEqual(answer.status, 404)
        await answer.async_read(1_000)
        app.quarantine._refused = frozenset({part_fingerprint("culprit")})
        code, text = await asyncio.to_thread(ask, *asked[:4], "--workspace-id", WORKSPACE, "--json")
        self.assertEqual(json.loads(text)["placements"][0]["verdict"], "sent")
        parts = ("--workspace-id", WORKSPACE, "--parts", "culprit:10,own:1", "--json")
        code, text = await asyncio.to_thread(ask, *asked[:4], *parts)
        refusal = json.loads(text)["placements"][0]["refusal"]
        self.assertEqual((code, refusal["code"]), (1, "quarantined"))
        self.assertGreater(refusal["retry_after_ms"], 0)
        for listen in (app.options.ready_listen, app.options.peer_listen):
            answer = await self.client.async_request(listen or "", "GET", target, host=HOST)
            self.assertGreaterEqual(answer.status, 400)
            await answer.async_read(1_000)
