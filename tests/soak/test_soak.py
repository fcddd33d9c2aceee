"""A short seeded soak, and planted faults that its checks must find."""

from __future__ import annotations

import asyncio
from pathlib import Path
import shutil
from tempfile import TemporaryDirectory
from typing import Any
import unittest

from tests.soak.callers import Tamper
from tests.soak.checks import PROBE_BODY, event
from tests.soak.const import CALM_S, COLD_PER_S, START_TIMEOUT_S
from tests.soak.observations import GUESTS, Kind, Sent
from tests.soak.play import Played, async_play
from tests.soak.world import ENGINES, World
from tests.standins.runner import Received, RunnerStandin
from tests.wagtailusher_platform.fleet import HOST
from wagtailusher_http import Headers, HttpClient

SHORT_SEEDS = (1, 2)
"""Seeds that each run of the tests plays."""

REGRESSION_SEEDS: dict[int, str] = {}
"""Seeds that ever failed, with their cause."""

PLANTED_SEED = 7
LOST_SHARE_REQUESTS = 5 * COLD_PER_S
"""Requests that a VM without its cold share sends within a moment."""


async def async_send_to(runner: RunnerStandin, request: Received) -> None:
    """Send a request straight to an endpoint, as no VM may."""
    client = HttpClient()
    answer = await client.async_request(
        runner.address,
        request.method,
        request.target,
        Headers({"x-attempt-id": request.headers["x-attempt-id"], "x-tenant": "members"}.items()),
        request.body,
        host=HOST,
    )
    await answer.async_read()
    client.close()


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Plays of real processes with faults from outside."""

    async def async_played(self, seed: int, **planted: Any) -> Played:
        """Return a play; its logs are kept only if a promise was broken unexpectedly."""
        played = await async_play(seed, **planted)
        if planted or not played.violations:
            shutil.rmtree(played.folder)
        return played

    async def test_promises_hold_under_faults(self) -> None:
        for seed in (*SHORT_SEEDS, *REGRESSION_SEEDS):
            with self.subTest(seed=seed):
                played = await self.async_played(seed)
                self.assertEqual(played.violations, [], played.folder)
                self.assertGreater(len(played.seen.runs), 100)

    async def test_play_that_is_cancelled_twice_leaves_no_process(self) -> None:
        """As when a soak by hand is interrupted: the second comes while the play stops."""
        with TemporaryDirectory() as folder:
            world = World(folder=Path(folder))
            await world.async_start()
            stopping = asyncio.create_task(world.async_stop())
            await asyncio.sleep(0)
            stopping.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await stopping
            for entry in world.entries:
                assert entry.process is not None
                async with asyncio.timeout(START_TIMEOUT_S):
                    await entry.process.wait()
            self.assertTrue(all(item.process.returncode for item in world.entries if item.process))
            await world.async_stop()

    def assert_found(self, played: Played, check: str) -> None:
        """A planted fault is found by its check."""
        found = [text for text in played.violations if text.startswith(f"{check}:")]
        self.assertTrue(found, played.violations)

    async def test_second_send_is_found(self) -> None:
        """A request that may run once is sent to its endpoint twice."""
        sent_again: set[str] = set()

        async def send_again(world: World, request: Received, runner: RunnerStandin) -> None:
            attempt_id = request.headers["x-attempt-id"]
            if not sent_again and request.target.startswith(f"/{Kind.BOOK}/"):
                sent_again.add(attempt_id)
                await async_send_to(runner, request)

        played = await self.async_played(PLANTED_SEED, has_faults=False, after_run=send_again)
        self.assert_found(played, "check_once")

    async def test_lost_cold_share_is_found(self) -> None:
        """A cold endpoint gets what one VM would send it without heeding the others."""
        came_back: set[str] = set()

        async def come_back(world: World, request: Received, runner: RunnerStandin) -> None:
            place = next(place for place in world.places if place.runner is runner)
            if came_back or place.service != ENGINES:
                return
            came_back.add(runner.instance_id)
            world.remove(place)
            world.bring_back(place)
            await asyncio.gather(
                *(async_send_to(runner, request) for _ in range(LOST_SHARE_REQUESTS))
            )

        played = await self.async_played(PLANTED_SEED, has_faults=False, after_run=come_back)
        self.assert_found(played, "check_cold")

    async def test_version_that_goes_back_is_found(self) -> None:
        """A VM that used a newer configuration uses an older one."""
        probes: dict[str, int] = {}

        def go_back(sent: Sent, body: bytes) -> bytes:
            if not body.startswith(PROBE_BODY):
                return body
            probes[sent.entry] = probes.get(sent.entry, 0) + 1
            return PROBE_BODY + (b"2" if probes[sent.entry] < 10 else b"1")

        await self._assert_tampering_is_found(go_back, "check_versions")

    async def test_key_that_outlives_its_end_is_found(self) -> None:
        """The operator takes a key away that the configuration in force still holds."""

        async def revoke(world: World, request: Received, runner: RunnerStandin) -> None:
            if not any(change.what == "revoke" for change in world.seen.changes):
                world.note("revoke", GUESTS)
                await asyncio.sleep(CALM_S - 0.5)
                world.note("restore", GUESTS)

        played = await self.async_played(PLANTED_SEED, has_faults=False, after_run=revoke)
        self.assert_found(played, "check_keys")

    async def test_answer_to_another_request_is_found(self) -> None:
        def swap(sent: Sent, body: bytes) -> bytes:
            return body.replace(sent.attempt_id.encode(), b"another")

        await self._assert_tampering_is_found(swap, "check_bodies")

    async def test_piece_that_comes_twice_is_found(self) -> None:
        def repeat(sent: Sent, body: bytes) -> bytes:
            first = event(sent.attempt_id, 1)
            return first + body if body.startswith(first) else body

        await self._assert_tampering_is_found(repeat, "check_bodies")

    async def _assert_tampering_is_found(self, tamper: Tamper, check: str) -> None:
        """What callers got wrongly is found."""
        played = await self.async_played(PLANTED_SEED, has_faults=False, tamper=tamper)
        self.assert_found(played, check)


if __name__ == "__main__":
    unittest.main()
