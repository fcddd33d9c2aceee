"""Subcommands on files and on a fake operator interface.

Guards against wrong output or exit codes, on which operators and their scripts rely, above all a
drain that is reported as safe while work still runs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import contextlib
import io
import json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
import unittest
from unittest.mock import patch

from wagtailusher_cli.main import run
from wagtailusher_http import HttpServer, Request, Response, async_serve, json_response
from wagtailusher_settings import ChunkAssembler, canonical_bytes, parse_manifest

EXAMPLE = Path(__file__).parents[2] / "examples" / "settings.yaml"
SETTINGS = {"vm_id": "vm-1", "revision": "0.4", "drained_domains": ["b"]}
ENDPOINT = {"endpoint_id": "e1", "failure_domain_id": "b", "state": "live", "in_flight": 3}
ANSWERS: dict[str, Any] = {
    "fleet": {"vm_id": "vm-1", "failure_domain_id": "a", "ready": True, "members": []},
    "settings": SETTINGS,
    "endpoints": {"vm_id": "vm-1", "endpoints": [ENDPOINT]},
    "quarantine": {"vm_id": "vm-1", "fingerprints": [{"fingerprint": "f1", "quarantined": True}]},
    "refusals": {
        "vm_id": "vm-1",
        "counts": [{"code": "shed", "tier": 6, "count": 2}],
        "refusals": [{"code": "shed", "outcome": "not_run", "age_ms": 5, "later_field": 1}],
    },
    "requests/t1": {
        "vm_id": "vm-1",
        "trace_id": "t1",
        "request_id": "r1",
        "workspace_id": "w",
        "route_id": "chat",
        "class_id": "advice",
        "tier": 2,
        "pool_id": "small",
        "state": "done",
        "outcome": "completed",
        "attempts": [
            {
                "endpoint_id": "e1",
                "started_after_ms": 4,
                "candidates": [{"endpoint_id": "e1", "score": 1.5}],
            }
        ],
    },
}


class FakeOperatorInterface:
    """Answers from a table by path; a list of answers is returned one by one."""

    def __init__(self, answers: Mapping[str, Any]) -> None:
        self._answers = dict(answers)
        self._server: HttpServer | None = None

    async def async_handle(self, request: Request) -> Response:
        """Answer one request."""
        answer = self._answers.get(request.path.removeprefix("/operator/v1/"))
        if isinstance(answer, list):
            answer = answer.pop(0) if len(answer) > 1 else answer[0]
        if answer is None:
            return json_response(404, {})
        return json_response(200, answer)

    async def async_run(self, *argv: str) -> tuple[int, str]:
        """Run a live command against the interface; return its exit code and output."""
        server = await async_serve(self.async_handle, host="127.0.0.1", port=0)
        try:
            address = f"127.0.0.1:{server.port}"
            return await asyncio.to_thread(run_command, *argv, "--address", address)
        finally:
            await server.async_close()


def run_command(*argv: str) -> tuple[int, str]:
    """Run a command; return its exit code and standard output."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(io.StringIO()):
        try:
            code = run(argv)
        except SystemExit as error:
            code = int(error.code or 0)
    return code, output.getvalue()


class OfflineTest(unittest.TestCase):
    """Commands on files."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(TemporaryDirectory()))

    def write(self, name: str, text: str) -> str:
        """Write a file and return its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def test_check_names_all_faults_by_key_and_line(self) -> None:
        self.assertEqual(run_command("check", str(EXAMPLE))[0], 0)
        faulty = self.write("faulty.yaml", "revision: 1\nfleet:\n  tier: 9\n  colour: red\n")
        code, output = run_command("check", faulty)
        self.assertEqual(code, 1)
        self.assertIn("line 3, column 3: fleet.tier:", output)
        self.assertIn("line 4, column 3: fleet.colour: unknown key", output)
        code, output = run_command("check", faulty, "--json")
        problems = json.loads(output)["problems"]
        self.assertEqual([item["line"] for item in problems], [3, 4])

    def test_show_names_the_level_that_sets_a_key(self) -> None:
        path = "workspaces.treeningkoda-tartu.routes.chat.classes.advice.tier"
        code, output = run_command("show", str(EXAMPLE), path, "--json")
        values = json.loads(output)["values"]
        self.assertEqual((code, values[-1]["value"], values[-1]["effective"]), (0, 2, True))
        self.assertEqual(values[-1]["source"], "fleet.routes.chat.classes.advice")
        self.assertEqual(run_command("show", str(EXAMPLE), "workspaces.nobody.tier")[0], 1)

    def test_reach_lists_classes_before_the_change_is_made(self) -> None:
        code, output = run_command("reach", str(EXAMPLE), "fleet.answer_target_ms=9000", "--json")
        reached = {
            (item["workspace_id"], item["class_id"]) for item in json.loads(output)["classes"]
        }
        pairs = {("treeningkoda-tartu", name) for name in ("advice", "stock-check")}
        pairs |= {("ziemelu-jelgava", name) for name in ("advice", "stock-check", "teach-pendant")}
        self.assertEqual((code, reached), (0, pairs))
        self.assertEqual(run_command("reach", str(EXAMPLE), "fleet.tier=9")[0], 1)
        self.assertEqual(run_command("reach", str(EXAMPLE), "fleet.tier")[0], 2)
        self.assertEqual(run_command("reach", str(EXAMPLE))[0], 2)

    def test_diff_and_reach_of_files(self) -> None:
        text = EXAMPLE.read_text().replace("revision: 1", "revision: 2").replace("2.0", "4.0")
        newer = self.write("newer.yaml", text)
        code, output = run_command("diff", str(EXAMPLE), newer, "--json")
        changes = json.loads(output)["changes"]
        expected = {"key": "workspaces.treeningkoda-tartu.weight", "old": 2.0, "new": 4.0}
        self.assertEqual((code, changes), (0, [expected]))
        output = run_command("reach", str(EXAMPLE), "--new", newer, "--json")[1]
        self.assertEqual(len(json.loads(output)["classes"]), 4)

    def test_packed_files_assemble_to_the_document(self) -> None:
        self.assertEqual(run_command("pack", str(EXAMPLE), str(self.folder))[0], 0)
        manifest = parse_manifest((self.folder / "settings.json").read_bytes())
        assert manifest is not None
        assembler = ChunkAssembler()
        for chunk in assembler.set_manifest(manifest):
            assembler.add_chunk((self.folder / f"{chunk.key}.json").read_bytes())
        self.assertEqual(assembler.assemble(), canonical_bytes(EXAMPLE.read_bytes()))

    def test_wrong_usage_exits_with_two(self) -> None:
        with patch.dict("os.environ", clear=True):
            for argv in (
                ("fly",),
                ("check",),
                ("check", "/nowhere"),
                ("fleet",),
                ("fleet", "--address", "nonsense"),
                ("watch-drain", "b", "--timeout-s", "soon"),
            ):
                with self.subTest(argv=argv):
                    self.assertEqual(run_command(*argv)[0], 2)


class LiveTest(unittest.IsolatedAsyncioTestCase):
    """Commands against the fake."""

    async def test_every_query_has_a_table_and_json(self) -> None:
        for command, word in (
            ("fleet", "vm-1"),
            ("stewards", "e1"),
            ("drains", "b"),
            ("quarantine", "f1"),
            ("refusals", "shed"),
            ("explain t1", "advice"),
        ):
            with self.subTest(command=command):
                fake = FakeOperatorInterface(ANSWERS)
                code, output = await fake.async_run(*command.split())
                self.assertEqual(code, 0)
                self.assertIn(word, output)
                code, output = await fake.async_run(*command.split(), "--json")
                self.assertEqual(code, 0)
                self.assertIn(word, json.dumps(json.loads(output)))

    async def test_rejected_settings_and_unknown_requests_exit_with_one(self) -> None:
        problem = {"key": "fleet.tier", "reason": "too high"}
        refused = {**SETTINGS, "refusal": {"code": "settings_invalid", "problems": [problem]}}
        fake = FakeOperatorInterface({**ANSWERS, "settings": refused})
        code, output = await fake.async_run("fleet")
        self.assertEqual(code, 1)
        self.assertIn("fleet.tier: too high", output)
        self.assertEqual((await fake.async_run("explain", "t2"))[0], 1)

    async def test_unreachable_and_malformed_daemons_exit_with_three(self) -> None:
        malformed = FakeOperatorInterface({"quarantine": {"fingerprints": 3}})
        self.assertEqual((await malformed.async_run("quarantine"))[0], 3)
        server = await async_serve(malformed.async_handle, host="127.0.0.1", port=0)
        address = f"127.0.0.1:{server.port}"
        await server.async_close()
        code, _ = await asyncio.to_thread(run_command, "fleet", "--address", address)
        self.assertEqual(code, 3)

    async def test_watch_drain_ends_when_it_is_safe(self) -> None:
        base: dict[str, Any] = {"vm_id": "vm-1", "failure_domain_id": "b", "ordered": True}
        base["endpoints"] = [{"endpoint_id": "e1", "in_flight": 0, "reported_running": 0}]
        polls = [
            {**base, "ordered": False},
            {**base, "in_flight": 2, "queued": 1, "last_start_age_ms": 10},
            {**base, "last_start_age_ms": 9_000, "vms": [{"vm_id": "vm-2", "in_flight": 1}]},
            {**base, "last_start_age_ms": 9_000, "vms": [{"vm_id": "vm-2", "in_flight": 0}]},
        ]
        fake = FakeOperatorInterface({"drains/b": polls})
        argv = ("watch-drain", "b", "--interval-ms", "1", "--json")
        code, output = await fake.async_run(*argv)
        seen = [json.loads(line) for line in output.splitlines()]
        self.assertEqual((code, [item["safe"] for item in seen]), (0, [False] * 3 + [True]))
        self.assertIn("vm-1: started work 10 ms ago", seen[1]["held_up_by"])
        self.assertEqual(seen[2]["held_up_by"], ["vm-2: 1 in flight"])
        self.assertEqual(await self.async_poll_once({**base, "endpoints": []}), 1)
        self.assertEqual(await self.async_poll_once({**base, "vms": [{"vm_id": "vm-9"}]}), 1)
        running = [{"endpoint_id": "e1", "in_flight": 0, "reported_running": 1}]
        self.assertEqual(await self.async_poll_once({**base, "endpoints": running}), 1)
        forever = FakeOperatorInterface({"drains/b": {**base, "in_flight": 1}})
        code, output = await forever.async_run(*argv[:-1], "--timeout-s", "0")
        self.assertEqual(code, 1)
        self.assertIn("vm-1: 1 in flight", output)

    async def async_poll_once(self, answer: dict[str, Any]) -> int:
        """Return the exit code of one poll of a drain."""
        fake = FakeOperatorInterface({"drains/b": answer})
        return (await fake.async_run("watch-drain", "b", "--timeout-s", "0"))[0]
