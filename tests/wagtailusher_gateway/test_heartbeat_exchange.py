"""Tests of the size of a heartbeat.

They guard against heartbeats that exceed a datagram as more loads or peers are included.
"""

from __future__ import annotations

import unittest

from wagtailusher_core import EndpointId, FailureDomainId, VmId
from wagtailusher_gateway.fleet import MAX_GOSSIP_PEERS
from wagtailusher_gateway.heartbeat_exchange import MAX_LOADS
from wagtailusher_wire import Beat, BeatLoad, BeatPeer
from wagtailusher_wire.codec import encode
from wagtailusher_wire.const import MAX_PAYLOAD_BYTES

ADDRESS = "100.100.100.100:65535"


class HeartbeatSizeTest(unittest.TestCase):
    """A heartbeat fits into one datagram, because the loss of any fragment would lose it all."""

    def test_largest_heartbeat_of_a_busy_vm_fits_into_a_datagram(self) -> None:
        load = BeatLoad(
            endpoint_id=EndpointId("i-882867ae9c"),
            requests=96,
            prefill_tokens=100_000,
            memory_tokens=500_000,
            recent_answers=300,
            recent_failures=300,
        )
        peer = BeatPeer(vm_id=VmId("front-valmiera-d-12"), peer_address=ADDRESS)
        heartbeat = Beat(
            address=ADDRESS,
            view_address=ADDRESS,
            failure_domain_id=FailureDomainId("valmiera-d"),
            weight=100,
            is_leaving=False,
            is_ready=True,
            view_revision=10_000_000,
            view_age_ms=100_000,
            loads=(load,) * MAX_LOADS,
            peers=(peer,) * MAX_GOSSIP_PEERS,
        )
        self.assertLessEqual(len(encode(heartbeat)), MAX_PAYLOAD_BYTES)


if __name__ == "__main__":
    unittest.main()
