"""Tests of the size of a heartbeat.

They guard against heartbeats that exceed a datagram as more loads, peers or longer names are
included.
"""

from __future__ import annotations

from dataclasses import replace
import unittest

from tests.wagtailusher_gateway.builders import BUSY_BEAT, BUSY_LOAD, LONG_ADDRESS
from wagtailusher_core import EndpointId, VmId
from wagtailusher_gateway.fleet import MAX_GOSSIP_PEERS
from wagtailusher_gateway.heartbeat_exchange import MAX_LOADS, shorten_heartbeat
from wagtailusher_wire import BeatPeer
from wagtailusher_wire.codec import encode
from wagtailusher_wire.const import MAX_PAYLOAD_BYTES

MAX_NAME_CHARACTERS = 200
BARE_BEAT = replace(BUSY_BEAT, loads=())


class HeartbeatSizeTest(unittest.TestCase):
    """A heartbeat fits into one datagram, because the loss of any fragment would lose it all."""

    def test_largest_heartbeat_of_a_busy_vm_fits_into_a_datagram(self) -> None:
        peer = BeatPeer(vm_id=VmId("front-valmiera-d-12"), peer_address=LONG_ADDRESS)
        heartbeat = replace(BUSY_BEAT, peers=(peer,) * MAX_GOSSIP_PEERS)
        self.assertLessEqual(len(encode(heartbeat)), MAX_PAYLOAD_BYTES)

    def test_heartbeat_with_the_longest_names_reports_what_fits_into_a_datagram(self) -> None:
        name = "\u0142" * MAX_NAME_CHARACTERS
        heartbeat = replace(
            BUSY_BEAT,
            loads=tuple(
                replace(BUSY_LOAD, endpoint_id=EndpointId(f"{number:0192}"))
                for number in range(MAX_LOADS)
            ),
            peers=tuple(
                BeatPeer(vm_id=VmId(f"{number:064}"), peer_address=LONG_ADDRESS)
                for number in range(MAX_GOSSIP_PEERS)
            ),
            unreached_services=tuple(f"{name}{number}" for number in range(MAX_LOADS)),
        )
        short = shorten_heartbeat(heartbeat)
        self.assertLessEqual(len(encode(short)), MAX_PAYLOAD_BYTES)
        for part, whole in ((short.loads, heartbeat.loads), (short.peers, heartbeat.peers)):
            self.assertTrue(part)
            self.assertEqual(part, whole[: len(part)])
        self.assertEqual(replace(short, loads=(), peers=(), unreached_services=()), BARE_BEAT)


if __name__ == "__main__":
    unittest.main()
