"""A node of the simulated network that runs only configuration spread, with listed members."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from wagtailusher_bench.fleet.configuration_service import ConfigurationService
from wagtailusher_bench.fleet.network import Network, NodeSpec, Outgoing
from wagtailusher_core import PublishedVm, Revision, VmId
from wagtailusher_membership import (
    ApplyConfiguration,
    ConfigurationDecider,
    ConfigurationEffect,
    FetchContent,
    ReadService,
    SendDatagram,
    StartupSyncCompleted,
)
from wagtailusher_membership.table import MemberTable
from wagtailusher_wire import ContentAnswer, ContentRequest, Message


def validate_content(revision: Revision, content: bytes) -> str | None:
    """Return an error for content that starts with `invalid`, and None for all other content."""
    return "marked invalid" if content.startswith(b"invalid") else None


class ConfigurationNode:
    """Runs a configuration decider and records the revisions that it applied, with times."""

    def __init__(
        self,
        node_spec: NodeSpec,
        *,
        network: Network,
        service: ConfigurationService,
        published: Iterable[PublishedVm],
        seed: int,
    ) -> None:
        self.node_spec = node_spec
        self.applied: list[tuple[int, Revision]] = []
        self.settled: StartupSyncCompleted | None = None
        self.effects: list[ConfigurationEffect] = []
        self._network = network
        self._service = service
        self._table = MemberTable(max_members=2_048, buckets=1)
        self.publish(published, 0)
        self.decider = ConfigurationDecider(
            vm_id=node_spec.vm_id,
            failure_domain_id=node_spec.failure_domain_id,
            members=self._table.view,
            validate=validate_content,
            seed=seed,
        )

    def publish(self, published: Iterable[PublishedVm], now_ms: int) -> None:
        """Apply the platform's list of VMs."""
        for _ in self._table.merge_published(published, now_ms):
            pass

    def tick(self, now_ms: int) -> Iterator[Outgoing]:
        """Run the decider's due work and yield the messages to send."""
        return self._execute(self.decider.tick(now_ms))

    def receive(
        self, message: Message, now_ms: int, sender: VmId, address: str
    ) -> Iterator[Outgoing]:
        """Handle a message and yield the replies."""
        if isinstance(message, ContentRequest):
            answer = self.decider.answer_content_request(message, now_ms, sender=sender)
            if answer is not None:
                yield Outgoing(address=address, message=answer, stream=True)
            return
        if isinstance(message, ContentAnswer):
            yield from self._execute(
                self.decider.handle_fetch_result(message, now_ms, sender=sender)
            )
            return
        effects = self.decider.handle(message, now_ms, sender=sender, address=address)
        yield from self._execute(effects)

    def next_due_ms(self, now_ms: int) -> int:
        """Return the time of the next tick in ms."""
        return self.decider.next_due_ms(now_ms)

    def _execute(self, effects: Iterable[ConfigurationEffect]) -> Iterator[Outgoing]:
        """Yield the messages among the effects and execute the others."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                yield Outgoing(address=effect.address, message=effect.message)
            elif isinstance(effect, FetchContent):
                yield Outgoing(address=effect.address, message=effect.request, stream=True)
            elif isinstance(effect, ReadService):
                region = self.node_spec.region
                self._service.read(region, effect.since, self._handle_answer, self._handle_failure)
            elif isinstance(effect, ApplyConfiguration):
                self.applied.append((self._network.now_ms, effect.revision))
            elif isinstance(effect, StartupSyncCompleted):
                self.settled = effect
            else:
                self.effects.append(effect)

    def _handle_answer(self, revision: Revision | None, content: bytes) -> None:
        """Pass the service's answer to the decider, unless the process was stopped or replaced."""
        if self._network.nodes.get(self.node_spec.address) is not self:
            return
        if revision is None:
            self.decider.handle_service_unchanged(self._network.now_ms)
            return
        now_ms = self._network.now_ms
        for outgoing in self._execute(
            self.decider.handle_service_content(revision, content, now_ms)
        ):
            self._network.send(self, outgoing)

    def _handle_failure(self) -> None:
        """Report the failed read to the decider."""
        self.decider.handle_service_failure(self._network.now_ms)
