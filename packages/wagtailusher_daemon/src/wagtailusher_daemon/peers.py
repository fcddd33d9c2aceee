"""The messages between this process and its peers."""

from __future__ import annotations

from collections.abc import Callable

from wagtailusher_core import VmId, callback
from wagtailusher_daemon.conversion import convert
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.peer_link import PeerLink, Receive
from wagtailusher_placement import LeaseGrant, LeaseRecall, LeaseRequest
from wagtailusher_router import PeerAction, SendLeaseGrant, SendLeaseRequest
from wagtailusher_wire import LeaseGrant as LeaseGrantMessage
from wagtailusher_wire import LeaseRecall as LeaseRecallMessage
from wagtailusher_wire import LeaseRequest as LeaseRequestMessage
from wagtailusher_wire import Message, Sealed


class Peers:
    """Turns the deciders' messages into those on the wire and back."""

    def __init__(self, peer_address_of: Callable[[VmId], str | None], others: Receive) -> None:
        """Prepare without a socket; messages that are not about leases go to `others`."""
        self._peer_address_of = peer_address_of
        self._others = others
        self._link: PeerLink | None = None
        self._node: RouterNode | None = None

    @callback
    def attach(self, link: PeerLink, node: RouterNode) -> None:
        """Take the socket and the node."""
        self._link = link
        self._node = node

    @callback
    def send(self, action: PeerAction) -> None:
        """Send a lease message of the decider."""
        if isinstance(action, SendLeaseRequest):
            self._send_to(action.steward_id, convert(action.request, LeaseRequestMessage))
        elif isinstance(action, SendLeaseGrant):
            self._send_to(action.node_id, convert(action.grant, LeaseGrantMessage))
        else:
            self._send_to(action.recall.node_id, convert(action.recall, LeaseRecallMessage))

    @callback
    def receive(self, message: Message, sealed: Sealed, address: str) -> None:
        """Hand a peer's message in; a sender may only speak for itself."""
        assert self._node is not None
        if isinstance(message, LeaseRequestMessage):
            if message.node_id == sealed.vm_id:
                self._node.lease_requested(convert(message, LeaseRequest))
        elif isinstance(message, LeaseGrantMessage):
            if message.steward_id == sealed.vm_id:
                self._node.lease_granted(convert(message, LeaseGrant))
        elif isinstance(message, LeaseRecallMessage):
            if message.steward_id == sealed.vm_id:
                self._node.lease_recalled(convert(message, LeaseRecall))
        else:
            self._others(message, sealed, address)

    @callback
    def _send_to(self, vm_id: VmId, message: Message) -> None:
        """Send to a VM whose address is known."""
        address = self._peer_address_of(vm_id)
        if address is not None and self._link is not None:
            self._link.send(address, message)
