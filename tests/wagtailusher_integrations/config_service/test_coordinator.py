"""Reading of the configuration service.

Guards against lost, incomplete or older settings, and against more calls than the service's limits
allow, when the service is unavailable, unresponsive, stale or serves invalid values.
"""

from __future__ import annotations

import asyncio
import json
from random import Random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from tests.standins.config_service import ConfigService, async_wait_until
from wagtailusher_core import ErrorCode, Revision
from wagtailusher_http import HttpClient
from wagtailusher_integrations.config_service import (
    ChunkMismatchError,
    ConfigServiceCoordinator,
    LongPollLimits,
    PlatformError,
    ServiceContent,
    backoff_ms,
)
from wagtailusher_settings import parse_settings, split_document
from wagtailusher_settings.measure import build_document

LIMITS = LongPollLimits(
    wait_ms=200,
    wait_margin_ms=100,
    read_timeout_ms=500,
    min_interval_ms=1,
    backoff_base_ms=10,
    backoff_limit_ms=40,
)


def build_content(number: int, epoch: int = 0) -> bytes:
    """Return a document of twenty workspaces."""
    document = {**build_document(20, number), "epoch": epoch}
    document["workspaces"]["workspace-00007"]["weight"] = 1.0 + number
    return json.dumps(document).encode()


class RecordingReader:
    """A coordinator on a stand-in that records the revisions passed to its listener."""

    def __init__(self, service: ConfigService, client: HttpClient) -> None:
        self.seen: list[Revision] = []
        self.changed = asyncio.Event()
        self.coordinator = ConfigServiceCoordinator(
            client, service.address, seed=7, on_content=self._record, limits=LIMITS
        )

    def _record(self, content: ServiceContent) -> None:
        """Record a content and check that it is complete."""
        self.assert_complete(content)
        self.seen.append(content.revision)
        self.changed.set()

    def assert_complete(self, content: ServiceContent) -> None:
        """Check that a content holds all workspaces of its revision."""
        settings = parse_settings(content.content)
        assert len(settings.workspaces) == 20
        assert settings.revision == content.revision


class CoordinatorTest(unittest.IsolatedAsyncioTestCase):
    """A coordinator against the stand-in on real sockets."""

    async def asyncSetUp(self) -> None:
        self.service = await self.enterAsyncContext(ConfigService())
        self.client = await self.enterAsyncContext(HttpClient())
        self.reader = RecordingReader(self.service, self.client)
        self.coordinator = self.reader.coordinator

    def watch(self) -> None:
        """Watch until the test ends."""
        task = asyncio.get_running_loop().create_task(self.coordinator.async_run())
        self.addCleanup(task.cancel)

    async def test_changes_arrive_complete_in_one_value_and_in_chunks(self) -> None:
        self.service.publish("settings", build_content(1))
        self.watch()
        await async_wait_until(lambda: len(self.reader.seen) == 1)
        bundle = split_document(build_content(2), chunk_bytes=1_000)
        self.service.publish_bundle("settings", bundle)
        await async_wait_until(lambda: Revision(number=2) in self.reader.seen)
        calls = self.service.counters.calls
        changed = split_document(build_content(3), chunk_bytes=1_000)
        self.assertEqual(len(changed.chunks.keys() - bundle.chunks.keys()), 1)
        self.service.publish_bundle("settings", changed)
        await async_wait_until(lambda: Revision(number=3) in self.reader.seen)
        self.assertLessEqual(self.service.counters.calls - calls, 3)

    async def test_a_waiting_watch_is_one_call(self) -> None:
        self.service.publish("settings", build_content(1))
        await self.coordinator.async_read()
        self.watch()
        await async_wait_until(lambda: self.service.counters.watches >= 3)
        counters = self.service.counters
        self.assertEqual((counters.calls, counters.most_waiting), (counters.watches + 1, 1))
        self.assertEqual(self.reader.seen, [Revision(number=1)])

    async def test_last_content_stays_while_the_service_is_down(self) -> None:
        self.service.publish("settings", build_content(1))
        self.watch()
        await async_wait_until(lambda: len(self.reader.seen) == 1)
        self.service.behaviour.down = True
        await async_wait_until(lambda: self.coordinator.status.failures_in_a_row > 2)
        self.assertEqual(self.coordinator.status.problem_code, ErrorCode.PLATFORM_UNAVAILABLE)
        assert self.coordinator.last_content is not None
        self.assertEqual(self.coordinator.last_content.revision, Revision(number=1))
        self.service.publish("settings", build_content(2))
        self.service.behaviour.down = False
        await async_wait_until(lambda: self.reader.seen[-1] == Revision(number=2))
        self.assertIsNone(self.coordinator.status.problem)

    async def test_an_unresponsive_service_is_retried_on_a_new_connection(self) -> None:
        self.service.publish("settings", build_content(1))
        await self.coordinator.async_read()
        self.service.behaviour.silent = True
        self.watch()
        await async_wait_until(lambda: self.coordinator.status.failures_in_a_row > 0)
        self.service.behaviour.silent = False
        self.service.publish("settings", build_content(2))
        await async_wait_until(lambda: self.reader.seen[-1] == Revision(number=2))

    async def test_a_restored_backup_is_counted_as_stale_once(self) -> None:
        self.service.publish("settings", build_content(1))
        backup = self.service.backup()
        self.service.publish("settings", build_content(2))
        self.watch()
        await async_wait_until(lambda: Revision(number=2) in self.reader.seen)
        self.service.restore(backup)
        await async_wait_until(lambda: self.coordinator.stale_answers == 1)
        watches = self.service.counters.watches
        await async_wait_until(lambda: self.service.counters.watches >= watches + 2)
        assert self.coordinator.last_content is not None
        self.assertEqual(self.coordinator.last_content.revision, Revision(number=2))
        self.assertEqual(self.coordinator.stale_answers, 1)
        self.service.publish("settings", build_content(1, epoch=1))
        await async_wait_until(lambda: self.reader.seen[-1] == Revision(epoch=1, number=1))

    async def test_a_stale_service_catches_up(self) -> None:
        self.service.publish("settings", build_content(1))
        self.watch()
        await async_wait_until(lambda: len(self.reader.seen) == 1)
        self.service.behaviour.stale = True
        self.service.publish("settings", build_content(2))
        watches = self.service.counters.watches
        await async_wait_until(lambda: self.service.counters.watches > watches + 1)
        self.assertEqual(self.reader.seen, [Revision(number=1)])
        await self.service.async_end_staleness()
        await async_wait_until(lambda: self.reader.seen[-1] == Revision(number=2))

    async def test_a_wrong_chunk_is_not_applied_until_it_is_right(self) -> None:
        bundle = split_document(build_content(1), chunk_bytes=1_000)
        name = list(bundle.chunks)[-1]
        right = bundle.chunks[name]
        other = split_document(build_content(2), chunk_bytes=1_000)
        self.service.publish_bundle("settings", bundle)
        self.service.publish(name, list(other.chunks.values())[0])
        with self.assertRaises(ChunkMismatchError):
            await self.coordinator.async_read()
        self.watch()
        await async_wait_until(lambda: self.coordinator.status.failures_in_a_row > 1)
        self.assertEqual(self.reader.seen, [])
        self.assertEqual(self.coordinator.status.problem_code, ErrorCode.SETTINGS_STALE)
        self.service.publish(name, right)
        await async_wait_until(lambda: self.reader.seen == [Revision(number=1)])

    async def test_an_invalid_value_is_reported_until_it_is_replaced(self) -> None:
        self.service.publish("settings", build_content(1))
        self.watch()
        await async_wait_until(lambda: len(self.reader.seen) == 1)
        self.service.publish("settings", b"revision: [")
        await async_wait_until(lambda: self.coordinator.status.problem is not None)
        watches = self.service.counters.watches
        await async_wait_until(lambda: self.service.counters.watches >= watches + 2)
        self.assertEqual(self.coordinator.status.problem_code, ErrorCode.SETTINGS_INVALID)
        self.assertEqual(self.coordinator.status.failures_in_a_row, 0)
        self.service.publish("settings", build_content(2))
        await async_wait_until(lambda: self.reader.seen[-1] == Revision(number=2))
        self.assertIsNone(self.coordinator.status.problem)

    async def test_calls_over_the_limit_are_reported_as_throttled(self) -> None:
        self.service.publish("settings", build_content(1))
        self.service.behaviour.calls_per_s = 0
        with self.assertRaises(PlatformError):
            await self.coordinator.async_read()
        self.assertEqual(self.coordinator.status.throttled, 1)
        self.assertEqual(self.coordinator.status.problem_code, ErrorCode.PLATFORM_UNAVAILABLE)
        self.service.behaviour.calls_per_s = None
        self.assertIsNotNone(await self.coordinator.async_read())

    async def test_single_waits_return_each_content_once(self) -> None:
        self.service.publish("settings", build_content(1))
        first = await self.coordinator.async_wait_for_change()
        assert first is not None
        self.assertEqual(first.revision, Revision(number=1))
        self.assertIsNone(await self.coordinator.async_wait_for_change())
        self.service.behaviour.down = True
        with self.assertRaises(PlatformError):
            await self.coordinator.async_wait_for_change()
        self.assertEqual(self.coordinator.status.failures_in_a_row, 1)

    async def test_an_inactive_reader_makes_no_calls(self) -> None:
        self.service.publish("settings", build_content(1))
        self.coordinator.set_active(False)
        self.watch()
        await asyncio.sleep(0.05)
        self.assertEqual(self.service.counters.calls, 0)
        self.coordinator.set_active(True)
        await async_wait_until(lambda: len(self.reader.seen) == 1)


class BackoffTest(unittest.TestCase):
    """Pauses after failures."""

    @given(st.integers(1, 1_000), st.integers())
    def test_pauses_are_bounded_and_repeatable(self, failures: int, seed: int) -> None:
        pause_ms = backoff_ms(failures, LIMITS, Random(seed))
        self.assertEqual(pause_ms, backoff_ms(failures, LIMITS, Random(seed)))
        self.assertLessEqual(pause_ms, LIMITS.backoff_limit_ms)
        self.assertGreaterEqual(pause_ms, LIMITS.backoff_base_ms // 2)
