"""Tests of the size of a heartbeat.

They guard against heartbeats that exceed a datagram as more loads or peers are included.
"""

from __future__ import annotations

from dataclasses import replace
import unittest

from tests.wagtailusher_gateway.builders import BUSY_BEAT, LONG_ADDRESS
from wagtailusher_core import VmId
from wagtailusher_gateway.fleet import MAX_GOSSIP_PEERS
from wagtailusher_wire import BeatPeer
from wagtailusher_wire.codec import encode
from wagtailusher_wire.const import MAX_PAYLOAD_BYTES


class HeartbeatSizeTest(unittest.TestCase):
    """A heartbeat fits into one datagram, because the loss of any fragment would lose it all."""

    def test_largest_heartbeat_of_a_busy_vm_fits_into_a_datagram(self) -> None:
        peer = BeatPeer(vm_id=VmId("front-valmiera-d-12"), peer_address=LONG_ADDRESS)
        heartbeat = replace(BUSY_BEAT, peers=(peer,) * MAX_GOSSIP_PEERS)
        self.assertLessEqual(len(encode(heartbeat)), MAX_PAYLOAD_BYTES)


if __name__ == "__main__":
    unittest.main()
