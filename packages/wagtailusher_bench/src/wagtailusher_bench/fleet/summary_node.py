"""A node of the simulated network that runs only summaries, with listed members."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from wagtailusher_bench.fleet.network import NodeSpec, Outgoing
from wagtailusher_core import ClassKey, Incarnation, PublishedVm, VmId
from wagtailusher_membership import SummaryDecider
from wagtailusher_membership.table import MemberTable
from wagtailusher_wire import Message


class SummaryNode:
    """Runs a summary decider; `claims` is the demand set by the measurement."""

    def __init__(self, node_spec: NodeSpec, *, published: Iterable[PublishedVm], seed: int) -> None:
        self.node_spec = node_spec
        self.claims: dict[ClassKey, int] = {}
        self.table = MemberTable(max_members=2_048, buckets=1)
        for _ in self.table.merge_published(published, 0):
            pass
        self.decider = SummaryDecider(
            vm_id=node_spec.vm_id,
            failure_domain_id=node_spec.failure_domain_id,
            incarnation=Incarnation(1),
            members=self.table.view,
            seed=seed,
        )

    def tick(self, now_ms: int) -> Iterator[Outgoing]:
        """Run the decider's due work and yield the messages to send."""
        for effect in self.decider.tick(now_ms):
            yield Outgoing(address=effect.address, message=effect.message)

    def receive(
        self, message: Message, now_ms: int, sender: VmId, address: str
    ) -> Iterator[Outgoing]:
        """Handle a message and yield the replies."""
        for effect in self.decider.handle(message, now_ms, sender=sender, address=address):
            yield Outgoing(address=effect.address, message=effect.message)

    def next_due_ms(self, now_ms: int) -> int:
        """Return the time of the next tick in ms."""
        return self.decider.next_due_ms(now_ms)
