"""Tests of the simulated network that the fleet's measurements run on.

A network without the configured loss, delay or pauses would make measurements too good.
"""

from __future__ import annotations

from collections.abc import Iterator
from unittest import TestCase

from wagtailusher_bench.fleet.network import ChannelProfile, Network, NodeSpec, Outgoing
from wagtailusher_bench.fleet.node_specs import make_node_specs
from wagtailusher_core import VmId
from wagtailusher_wire import Message, Nack


class _Recorder:
    """Records received messages and ticks with their times."""

    def __init__(self, node_spec: NodeSpec) -> None:
        self.node_spec = node_spec
        self.arrivals: list[tuple[int, Message]] = []
        self.ticks_ms: list[int] = []

    def tick(self, now_ms: int) -> Iterator[Outgoing]:
        """Record the time of the tick."""
        self.ticks_ms.append(now_ms)
        return iter(())

    def receive(
        self, message: Message, now_ms: int, sender: VmId, address: str
    ) -> Iterator[Outgoing]:
        """Record a message with its arrival time."""
        self.arrivals.append((now_ms, message))
        return iter(())

    def next_due_ms(self, now_ms: int) -> int:
        """Return the time of the next tick, 100 ms later."""
        return now_ms + 100


class NetworkTest(TestCase):
    """Loss, duplicates, partitions and pauses occur as configured."""

    def _send(self, count: int, profile: ChannelProfile) -> tuple[Network, _Recorder]:
        """Send messages from a node in one region to a node in another."""
        network = Network(seed=1, profile=profile)
        source, target = (_Recorder(node_spec) for node_spec in make_node_specs(9)[:2])
        network.start(source)
        network.start(target)
        for number in range(count):
            message = Nack(sequence=number, subject=VmId("x"))
            network.send(source, Outgoing(address=target.node_spec.address, message=message))
        return network, target

    def test_delay_order_loss_and_duplicates(self) -> None:
        network, target = self._send(1_000, ChannelProfile())
        network.run_until(10_000)
        self.assertEqual(len(target.arrivals), 1_000)
        self.assertGreaterEqual(target.arrivals[0][0], 60)
        numbers = [m.sequence for _, m in target.arrivals if isinstance(m, Nack)]
        self.assertNotEqual(numbers, sorted(numbers))
        network, target = self._send(1_000, ChannelProfile(loss=0.1))
        network.run_until(10_000)
        self.assertTrue(850 < len(target.arrivals) < 950)
        network, target = self._send(1_000, ChannelProfile(duplicates=0.1))
        network.run_until(10_000)
        self.assertTrue(1_050 < len(target.arrivals) < 1_150)

    def test_partition_drops_messages_in_transit(self) -> None:
        network, target = self._send(10, ChannelProfile())
        network.blocked = lambda a, b: True
        network.run_until(10_000)
        self.assertEqual(target.arrivals, [])

    def test_pause_delays_ticks_and_messages(self) -> None:
        network, target = self._send(10, ChannelProfile())
        network.pause(target, 5_000)
        network.run_until(10_000)
        self.assertEqual(len(target.arrivals), 10)
        self.assertEqual({time_ms for time_ms, _ in target.arrivals}, {5_000})
        self.assertGreaterEqual(min(target.ticks_ms), 5_000)
