"""A simulated network in virtual time, with delay, loss, duplicates, partitions and pauses."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from typing import Protocol

from wagtailusher_core import FailureDomainId, VmId
from wagtailusher_wire import Message, encode

AUTH_AND_IP_BYTES = 1 + 1 + 8 + 8 + 16 + 28
_MAX_BUFFERED_MESSAGES = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSpec:
    """Identity and location of a simulated node."""

    vm_id: VmId
    failure_domain_id: FailureDomainId
    region: int

    @property
    def address(self) -> str:
        """Return the peer address."""
        return f"10.{self.region}.0.1:{self.vm_id}"


@dataclass(frozen=True, slots=True, kw_only=True)
class ChannelProfile:
    """Loss, duplication and delay of the channels.

    `loss` and `duplicates` are probabilities; `near_ms` and `far_ms` are one-way delays within
    and between regions.
    """

    loss: float = 0.0
    duplicates: float = 0.0
    near_ms: float = 1.5
    far_ms: float = 60.0
    jitter_ms: float = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """A message to send; one sent over a stream is lost only if the peer is unreachable."""

    address: str
    message: Message
    stream: bool = False


class Node(Protocol):
    """Interface of a node that the network runs."""

    node_spec: NodeSpec

    def tick(self, now_ms: int) -> Iterable[Outgoing]:
        """Run due work and return the messages to send."""

    def receive(
        self, message: Message, now_ms: int, sender: VmId, address: str
    ) -> Iterable[Outgoing]:
        """Handle a message and return the replies."""

    def next_due_ms(self, now_ms: int) -> int:
        """Return the time of the next tick in ms."""


class Traffic:
    """Counts sent messages and bytes; every `sample_every`-th message is encoded for its size."""

    def __init__(self, sample_every: int) -> None:
        self._sample_every = sample_every
        self.messages = 0
        self.bytes_by_node: dict[VmId, int] = {}
        self.largest_datagram_bytes = 0

    def reset(self) -> None:
        """Reset the counts, except for the largest datagram."""
        self.messages = 0
        self.bytes_by_node.clear()

    def count(self, vm_id: VmId, outgoing: Outgoing) -> None:
        """Count a sent message; sizes include authentication and IP headers."""
        self.messages += 1
        if self.messages % self._sample_every:
            return
        size = len(encode(outgoing.message)) + len(vm_id) + AUTH_AND_IP_BYTES
        if not outgoing.stream:
            self.largest_datagram_bytes = max(self.largest_datagram_bytes, size)
        previous_bytes = self.bytes_by_node.get(vm_id, 0)
        self.bytes_by_node[vm_id] = previous_bytes + size * self._sample_every


class Network:
    """Runs nodes in virtual time."""

    def __init__(self, *, seed: int, profile: ChannelProfile, sample_every: int = 7) -> None:
        self.now_ms = 0
        self.profile = profile
        self.traffic = Traffic(sample_every)
        self.blocked: Callable[[NodeSpec, NodeSpec], bool] = lambda a, b: False
        self.nodes: dict[str, Node] = {}
        self._rng = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._paused_until_ms: dict[str, int] = {}
        self._buffered: dict[str, int] = {}

    def call_at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time in ms."""
        self._event_count += 1
        heappush(self._events, (time_ms, self._event_count, action))

    def start(self, node: Node) -> None:
        """Add a node, replacing an older process at its address."""
        address = node.node_spec.address
        self.nodes[address] = node
        self._paused_until_ms.pop(address, None)
        self.call_at(self.now_ms, lambda: self._tick(node))

    def stop(self, node: Node) -> None:
        """Stop a node without a leave message, as a crash does."""
        if self.nodes.get(node.node_spec.address) is node:
            del self.nodes[node.node_spec.address]

    def pause(self, node: Node, time_ms: int) -> None:
        """Pause a node for `time_ms`; its socket buffers a bounded number of messages."""
        self._paused_until_ms[node.node_spec.address] = self.now_ms + time_ms

    def run_until(self, end_ms: int, stop: Callable[[], bool] | None = None) -> bool:
        """Run events until a time, or until the condition holds; return whether it held."""
        checked_ms = -1
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, action = heappop(self._events)
            self.now_ms = max(self.now_ms, int(time_ms))
            action()
            if stop is not None and self.now_ms >= checked_ms + 20:
                checked_ms = self.now_ms
                if stop():
                    return True
        self.now_ms = end_ms
        return stop is not None and stop()

    def send(self, node: Node, outgoing: Outgoing) -> None:
        """Send a message; a datagram may be lost or duplicated."""
        node_spec = node.node_spec
        self.traffic.count(node_spec.vm_id, outgoing)
        copies = 1 if outgoing.stream else self._sample_copies()
        for _ in range(copies):
            arrival_ms = self.now_ms + self._delay_ms(node_spec, outgoing)
            self.call_at(arrival_ms, lambda: self._deliver(node_spec, outgoing))

    def _sample_copies(self) -> int:
        """Return the number of copies of a datagram that arrive."""
        if self.profile.loss and self._rng.random() < self.profile.loss:
            return 0
        if self.profile.duplicates and self._rng.random() < self.profile.duplicates:
            return 2
        return 1

    def _delay_ms(self, source: NodeSpec, outgoing: Outgoing) -> float:
        """Return the delivery delay; a stream adds a round trip, and a retransmission per loss."""
        target = self.nodes.get(outgoing.address)
        near = target is not None and target.node_spec.region == source.region
        way_ms = self.profile.near_ms if near else self.profile.far_ms
        delay_ms = way_ms + self._rng.expovariate(1 / self.profile.jitter_ms)
        if not outgoing.stream:
            return delay_ms
        while self.profile.loss and self._rng.random() < self.profile.loss:
            delay_ms += 200 + 2 * way_ms
        return delay_ms + 2 * way_ms

    def _deliver(self, source: NodeSpec, outgoing: Outgoing) -> None:
        """Deliver a message, unless its target is stopped or partitioned from the source."""
        node = self.nodes.get(outgoing.address)
        if node is None or self.blocked(source, node.node_spec):
            return
        address = outgoing.address
        resumes_ms = self._paused_until_ms.get(address, 0)
        if resumes_ms > self.now_ms:
            waiting = self._buffered.get(address, 0)
            if waiting < _MAX_BUFFERED_MESSAGES:
                self._buffered[address] = waiting + 1
                self.call_at(resumes_ms, lambda: self._deliver(source, outgoing))
            return
        self._buffered.pop(address, None)
        message = outgoing.message
        for answer in node.receive(message, self.now_ms, source.vm_id, source.address):
            self.send(node, answer)

    def _tick(self, node: Node) -> None:
        """Tick a node and schedule its next tick."""
        address = node.node_spec.address
        if self.nodes.get(address) is not node:
            return
        resumes_ms = self._paused_until_ms.get(address, 0)
        if resumes_ms > self.now_ms:
            self.call_at(resumes_ms, lambda: self._tick(node))
            return
        for outgoing in node.tick(self.now_ms):
            self.send(node, outgoing)
        due_ms = max(self.now_ms + 1, node.next_due_ms(self.now_ms))
        self.call_at(due_ms, lambda: self._tick(node))
