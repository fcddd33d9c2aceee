"""Tests of which peers a VM waits for when it starts.

They guard against a VM that believes the store before a peer that knows better has answered, and
against one that waits for peers which know nothing.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
import unittest

from tests.wagtailusher_gateway.builders import VM_IDS, beat_of, configuration, member, view
from wagtailusher_core import VmId
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway.const import (
    HEARTBEAT_INTERVAL_MS,
    MS_PER_S,
    START_FETCH_MS,
    START_WAIT_MS,
)
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.models import FleetView, Member
from wagtailusher_gateway.peers import STARTED_TOGETHER_MS
from wagtailusher_gateway.start_sync import MAX_ASKED_PEERS, StartSync
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_gateway.view_exchange import ViewExchange
from wagtailusher_http import HttpClient

SOON_MS = START_WAIT_MS // 3
SLACK_MS = 500


class FakeExchange(ViewExchange):
    """Returns views by VM; a VM without one fails, and a silent one never answers."""

    def __init__(self, fleet: FleetDecider, view_cache: ViewCache) -> None:
        super().__init__(
            client=HttpClient(),
            fleet=fleet,
            view_cache=view_cache,
            secret=b"s" * 16,
            clock_ms=monotonic_ms,
        )
        self.views: dict[VmId, FleetView] = {}
        self.silent_ids: set[VmId] = set()

    async def async_fetch(self, member: Member) -> bool:
        if member.vm_id in self.silent_ids:
            await asyncio.Event().wait()
        found = self.views.get(member.vm_id)
        if found is not None:
            self._view_cache.merge_peer_view(found, "peer", monotonic_ms())
        return found is not None


class StartSyncTest(unittest.IsolatedAsyncioTestCase):
    """A VM starts whose seeds are two others."""

    def setUp(self) -> None:
        seeds = tuple(member(number).peer_address for number in (1, 2))
        own = replace(member(0), incarnation=2 * STARTED_TOGETHER_MS)
        self.fleet = FleetDecider(own, seeds, monotonic_ms(), 1)
        self.cache = ViewCache(lambda current, changed, now_ms: None)
        self.exchange = FakeExchange(self.fleet, self.cache)

    def _hear(self, number: int, version: int, incarnation: int = 1) -> None:
        """Receive a heartbeat of a VM with a configuration, or with no view if it is 0."""
        vm_id, sender = VM_IDS[number], member(number)
        beat = beat_of(sender, configuration_version=version, view_revision=5 if version else 0)
        self.fleet.receive(vm_id, incarnation, beat, sender.peer_address, monotonic_ms())
        if version:
            known = configuration(version)
            self.exchange.views[vm_id] = view(
                revision=5, confirmed_ms=monotonic_ms(), configuration=known
            )

    async def _async_run(self) -> int:
        """Return after how many milliseconds the VM has started."""
        started_ms = monotonic_ms()
        await StartSync(
            fleet=self.fleet,
            view_cache=self.cache,
            view_exchange=self.exchange,
            clock_ms=monotonic_ms,
        ).async_run()
        return monotonic_ms() - started_ms

    async def test_peer_without_a_view_is_no_reason_to_go_on(self) -> None:
        """It starts as well; the other one answers a moment later."""
        self._hear(1, 0)
        self.cache.confirm_by_peer(self.cache.view.store_revision, 1, 1)
        asyncio.get_running_loop().call_later(SOON_MS / MS_PER_S, self._hear, 2, 3)
        self.assertLess(await self._async_run(), START_WAIT_MS)
        self.assertEqual(self.cache.configuration_version, 3)

    async def test_peers_that_all_start_are_not_waited_for(self) -> None:
        self._hear(1, 0)
        self._hear(2, 0)
        self.assertLess(await self._async_run(), START_WAIT_MS)

    async def test_rest_of_a_fleet_that_starts_together_is_waited_for_one_interval(self) -> None:
        """One seed starts as well, the other one is not up yet."""
        self._hear(1, 0, incarnation=2 * STARTED_TOGETHER_MS)
        waited_ms = await self._async_run()
        self.assertGreaterEqual(waited_ms, HEARTBEAT_INTERVAL_MS)
        self.assertLess(waited_ms, START_WAIT_MS)

    async def test_peers_that_do_not_answer_are_waited_for_shortly(self) -> None:
        self.assertLess(await self._async_run(), START_WAIT_MS + SLACK_MS)

    async def test_next_peer_is_asked_after_one_that_sends_no_view(self) -> None:
        self._hear(1, 4)
        self._hear(2, 3)
        self.exchange.silent_ids.add(VM_IDS[1])
        self.assertLess(await self._async_run(), START_FETCH_MS + SLACK_MS)
        self.assertEqual(self.cache.configuration_version, 3)

    async def test_few_peers_are_asked_however_many_do_not_answer(self) -> None:
        self.exchange.silent_ids.update(VM_IDS)

        async def async_hear() -> None:
            while True:
                for number in range(1, 8):
                    self._hear(number, 3)
                await asyncio.sleep(HEARTBEAT_INTERVAL_MS / MS_PER_S)

        hearing = asyncio.ensure_future(async_hear())
        await asyncio.sleep(0)
        self.assertLess(await self._async_run(), MAX_ASKED_PEERS * START_FETCH_MS + SLACK_MS)
        hearing.cancel()

    async def test_vm_without_seeds_starts_at_once(self) -> None:
        self.fleet = FleetDecider(member(0), (), monotonic_ms(), 1)
        self.assertLess(await self._async_run(), START_WAIT_MS)


if __name__ == "__main__":
    unittest.main()
