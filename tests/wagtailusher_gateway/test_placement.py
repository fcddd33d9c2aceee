"""Tests of the choice of an endpoint, with loads as callers meet them."""

from __future__ import annotations

from collections import Counter
import unittest

from tests.wagtailusher_gateway.builders import (
    DESK,
    ENGINES,
    VM_IDS,
    endpoint,
    new_placement,
    plain_terms,
    terms,
    view,
)
from wagtailusher_core import EndpointId, FailureDomainId, VmId
from wagtailusher_gateway.const import STALE_VIEW_MS
from wagtailusher_gateway.endpoint_registry import Load


class PlacementTest(unittest.TestCase):
    """Work goes where it begins first, and never where it must not."""

    def test_sessions_stay_together_across_vms(self) -> None:
        """VMs that never talked send a shared prompt to the same endpoint."""
        current = view(*(endpoint(number) for number in range(9)))
        for session in ("s1", "s2", "s3", "s4"):
            found = set()
            for seed in range(5):
                placed = new_placement(current, seed).take(
                    ENGINES, terms(session=session), current, VM_IDS, 0
                )
                assert placed is not None
                found.add(placed.endpoint.endpoint_id)
            self.assertEqual(len(found), 1)

    def test_burst_on_one_session_spreads(self) -> None:
        """A prompt that everybody asks for does not pile up at one endpoint."""
        current = view(*(endpoint(number) for number in range(9)))
        placement = new_placement(current)
        found: Counter[EndpointId] = Counter()
        for number in range(60):
            placement.note_demand(ENGINES, terms(number), 0)
            placed = placement.take(ENGINES, terms(number), current, VM_IDS, 0)
            if placed is not None:
                found[placed.endpoint.endpoint_id] += 1
        self.assertGreaterEqual(len(found), 6)

    def test_peers_load_is_seen(self) -> None:
        """An endpoint that peers fill gets no more."""
        current = view(*(endpoint(number, "desk") for number in range(2)))
        placement = new_placement(current)
        full = Load(requests=7)
        placement.registry.take_loads(VmId("vm-2"), [(EndpointId("i-0"), full)], 0)
        for number in range(5):
            placed = placement.take(DESK, plain_terms(number), current, VM_IDS, 100)
            assert placed is not None
            self.assertEqual(placed.endpoint.endpoint_id, "i-1")
        again = placement.take(DESK, plain_terms(), current, VM_IDS, 10_000)
        assert again is not None
        self.assertEqual(again.endpoint.endpoint_id, "i-0")

    def test_full_endpoints_give_no_place(self) -> None:
        """Slots, memory and waiting prompts bound what an engine gets."""
        current = view(endpoint(1, slots=2))
        placement = new_placement(current)
        small = terms(shared=10, own=10)
        places = [placement.take(ENGINES, small, current, VM_IDS, 0) for _ in range(3)]
        self.assertEqual([place is None for place in places], [False, False, True])
        assert places[0] is not None
        placement.release(places[0], began=False)
        self.assertIsNotNone(placement.take(ENGINES, small, current, VM_IDS, 0))

    def test_waiting_prompts_bound_an_engine(self) -> None:
        """No more prompt is given to an engine than it reads within the target."""
        current = view(endpoint(1))
        placement = new_placement(current)
        sent = 0
        while placement.take(ENGINES, terms(sent, session=f"s{sent}"), current, VM_IDS, 0):
            sent += 1
        self.assertLessEqual(sent, 5)

    def test_address_of_another_endpoint_is_avoided(self) -> None:
        """An endpoint whose address another one has gets nothing while there are others."""
        current = view(endpoint(0, "desk"), endpoint(1, "desk"))
        placement = new_placement(current)
        placement.registry.note_misdirected(EndpointId("i-0"), 0)
        for number in range(5):
            placed = placement.take(DESK, plain_terms(number), current, VM_IDS, 1_000)
            assert placed is not None
            self.assertEqual(placed.endpoint.endpoint_id, "i-1")

    def test_draining_and_evacuated_get_nothing(self) -> None:
        """What leaves or was taken out is no place."""
        current = view(
            endpoint(0, is_draining=True),
            endpoint(1),
            evacuated=frozenset({FailureDomainId("b")}),
        )
        placement = new_placement(current)
        self.assertIsNone(placement.take(ENGINES, terms(), current, VM_IDS, 0))

    def test_cold_endpoint_gets_its_share(self) -> None:
        """A cold endpoint gets this VM's part of what it bears, in any second."""
        current = view(endpoint(1, cold_until_ms=5_000))
        placement = new_placement(current)
        small = terms(shared=0, own=10)
        for now_ms in (0, 2_000):
            placement.update(view(endpoint(1, cold_until_ms=5_000), confirmed_ms=now_ms), now_ms)
            fresh = view(endpoint(1, cold_until_ms=5_000), confirmed_ms=now_ms)
            taken = [placement.take(ENGINES, small, fresh, VM_IDS, now_ms) for _ in range(9)]
            self.assertEqual(sum(place is not None for place in taken), 29 // 9)

    def test_old_view_takes_every_engine_for_cold(self) -> None:
        """A VM that hears nothing can't know which engine turned cold."""
        current = view(endpoint(1), confirmed_ms=0)
        placement = new_placement(current)
        small = terms(shared=0, own=10)
        now_ms = STALE_VIEW_MS + 1
        taken = [placement.take(ENGINES, small, current, VM_IDS, now_ms) for _ in range(9)]
        self.assertEqual(sum(place is not None for place in taken), 29 // 9)

    def test_unreachable_endpoint_comes_back_cold(self) -> None:
        """An endpoint that took no connection may have restarted unseen."""
        current = view(endpoint(1))
        placement = new_placement(current)
        placement.registry.note_unreachable(EndpointId("i-1"), 0)
        tracked = placement.registry.get(EndpointId("i-1"))
        assert tracked is not None
        self.assertTrue(placement.registry.is_cold(tracked, ENGINES, 1_000, view_stale=False))

    def test_failing_endpoints_are_left_out_up_to_a_share(self) -> None:
        """A common cause does not take out every endpoint."""
        endpoints = [endpoint(number, "desk") for number in range(4)]
        current = view(*endpoints)
        placement = new_placement(current)
        for item in endpoints:
            for _ in range(3):
                placement.registry.note_failure(item.endpoint_id, 0)
        self.assertEqual(len(placement.registry.usable("desk", current, 1)), 2)


if __name__ == "__main__":
    unittest.main()
