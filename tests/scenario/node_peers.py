"""Communication of a scenario's entry VM with its peers and the platform."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from tests.scenario.platform import decode_configuration, validate_configuration
from wagtailusher_core import PublishedVm, Revision, VmId
from wagtailusher_membership import (
    ApplyConfiguration,
    ConfigurationDecider,
    ConfigurationEffect,
    FetchContent,
    ReadService,
    SendDatagram,
)
from wagtailusher_membership.table import MemberTable
from wagtailusher_placement import EndpointInfo
from wagtailusher_quarantine import QuarantineSummary
from wagtailusher_router import PeerAction, SendLeaseGrant, SendLeaseRecall, SendLeaseRequest
from wagtailusher_wire import ContentAnswer

if TYPE_CHECKING:
    from tests.scenario.node import EntryNode

LIST_READ_INTERVAL_MS = 500
LIST_DELAY_MS = 100
CONFIGURATION_TICK_MS = 100
GOSSIP_INTERVAL_MS = 200
GOSSIP_FANOUT = 3
MAX_MEMBERS = 256


class NodePeers:
    """Exchange of leases, quarantine summaries, configurations and lists for one process."""

    def __init__(self, node: EntryNode, vm: PublishedVm) -> None:
        """Start the periodic reads of the lists, the configuration decider and the gossip."""
        self._node = node
        self._fleet = node.fleet
        self._table = MemberTable(max_members=MAX_MEMBERS, buckets=1)
        self._domain_id = vm.failure_domain_id
        self.is_ready = False
        self._configuration = ConfigurationDecider(
            vm_id=vm.vm_id,
            failure_domain_id=vm.failure_domain_id,
            members=self._table.view,
            validate=validate_configuration,
            seed=self._fleet.rng.getrandbits(32),
        )
        self._read_lists()
        rng = self._fleet.rng
        node.call_every(
            LIST_READ_INTERVAL_MS, self._read_lists, first_ms=rng.random() * LIST_READ_INTERVAL_MS
        )
        node.call_every(
            CONFIGURATION_TICK_MS,
            lambda: self._execute(self._configuration.tick(node.now_ms)),
            first_ms=rng.random() * CONFIGURATION_TICK_MS,
        )
        node.call_every(
            GOSSIP_INTERVAL_MS, self._gossip, first_ms=rng.random() * GOSSIP_INTERVAL_MS
        )

    def send_lease(self, action: PeerAction) -> None:
        """Send a lease request, grant or recall to its receiver."""
        receiver_id = _receiver_of(action)
        self._fleet.send_message(
            self._node.vm_id, receiver_id, lambda peer: peer.peers.receive_lease(action)
        )

    def receive_lease(self, action: PeerAction) -> None:
        """Handle a lease request, grant or recall."""
        node = self._node
        if isinstance(action, SendLeaseRequest):
            node.apply(node.router.handle_lease_request(action.request, node.now_ms))
        elif isinstance(action, SendLeaseGrant):
            node.apply(node.router.handle_lease_grant(action.grant, node.now_ms))
        else:
            node.router.handle_lease_recall(action.recall, node.now_ms)

    def _read_lists(self) -> None:
        """Read the platform's lists, which arrive after a delay."""
        vms, version = self._fleet.published_vms, self._fleet.published_version
        endpoints = self._fleet.published_endpoints()
        self._node.call_later(LIST_DELAY_MS, lambda: self._apply_lists(vms, version, endpoints))

    def _apply_lists(
        self, vms: tuple[PublishedVm, ...], version: int, endpoints: tuple[EndpointInfo, ...]
    ) -> None:
        """Apply the published lists to the member table and the router."""
        node = self._node
        for _ in self._table.merge_published(vms, node.now_ms):
            pass
        node.router.update_published(vms, node.now_ms, version)
        node.apply(node.router.update_endpoints(endpoints, node.now_ms))

    def _gossip(self) -> None:
        """Send unsent quarantine evidence to a few random peers."""
        node = self._node
        others = [peer_id for peer_id in self._fleet.node_ids() if peer_id != node.vm_id]
        for peer_id in self._fleet.rng.sample(others, min(GOSSIP_FANOUT, len(others))):
            if not node.quarantine.has_unsent_evidence(node.now_ms):
                return
            self._send_summary(peer_id, node.router.quarantine_summary(node.now_ms))

    def _send_summary(self, peer_id: VmId, summary: QuarantineSummary) -> None:
        """Send a quarantine summary to a peer."""
        self._fleet.send_message(
            self._node.vm_id,
            peer_id,
            lambda peer: peer.router.merge_quarantine(summary, peer.now_ms),
        )

    # Configurations.

    def _execute(self, effects: Iterable[ConfigurationEffect]) -> None:
        """Execute the effects of the configuration decider."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send_datagram(effect)
            elif isinstance(effect, FetchContent):
                self._fetch_content(effect)
            elif isinstance(effect, ReadService):
                self._fleet.service.read(
                    effect.since, self._handle_service_answer, self._handle_service_failure
                )
            elif isinstance(effect, ApplyConfiguration):
                self._apply_configuration(effect)

    def _apply_configuration(self, effect: ApplyConfiguration) -> None:
        """Apply a configuration; the node is ready from the first one on."""
        node = self._node
        self.is_ready = True
        self._fleet.record_configuration(node.vm_id, effect.revision)
        drained = decode_configuration(effect.content)
        node.apply(node.router.update_drained_domains(drained, node.now_ms))

    def _send_datagram(self, effect: SendDatagram) -> None:
        """Send a configuration datagram, which may be lost."""
        sender_id = self._node.vm_id

        def receive(peer: EntryNode) -> None:
            receiver_peers = peer.peers
            receiver_peers._execute(
                receiver_peers._configuration.handle(
                    effect.message, peer.now_ms, sender=sender_id, address=sender_id
                )
            )

        self._fleet.send_message(sender_id, effect.vm_id, receive)

    def _fetch_content(self, effect: FetchContent) -> None:
        """Fetch content from a peer over a stream."""
        sender_id = self._node.vm_id

        def receive(peer: EntryNode) -> None:
            answer = peer.peers._configuration.answer_content_request(
                effect.request, peer.now_ms, sender=sender_id
            )
            if answer is not None:
                peer.peers._send_content(sender_id, answer)

        self._fleet.send_message(sender_id, effect.vm_id, receive, stream=True)

    def _send_content(self, receiver_id: VmId, answer: ContentAnswer) -> None:
        """Send content to the peer that requested it."""
        sender_id = self._node.vm_id

        def receive(peer: EntryNode) -> None:
            effects = peer.peers._configuration.handle_fetch_result(
                answer, peer.now_ms, sender=sender_id
            )
            peer.peers._execute(effects)

        self._fleet.send_message(sender_id, receiver_id, receive, stream=True)

    def _handle_service_answer(self, revision: Revision | None, content: bytes) -> None:
        """Handle the service's answer, after a pause if the process is paused."""
        self._node.run(lambda: self._apply_service_answer(revision, content))

    def _apply_service_answer(self, revision: Revision | None, content: bytes) -> None:
        """Pass the service's answer to the decider."""
        now_ms = self._node.now_ms
        if revision is None:
            self._configuration.handle_service_unchanged(now_ms)
            return
        self._execute(self._configuration.handle_service_content(revision, content, now_ms))

    def _handle_service_failure(self) -> None:
        """Report to the decider that the service can't be read."""
        self._node.run(lambda: self._configuration.handle_service_failure(self._node.now_ms))


def _receiver_of(action: PeerAction) -> VmId:
    """Return the VM that receives a lease message."""
    if isinstance(action, SendLeaseRequest):
        return action.steward_id
    if isinstance(action, SendLeaseGrant):
        return action.node_id
    assert isinstance(action, SendLeaseRecall)
    return action.recall.node_id
