"""A node of the simulated network that runs only membership."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from wagtailusher_bench.fleet.network import NodeSpec, Outgoing
from wagtailusher_core import Incarnation, PublishedVm, VmId
from wagtailusher_membership import Effect, MemberChanged, MembershipDecider, SendDatagram
from wagtailusher_wire import MemberState, Message


class MemberNode:
    """Runs a membership decider and records the member changes that it reports."""

    def __init__(
        self, node_spec: NodeSpec, *, incarnation: int, seed: int, published: Iterable[PublishedVm]
    ) -> None:
        self.node_spec = node_spec
        self.changes: list[MemberChanged] = []
        self.decider = MembershipDecider(
            vm_id=node_spec.vm_id,
            address=f"10.{node_spec.region}.0.1:80",
            peer_address=node_spec.address,
            failure_domain_id=node_spec.failure_domain_id,
            incarnation=Incarnation(incarnation),
            seed=seed,
        )
        self.decider.update_published(published, 0)

    def tick(self, now_ms: int) -> Iterator[Outgoing]:
        """Run the decider's due work and yield the messages to send."""
        return self.to_outgoing(self.decider.tick(now_ms))

    def receive(
        self, message: Message, now_ms: int, sender: VmId, address: str
    ) -> Iterator[Outgoing]:
        """Handle a message and yield the replies."""
        return self.to_outgoing(
            self.decider.handle(message, now_ms, sender=sender, address=address)
        )

    def next_due_ms(self, now_ms: int) -> int:
        """Return the time of the next tick in ms."""
        return self.decider.next_due_ms(now_ms)

    def state_of(self, vm_id: VmId) -> MemberState | None:
        """Return the state in which this node records a VM, None for an unknown one."""
        member = self.decider.members().get(vm_id)
        return member.state if member is not None else None

    def to_outgoing(self, effects: Iterable[Effect]) -> Iterator[Outgoing]:
        """Yield the messages among the effects and record the member changes."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                yield Outgoing(address=effect.address, message=effect.message)
            elif isinstance(effect, MemberChanged):
                self.changes.append(effect)
