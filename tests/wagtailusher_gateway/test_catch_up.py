"""Tests of what a VM must know before it decides on a request that a peer handed on.

They guard against requests decided by an older state, and against refusing those of other builds.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random
import unittest

import msgspec

from tests.wagtailusher_gateway.builders import VM_IDS, at, beat_of, configuration, member
from tests.wagtailusher_platform.fleet import PlatformTest
from wagtailusher_core import ErrorCode, Revision, VmId
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayMetrics
from wagtailusher_gateway.catch_up import CatchUp
from wagtailusher_gateway.const import CATCH_UP_MS
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.forward_terms import ForwardTerms, read_terms
from wagtailusher_gateway.request_forwarder import new_forwarder
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_http import Headers, HttpClient, Request
from wagtailusher_wire import RequestSigner

TERMS = ForwardTerms(
    vm_id=VmId("vm-2"),
    sent_wall_ms=1_000,
    left_ms=2_000,
    workspace_id=None,
    fingerprint="f",
    configuration_version=3,
    view_epoch=1,
    view_revision=7,
)
LATER_FIELDS = ("configuration_version", "view_epoch", "view_revision")
"""Fields of the terms that builds up to 986e887 don't send."""


def new_cache(version: int, revision: Revision) -> ViewCache:
    """Return the view of a VM."""
    cache = ViewCache(lambda view, changed, now_ms: None)
    cache.set_configuration(configuration(version), "store", 1)
    cache.confirm_revision(revision, 1)
    return cache


class CatchUpTest(unittest.IsolatedAsyncioTestCase):
    """A VM decides if its configuration and its view are as new as those it is told."""

    async def _async_wait(self, cache: ViewCache, terms: ForwardTerms = TERMS) -> ErrorCode | None:
        """Return the code of the refusal, None if the request is taken."""
        self.required: list[Revision] = []
        try:
            waited = await CatchUp(cache, self.required.append, monotonic_ms).async_wait(terms)
        except RefusedError as refusal:
            return refusal.code
        self.left_ms = waited.left_ms
        return None

    async def test_vm_that_knows_as_much_decides(self) -> None:
        for version, revision in ((3, at(7, 1)), (4, at(8, 1)), (3, at(2, 2))):
            with self.subTest(version=version, revision=revision):
                self.assertIsNone(await self._async_wait(new_cache(version, revision)))
                self.assertEqual(self.required, [])

    async def test_vm_that_knows_less_refuses_after_it_tried_to_learn(self) -> None:
        for version, revision in ((2, at(7, 1)), (3, at(6, 1)), (3, at(9, 0))):
            with self.subTest(version=version, revision=revision):
                started_ms = monotonic_ms()
                refusal = await self._async_wait(new_cache(version, revision))
                self.assertEqual(refusal, ErrorCode.PEER_BEHIND)
                self.assertEqual(self.required, [at(7, 1)])
                self.assertGreaterEqual(monotonic_ms() - started_ms, CATCH_UP_MS)

    async def test_request_with_little_time_left_waits_for_a_part_of_it(self) -> None:
        started_ms = monotonic_ms()
        terms = replace(TERMS, left_ms=100)
        self.assertIsNotNone(await self._async_wait(new_cache(2, at(7, 1)), terms))
        self.assertLess(monotonic_ms() - started_ms, CATCH_UP_MS)

    async def test_vm_that_learns_meanwhile_decides(self) -> None:
        cache = new_cache(2, at(6, 1))
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, lambda: cache.set_configuration(configuration(3), "store", 2))
        loop.call_later(0.1, lambda: cache.confirm_revision(at(7, 1), 2))
        self.assertIsNone(await self._async_wait(cache))
        self.assertLessEqual(self.left_ms, TERMS.left_ms - 90)

    async def test_request_of_a_build_that_states_no_versions_is_taken(self) -> None:
        signer = RequestSigner((b"s" * 16,))
        request = Request(method="GET", target="/", headers=Headers(()), body=b"", peer="p")
        values = msgspec.to_builtins(TERMS)
        for name in LATER_FIELDS:
            del values[name]
        token = signer.sign(msgspec.msgpack.encode(values), "GET", "/", b"")
        headers = Headers([("x-wagtailusher-forward", token)])
        terms = read_terms(signer, replace(request, headers=headers), 1_000)
        self.assertIsNone(await self._async_wait(new_cache(1, at(1)), terms))


class TakersTest(PlatformTest):
    """Peers that state no configuration take requests only if they know the same state."""

    async def test_peers_with_an_older_or_unknown_state_are_asked_last_or_not_at_all(self) -> None:
        app = await self.async_gateway()
        fleet = FleetDecider(member(0), (), 0, 1)
        beats = {
            1: {"configuration_version": 2, "view_revision": 9},
            2: {"configuration_version": 3, "view_revision": 4},
            3: {"view_revision": 9},
            4: {"view_revision": 6},
        }
        for number, changes in beats.items():
            beat = beat_of(member(number), takes_forwarded=True, **changes)
            fleet.receive(VM_IDS[number], 1, beat, f"10.1.0.{number}:7200", monotonic_ms())
        forwarder = new_forwarder(
            app.options,
            client=HttpClient(),
            fleet=fleet,
            view_cache=new_cache(3, at(7)),
            place_holders=lambda service: None,
            metrics=GatewayMetrics(),
            generator=Random(1),
        )
        first = {next(iter(forwarder._takers("desk"))).vm_id for _ in range(20)}
        self.assertEqual(first, {VM_IDS[2]})
        self.assertEqual(
            {item.vm_id for item in forwarder._takers("desk")}, {VM_IDS[1], VM_IDS[2], VM_IDS[3]}
        )


if __name__ == "__main__":
    unittest.main()
