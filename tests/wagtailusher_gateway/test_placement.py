"""Tests of the choice of an endpoint.

They guard against requests at endpoints that are full, draining, evacuated or over their cold
start limit, and against endpoints that are overloaded while others are idle.
"""

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
    """Requests get the endpoint with the lowest cost among those that may be used."""

    def test_sessions_stay_together_across_vms(self) -> None:
        """VMs that exchanged nothing send a shared prompt to the same endpoint."""
        current = view(*(endpoint(number) for number in range(9)))
        for session in ("s1", "s2", "s3", "s4"):
            found = set()
            for seed in range(5):
                reservation = new_placement(current, seed).try_reserve(
                    ENGINES, terms(session=session), current, VM_IDS, 0, rank=0
                )
                assert reservation is not None
                found.add(reservation.endpoint.endpoint_id)
            self.assertEqual(len(found), 1)

    def test_burst_on_one_session_spreads(self) -> None:
        """Requests with one shared prompt are not all sent to one endpoint."""
        current = view(*(endpoint(number) for number in range(9)))
        placement = new_placement(current)
        found: Counter[EndpointId] = Counter()
        for number in range(60):
            placement.record_arrival(ENGINES, terms(number), 0)
            reservation = placement.try_reserve(ENGINES, terms(number), current, VM_IDS, 0, rank=0)
            if reservation is not None:
                found[reservation.endpoint.endpoint_id] += 1
        self.assertGreaterEqual(len(found), 6)

    def test_load_of_peers_counts(self) -> None:
        """An endpoint filled by peers gets no more requests until their report is too old."""
        current = view(*(endpoint(number, "desk") for number in range(2)))
        placement = new_placement(current)
        full = Load(requests=7)
        placement.registry.set_peer_loads(VmId("vm-2"), [(EndpointId("i-0"), full)], 0)
        for number in range(5):
            reservation = placement.try_reserve(
                DESK, plain_terms(number), current, VM_IDS, 100, rank=0
            )
            assert reservation is not None
            self.assertEqual(reservation.endpoint.endpoint_id, "i-1")
        again = placement.try_reserve(DESK, plain_terms(), current, VM_IDS, 10_000, rank=0)
        assert again is not None
        self.assertEqual(again.endpoint.endpoint_id, "i-0")

    def test_full_endpoints_are_not_reserved(self) -> None:
        """An engine gets no more requests than it has slots."""
        current = view(endpoint(1, slots=2))
        placement = new_placement(current)
        small = terms(shared=10, own=10)
        reservations = [
            placement.try_reserve(ENGINES, small, current, VM_IDS, 0, rank=0) for _ in range(3)
        ]
        self.assertEqual(
            [reservation is None for reservation in reservations], [False, False, True]
        )
        assert reservations[0] is not None
        placement.release(reservations[0], is_prefill_done=False)
        self.assertIsNotNone(placement.try_reserve(ENGINES, small, current, VM_IDS, 0, rank=0))

    def test_queued_prefill_bounds_an_engine(self) -> None:
        """An engine gets no more prompt tokens than it can prefill within the latency target."""
        current = view(endpoint(1))
        placement = new_placement(current)
        sent = 0
        while placement.try_reserve(
            ENGINES, terms(sent, session=f"s{sent}"), current, VM_IDS, 0, rank=0
        ):
            sent += 1
        self.assertLessEqual(sent, 5)

    def test_endpoint_at_whose_address_another_answers_is_ejected(self) -> None:
        """It gets no requests while there are other endpoints."""
        current = view(endpoint(0, "desk"), endpoint(1, "desk"))
        placement = new_placement(current)
        placement.registry.record_misdirected(EndpointId("i-0"), 0)
        for number in range(5):
            reservation = placement.try_reserve(
                DESK, plain_terms(number), current, VM_IDS, 1_000, rank=0
            )
            assert reservation is not None
            self.assertEqual(reservation.endpoint.endpoint_id, "i-1")

    def test_draining_and_evacuated_get_nothing(self) -> None:
        """Draining endpoints and evacuated failure domains get no requests."""
        current = view(
            endpoint(0, is_draining=True),
            endpoint(1),
            evacuated=frozenset({FailureDomainId("b")}),
        )
        placement = new_placement(current)
        self.assertIsNone(placement.try_reserve(ENGINES, terms(), current, VM_IDS, 0, rank=0))

    def test_cold_endpoint_gets_its_share(self) -> None:
        """A cold endpoint gets at most this VM's share of its limit in any second."""
        current = view(endpoint(1, cold_until_ms=5_000))
        placement = new_placement(current)
        small = terms(shared=0, own=10)
        for now_ms in (0, 2_000):
            placement.update(view(endpoint(1, cold_until_ms=5_000), confirmed_ms=now_ms), now_ms)
            fresh = view(endpoint(1, cold_until_ms=5_000), confirmed_ms=now_ms)
            taken = [
                placement.try_reserve(ENGINES, small, fresh, VM_IDS, now_ms, rank=0)
                for _ in range(9)
            ]
            self.assertEqual(sum(reservation is not None for reservation in taken), 29 // 9)

    def test_stale_view_treats_every_engine_as_cold(self) -> None:
        """A VM without updates can't know which engines have restarted."""
        current = view(endpoint(1), confirmed_ms=0)
        placement = new_placement(current)
        small = terms(shared=0, own=10)
        now_ms = STALE_VIEW_MS + 1
        taken = [
            placement.try_reserve(ENGINES, small, current, VM_IDS, now_ms, rank=0) for _ in range(9)
        ]
        self.assertEqual(sum(reservation is not None for reservation in taken), 29 // 9)

    def test_unreachable_endpoint_counts_as_cold(self) -> None:
        """An endpoint that refused a connection may have restarted unnoticed."""
        current = view(endpoint(1))
        placement = new_placement(current)
        placement.registry.record_unreachable(EndpointId("i-1"), 0)
        tracked = placement.registry.get(EndpointId("i-1"))
        assert tracked is not None
        self.assertTrue(placement.registry.is_cold(tracked, ENGINES, 1_000, view_stale=False))

    def test_failing_endpoints_are_ejected_up_to_a_share(self) -> None:
        """A failure with a common cause does not eject every endpoint."""
        endpoints = [endpoint(number, "desk") for number in range(4)]
        current = view(*endpoints)
        placement = new_placement(current)
        for item in endpoints:
            for _ in range(3):
                placement.registry.record_request_failure(item.endpoint_id, 0)
        self.assertEqual(len(placement.registry.usable_endpoints("desk", current, 1)), 2)


if __name__ == "__main__":
    unittest.main()
