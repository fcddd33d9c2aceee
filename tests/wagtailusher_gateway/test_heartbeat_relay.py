"""Tests of what a VM passes on within its failure domain.

They guard against old heartbeats that look new, and against datagrams that are too large.
"""

from __future__ import annotations

from dataclasses import replace
import unittest

from tests.wagtailusher_gateway.builders import BUSY_BEAT, BUSY_LOAD, LONG_ADDRESS
from wagtailusher_core import EndpointId, Incarnation, VmId
from wagtailusher_gateway.const import RELAY_PAUSE_MS, RELAY_SETTLE_MS
from wagtailusher_gateway.heartbeat_relay import (
    HeartbeatRelay,
    original_beat,
    relaying_heartbeats,
)
from wagtailusher_wire import (
    MAX_PAYLOAD_BYTES,
    AuthenticatedMessage,
    decode,
    encode,
)


def sender(number: int = 1) -> AuthenticatedMessage:
    """Return the authenticated message of a VM."""
    return AuthenticatedMessage(
        vm_id=VmId(f"front-valmiera-d-{number}"),
        incarnation=Incarnation(1_800_000_000_000),
        sequence=1,
        payload=b"",
    )


class HeartbeatRelayTest(unittest.TestCase):
    """Heartbeats are passed on with the time since they arrived."""

    def setUp(self) -> None:
        self.relay = HeartbeatRelay()
        self.relay.tick(0)

    def test_heartbeat_is_passed_on_with_its_age(self) -> None:
        self.relay.add(sender(), LONG_ADDRESS, BUSY_BEAT, 40)
        self.relay.tick(50)
        (relayed,) = self.relay.received_since(20, 90)
        self.assertEqual(relayed.age_ms, 50)
        self.assertEqual(self.relay.received_since(60, 90), ())

    def test_heartbeats_that_waited_for_a_paused_process_are_not_passed_on(self) -> None:
        woke_ms = 5_000
        self.relay.add(sender(), LONG_ADDRESS, BUSY_BEAT, woke_ms)
        self.relay.tick(woke_ms)
        self.relay.add(sender(2), LONG_ADDRESS, BUSY_BEAT, woke_ms + 20)
        self.assertEqual(self.relay.received_since(0, woke_ms + 30), ())
        settled_ms = woke_ms + RELAY_SETTLE_MS
        for now_ms in range(woke_ms, settled_ms + 1, RELAY_PAUSE_MS // 3):
            self.relay.tick(now_ms)
        self.relay.add(sender(), LONG_ADDRESS, BUSY_BEAT, settled_ms)
        self.assertEqual(len(self.relay.received_since(0, settled_ms)), 1)

    def test_every_relaying_heartbeat_fits_into_a_datagram(self) -> None:
        for number in range(40):
            self.relay.add(sender(number), LONG_ADDRESS, BUSY_BEAT, 10)
        relayed = self.relay.received_since(0, 20)
        parts = list(relaying_heartbeats(BUSY_BEAT, relayed))
        self.assertLessEqual(max(len(encode(part)) for part in parts), MAX_PAYLOAD_BYTES)
        passed_on = [item for part in parts for item in part.relayed]
        self.assertEqual(len({item.vm_id for item in passed_on}), 40)
        self.assertEqual(decode(encode(parts[0])), parts[0])

    def test_heartbeats_with_long_names_are_passed_on_without_their_least_loads(self) -> None:
        loads = tuple(
            replace(BUSY_LOAD, endpoint_id=EndpointId(f"{number:0192}")) for number in range(4)
        )
        busy = replace(BUSY_BEAT, loads=loads)
        for number in range(3):
            self.relay.add(sender(number), LONG_ADDRESS, busy, 10)
        parts = list(relaying_heartbeats(busy, self.relay.received_since(0, 20)))
        self.assertLessEqual(max(len(encode(part)) for part in parts), MAX_PAYLOAD_BYTES)
        passed_on = [item for part in parts for item in part.relayed]
        self.assertEqual(len({item.vm_id for item in passed_on}), 3)
        for item in passed_on:
            self.assertEqual(item.loads, loads[: len(item.loads)])
            self.assertGreaterEqual(len(item.loads), 2)
        self.assertEqual(parts[-1].loads, loads)

    def test_original_heartbeat_is_restored(self) -> None:
        self.relay.add(sender(), LONG_ADDRESS, replace(BUSY_BEAT, loads=(BUSY_LOAD,)), 10)
        (relayed,) = self.relay.received_since(0, 20)
        self.assertEqual(original_beat(relayed), replace(BUSY_BEAT, loads=(BUSY_LOAD,)))


if __name__ == "__main__":
    unittest.main()
