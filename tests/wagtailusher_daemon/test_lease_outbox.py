"""Tests of batched lease messages and of the choice of engines whose load is polled."""

from __future__ import annotations

import unittest

from wagtailusher_core import EndpointId, FailureDomainId, PoolId, VmId
from wagtailusher_daemon.lease_outbox import LeaseOutbox
from wagtailusher_daemon.load_reports import LoadReportCache
from wagtailusher_placement import EndpointInfo, LoadReport
from wagtailusher_wire import MAX_PAYLOAD_BYTES, LeaseRequest, decode, encode

OWN = VmId("entry-0")


def request(number: int, name_chars: int = 20) -> LeaseRequest:
    """Return a lease request."""
    return LeaseRequest(
        node_id=OWN,
        endpoint_id=EndpointId(f"{number}".rjust(name_chars, "e")),
        held=1,
        in_flight=1,
        demand_by_tier=(0, 1, 2, 0, 0, 0, 9),
        sequence=number,
    )


def engine(name: str) -> EndpointInfo:
    """Return an engine."""
    return EndpointInfo(
        endpoint_id=EndpointId(name),
        pool_ids=frozenset({PoolId("advisor")}),
        failure_domain_id=FailureDomainId("a"),
        address="127.0.0.1:1",
    )


class LeaseOutboxTest(unittest.TestCase):
    """Guards against messages lost when a batch exceeds a datagram and is split."""

    def test_batches_fit_a_datagram_and_lose_nothing(self) -> None:
        for count in (0, 1, 4, 37):
            with self.subTest(count=count):
                outbox = LeaseOutbox(requests=[request(number) for number in range(count)])
                batches = list(outbox.pop_batches())
                self.assertTrue(all(len(encode(item)) <= MAX_PAYLOAD_BYTES for item in batches))
                self.assertEqual([decode(encode(item)) for item in batches], batches)
                sequences = [item.sequence for batch in batches for item in batch.requests]
                self.assertEqual(sequences, list(range(count)))
                self.assertEqual(list(outbox.pop_batches()), [])

    def test_request_too_large_for_a_datagram_is_dropped(self) -> None:
        outbox = LeaseOutbox(requests=[request(1), request(2, name_chars=2_000), request(3)])
        sequences = [item.sequence for batch in outbox.pop_batches() for item in batch.requests]
        self.assertEqual(sequences, [1, 3])


class LoadReportCacheTest(unittest.TestCase):
    """The steward polls each time, other VMs only when reports are out of date."""

    def test_engines_to_poll(self) -> None:
        cache = LoadReportCache(OWN)
        own, other = engine("mine"), engine("other")
        stewards = {own.endpoint_id: OWN, other.endpoint_id: VmId("entry-1")}

        def polled(now_ms: int) -> list[EndpointId]:
            return [
                info.endpoint_id for info in cache.engines_to_poll((other, own), stewards, now_ms)
            ]

        self.assertEqual(polled(10_000), ["mine", "other"])
        self.assertEqual(polled(10_250), ["mine"])
        cache.record(LoadReport(endpoint_id=other.endpoint_id, reported_at_ms=11_900), 11_900)
        self.assertEqual(polled(13_000), ["mine"])
        self.assertEqual(polled(13_900), ["mine", "other"])


if __name__ == "__main__":
    unittest.main()
