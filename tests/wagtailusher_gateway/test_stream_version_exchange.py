"""Tests of VMs that tell each other at which software version streams began.

They guard against a stream whose version is forgotten with a VM, and against one that goes on at a
version that is not known.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random
import unittest

from tests.wagtailusher_gateway.builders import at, configuration, endpoint, member, route, view
from wagtailusher_core import FailureDomainId, Incarnation, VmId
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway.const import (
    HOLDER_WAIT_MS,
    MAX_PEER_VIEW_AGE_MS,
    MIN_STREAM_RECORD_MS,
    VIEW_DELAY_MS,
)
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.models import FleetView, Member, Repeat
from wagtailusher_gateway.stream_version_exchange import (
    TOLD_BY_SINGLE_VERSION,
    KnownVersion,
    StreamVersionExchange,
)
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_wire import (
    MAX_PAYLOAD_BYTES,
    AuthenticatedMessage,
    Beat,
    Message,
    StreamVersionAnswer,
    StreamVersionQuery,
    StreamVersionRecord,
)

VM_COUNT = 9
DOMAIN_COUNT = 4
LIFE_MS = 10_000
FAR_MS = 60_000
WINDOW_MS = MIN_STREAM_RECORD_MS + MAX_PEER_VIEW_AGE_MS
STEP_MS = 500
LOSS = 0.1
MIN_FOUND_SHARE = 0.5
"""Share of the resumed streams that must go on, by the platform's rule."""
STOPPED_COUNT = 3
STREAM_COUNT = 300


class Network:
    """VMs in four failure domains that exchange messages in memory."""

    def __init__(self, count: int = VM_COUNT) -> None:
        self.offset_ms = 0
        self.down: set[VmId] = set()
        self.loses: Callable[[VmId, VmId, Message], bool] = lambda source, target, message: False
        self.sent: list[tuple[VmId, VmId, Message]] = []
        self.events: list[str] = []
        self.members = [_member(number) for number in range(count)]
        self.caches: list[ViewCache] = []
        self.vms = [self._new_vm(own) for own in self.members]

    def clock_ms(self) -> int:
        """Return the time, which tests may advance."""
        return monotonic_ms() + self.offset_ms

    def _new_vm(self, own: Member) -> StreamVersionExchange:
        fleet = FleetDecider(own, (), self.clock_ms(), 1)
        for peer in self.members:
            beat = Beat(
                address=peer.address,
                view_address=peer.view_address,
                failure_domain_id=peer.failure_domain_id,
                weight=100,
                is_leaving=False,
                is_ready=True,
                view_revision=1,
                view_age_ms=0,
            )
            fleet.receive(peer.vm_id, 1, beat, peer.peer_address, self.clock_ms())
        cache = ViewCache(lambda current, changed, now_ms: None)
        self.caches.append(cache)
        return StreamVersionExchange(
            fleet=fleet,
            view_cache=cache,
            send=lambda address, message: self._send(own, address, message),
            clock_ms=self.clock_ms,
            count_event=self.events.append,
        )

    def _send(self, source: Member, address: str, message: Message) -> None:
        """Deliver a message in the next turn of the event loop, unless it is lost."""
        number = next(n for n, item in enumerate(self.members) if item.peer_address == address)
        target = self.members[number]
        self.sent.append((source.vm_id, target.vm_id, message))
        if source.vm_id in self.down or target.vm_id in self.down:
            return
        if self.loses(source.vm_id, target.vm_id, message):
            return
        sender = AuthenticatedMessage(
            vm_id=source.vm_id, incarnation=Incarnation(1), sequence=1, payload=b""
        )
        asyncio.get_running_loop().call_soon(
            lambda: self.vms[number].receive(message, sender, source.peer_address, self.clock_ms())
        )

    def begin(
        self, number: int, stream_id: str = "s", version: str = "v1", *, is_spare: bool = False
    ) -> None:
        """Relay the first event of a stream at a VM."""
        self.vms[number].record_begin(stream_id, "engines", version, LIFE_MS, is_spare=is_spare)

    async def async_find(
        self, number: int, stream_id: str | None = "s", within_ms: int = FAR_MS
    ) -> KnownVersion | None:
        """Return what a VM finds out about a stream."""
        return await self.vms[number].async_find(stream_id, "engines", self.clock_ms() + within_ms)

    def count_sent(self, kind: type[Message]) -> int:
        """Return the number of messages of a kind."""
        return sum(isinstance(message, kind) for _, _, message in self.sent)


def _member(number: int) -> Member:
    domain_id = FailureDomainId(f"domain-{number % DOMAIN_COUNT}")
    return replace(member(number), failure_domain_id=domain_id)


def single_version_view(name: str = "v1") -> FleetView:
    """Return a view with one endpoint and a route whose streams may be resumed."""
    resumable = configuration(1, route(repeat=Repeat.STREAM, may_resume=True))
    return view(endpoint(1, software_version=name), configuration=resumable)


class RecordExchangeTest(unittest.IsolatedAsyncioTestCase):
    """A record outlives its VM, lost datagrams and a cut."""

    async def asyncSetUp(self) -> None:
        self.network = Network()

    async def test_every_vm_finds_a_stream_after_its_vm_stopped(self) -> None:
        for number in range(VM_COUNT):
            self.network.begin(number, f"s{number}", "v1.2")
        await asyncio.sleep(0)
        for number in range(VM_COUNT):
            self.network.down = {self.network.members[number].vm_id}
            for asker in range(VM_COUNT):
                known = await self.network.async_find(asker, f"s{number}")
                self.assertEqual(known and known.software_version, "v1.2")
        self.assertLessEqual(self.network.count_sent(StreamVersionRecord), VM_COUNT * DOMAIN_COUNT)

    async def test_stream_is_found_after_a_failure_domain_stopped(self) -> None:
        self.network.begin(0)
        await asyncio.sleep(0)
        self.network.down = {item.vm_id for item in self.network.members[::DOMAIN_COUNT]}
        known = await self.network.async_find(1)
        self.assertEqual(known and (known.service, known.software_version), ("engines", "v1"))

    async def test_spare_record_is_sent_once_and_outlives_its_failure_domain(self) -> None:
        for number in range(VM_COUNT):
            self.network.sent.clear()
            self.network.down = set()
            self.network.begin(number, f"s{number}", is_spare=True)
            await asyncio.sleep(0)
            self.assertEqual(self.network.count_sent(StreamVersionRecord), 1)
            domain = number % DOMAIN_COUNT
            self.network.down = {item.vm_id for item in self.network.members[domain::DOMAIN_COUNT]}
            known = await self.network.async_find((domain + 1) % DOMAIN_COUNT, f"s{number}")
            self.assertEqual(known and known.software_version, "v1")

    async def test_lost_questions_are_repeated(self) -> None:
        self.network.begin(0)
        await asyncio.sleep(0)
        asked: set[VmId] = set()

        def loses_first_question(source: VmId, target: VmId, message: Message) -> bool:
            is_first = isinstance(message, StreamVersionQuery) and target not in asked
            asked.add(target)
            return is_first

        self.network.loses = loses_first_question
        asker = self._vm_without_record()
        known = await self.network.async_find(asker)
        self.assertEqual(known and known.software_version, "v1")

    def _vm_without_record(self) -> int:
        """Return a VM that neither relayed the stream nor holds its record."""
        told = {target for _, target, _ in self.network.sent}
        return next(
            number
            for number, item in enumerate(self.network.members)
            if number and item.vm_id not in told
        )

    async def test_most_streams_are_found_while_datagrams_are_lost_and_vms_stopped(self) -> None:
        random = Random(24)
        self.network.loses = lambda source, target, message: random.random() < LOSS
        for number in range(STREAM_COUNT):
            self.network.begin(number % VM_COUNT, f"s{number}")
        await asyncio.sleep(0)
        self.network.down = {item.vm_id for item in self.network.members[:STOPPED_COUNT]}
        found = await asyncio.gather(
            *(
                self.network.async_find(
                    STOPPED_COUNT + number % (VM_COUNT - STOPPED_COUNT), f"s{number}"
                )
                for number in range(STREAM_COUNT)
            )
        )
        share = sum(known is not None for known in found) / STREAM_COUNT
        self.assertGreaterEqual(share, MIN_FOUND_SHARE)

    async def test_unknown_stream_is_not_waited_for_once_all_have_answered(self) -> None:
        started_ms = monotonic_ms()
        self.assertIsNone(await self.network.async_find(0))
        self.assertLess(monotonic_ms() - started_ms, HOLDER_WAIT_MS)
        answers = self.network.count_sent(StreamVersionAnswer)
        self.assertEqual(answers, self.network.count_sent(StreamVersionQuery))
        self.assertEqual(self.network.events, ["asked", "unknown"])

    async def test_wait_for_silent_holders_is_bounded(self) -> None:
        self.network.loses = lambda source, target, message: True
        for within_ms, bound_ms in ((FAR_MS, HOLDER_WAIT_MS), (20, 20)):
            started_ms = monotonic_ms()
            self.assertIsNone(await self.network.async_find(0, within_ms=within_ms))
            self.assertGreaterEqual(monotonic_ms() - started_ms, bound_ms - 2)
        self.assertFalse(self.network.vms[0]._queries)

    async def test_cut_hides_only_the_streams_that_began_on_its_other_side(self) -> None:
        side = {item.vm_id for item in self.network.members[::DOMAIN_COUNT]}
        self.network.begin(1, "before")
        await asyncio.sleep(0)
        self.network.loses = lambda source, target, message: (source in side) != (target in side)
        self.network.begin(1, "during")
        await asyncio.sleep(0)
        before = await self.network.async_find(0, "before")
        self.assertEqual(before and before.software_version, "v1")
        self.assertIsNone(await self.network.async_find(0, "during"))
        self.assertIsNotNone(await self.network.async_find(2, "during"))

    async def test_vms_of_a_build_without_the_messages_do_not_hide_a_record(self) -> None:
        old = {item.vm_id for item in self.network.members[:4]}
        self.network.loses = lambda source, target, message: target in old
        self.network.begin(4)
        await asyncio.sleep(0)
        for asker in range(4, VM_COUNT):
            known = await self.network.async_find(asker)
            self.assertEqual(known and known.software_version, "v1")

    async def test_stream_of_unknown_version_is_not_recorded(self) -> None:
        self.network.begin(0, version="")
        self.assertIsNone(await self.network.async_find(0))
        self.assertEqual(self.network.count_sent(StreamVersionRecord), 0)
        self.assertIn("dropped", self.network.events)

    async def test_vm_that_was_told_two_versions_takes_none(self) -> None:
        self.network.begin(0)
        self.network.begin(0, version="v2")
        await asyncio.sleep(0)
        told = {target for _, target, _ in self.network.sent} | {self.network.members[0].vm_id}
        for number, item in enumerate(self.network.members):
            if item.vm_id in told:
                self.assertIsNone(await self.network.async_find(number))

    async def test_message_that_does_not_fit_is_dropped(self) -> None:
        self.network.begin(0, version="v" * MAX_PAYLOAD_BYTES)
        known = await self.network.async_find(0)
        self.assertEqual(known and known.told_by, "vm-0")
        self.assertEqual(self.network.count_sent(StreamVersionRecord), 0)
        self.assertIn("dropped", self.network.events)

    async def test_answers_of_others_and_late_answers_are_ignored(self) -> None:
        vm = self.network.vms[0]
        answer = StreamVersionAnswer(
            sequence=1, stream_id="s", service="engines", software_version="v9", lifetime_ms=9
        )
        for item in self.network.members[1:]:
            sender = AuthenticatedMessage(
                vm_id=item.vm_id, incarnation=Incarnation(1), sequence=1, payload=b""
            )
            vm.receive(answer, sender, item.peer_address, self.network.clock_ms())
        self.assertIsNone(await self.network.async_find(0))


class SingleVersionProofTest(unittest.IsolatedAsyncioTestCase):
    """Without a record, a service's only version is used only where nothing can contradict it."""

    async def asyncSetUp(self) -> None:
        self.network = Network(count=1)
        self.vm, self.cache = self.network.vms[0], self.network.caches[0]
        self._observe(single_version_view())

    def _observe(self, current: FleetView) -> None:
        self.cache.view = current
        self.vm.observe(current, self.network.clock_ms())

    def _advance(self, duration_ms: int) -> None:
        """Advance the time with regular ticks."""
        for _ in range(0, duration_ms, STEP_MS):
            self.network.offset_ms += STEP_MS
            self.vm.tick(self.network.clock_ms())

    async def _async_find(self, *, is_confirmed: bool = True) -> KnownVersion | None:
        """Look for a stream without an identifier, while the store confirms the view or not."""
        finding = asyncio.ensure_future(self.network.async_find(0, None))
        await asyncio.sleep(0)
        self.network.offset_ms += VIEW_DELAY_MS
        if is_confirmed:
            self.cache.confirm_revision(at(1), self.network.clock_ms())
        self.network.offset_ms += 2 * VIEW_DELAY_MS
        return await finding

    async def test_single_version_is_used_after_the_window(self) -> None:
        self._advance(WINDOW_MS + STEP_MS)
        known = await self._async_find()
        assert known is not None
        self.assertEqual((known.software_version, known.told_by), ("v1", TOLD_BY_SINGLE_VERSION))

    async def test_single_version_is_not_used_before_the_window_has_passed(self) -> None:
        self._advance(WINDOW_MS - 4 * VIEW_DELAY_MS)
        self.assertIsNone(await self._async_find())

    async def test_single_version_needs_a_view_confirmed_after_the_arrival(self) -> None:
        self._advance(WINDOW_MS + STEP_MS)
        self.assertIsNone(await self._async_find(is_confirmed=False))

    async def test_paused_process_restarts_the_window(self) -> None:
        self._advance(WINDOW_MS)
        self.network.offset_ms += 2 * VIEW_DELAY_MS
        self.vm.tick(self.network.clock_ms())
        self.assertIsNone(await self._async_find())

    async def test_gap_in_the_view_restarts_the_window(self) -> None:
        self._advance(WINDOW_MS + STEP_MS)
        self.cache.is_gap = True
        self._observe(single_version_view())
        self.assertIsNone(await self._async_find())

    async def test_other_version_during_the_wait_ends_it(self) -> None:
        self._advance(WINDOW_MS + STEP_MS)
        finding = asyncio.ensure_future(self.network.async_find(0, None))
        await asyncio.sleep(0)
        self._observe(single_version_view("v2"))
        self.assertIsNone(await finding)

    async def test_silent_peer_restarts_the_window(self) -> None:
        self.network = Network(count=2)
        self.vm, self.cache = self.network.vms[0], self.network.caches[0]
        self._observe(single_version_view())
        self._advance(WINDOW_MS + STEP_MS)
        self.assertIsNone(await self._async_find())


if __name__ == "__main__":
    unittest.main()
