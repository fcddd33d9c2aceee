"""A node of the network that runs configuration spread only, with members from the list."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from wagtailusher_bench.fleet.network import Network, NodeSpec, Outgoing
from wagtailusher_bench.fleet.service import ConfigurationService
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


def accept_all(revision: Revision, content: bytes) -> str | None:
    """Find every configuration valid but those that say they aren't."""
    return "marked invalid" if content.startswith(b"invalid") else None


class ConfigurationNode:
    """Runs a configuration decider and records what it put in force."""

    def __init__(
        self,
        node_spec: NodeSpec,
        *,
        network: Network,
        service: ConfigurationService,
        published: Iterable[PublishedVm],
        seed: int,
    ) -> None:
        """Start a process at a place."""
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
            validate=accept_all,
            seed=seed,
        )

    def publish(self, published: Iterable[PublishedVm], now_ms: int) -> None:
        """Take the platform's list in."""
        for _ in self._table.merge_published(published, now_ms):
            pass

    def tick(self, now_ms: int) -> Iterator[Outgoing]:
        """Do what is due."""
        return self._carry_out(self.decider.tick(now_ms))

    def receive(
        self, message: Message, now_ms: int, sender: VmId, address: str
    ) -> Iterator[Outgoing]:
        """Take a message in."""
        if isinstance(message, ContentRequest):
            answer = self.decider.answer_content_request(message, now_ms, sender=sender)
            if answer is not None:
                yield Outgoing(address=address, message=answer, stream=True)
            return
        if isinstance(message, ContentAnswer):
            yield from self._carry_out(
                self.decider.handle_fetch_result(message, now_ms, sender=sender)
            )
            return
        effects = self.decider.handle(message, now_ms, sender=sender, address=address)
        yield from self._carry_out(effects)

    def next_due_ms(self, now_ms: int) -> int:
        """Return when to tick next."""
        return self.decider.next_due_ms(now_ms)

    def _carry_out(self, effects: Iterable[ConfigurationEffect]) -> Iterator[Outgoing]:
        """Yield the messages among effects, and do the others."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                yield Outgoing(address=effect.address, message=effect.message)
            elif isinstance(effect, FetchContent):
                yield Outgoing(address=effect.address, message=effect.request, stream=True)
            elif isinstance(effect, ReadService):
                region = self.node_spec.region
                self._service.read(region, effect.since, self._answered, self._failed)
            elif isinstance(effect, ApplyConfiguration):
                self.applied.append((self._network.now_ms, effect.revision))
            elif isinstance(effect, StartupSyncCompleted):
                self.settled = effect
            else:
                self.effects.append(effect)

    def _answered(self, revision: Revision | None, content: bytes) -> None:
        """Hand the service's answer over, if the process still runs."""
        if self._network.nodes.get(self.node_spec.address) is not self:
            return
        if revision is None:
            self.decider.handle_service_unchanged(self._network.now_ms)
            return
        now_ms = self._network.now_ms
        for outgoing in self._carry_out(
            self.decider.handle_service_content(revision, content, now_ms)
        ):
            self._network.send(self, outgoing)

    def _failed(self) -> None:
        """Tell that the service failed."""
        self.decider.handle_service_failure(self._network.now_ms)
