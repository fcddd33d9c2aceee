"""The lease messages between this process and its peers."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable

from wagtailusher_core import VmId, callback
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.conversion import convert, load_message, load_report
from wagtailusher_daemon.lease_outbox import LeaseOutbox
from wagtailusher_daemon.load_watch import LoadWatch
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.peer_link import PeerLink, Receive
from wagtailusher_placement import LeaseGrant, LeaseRecall, LeaseRequest
from wagtailusher_router import PeerAction, SendLeaseGrant, SendLeaseRequest
from wagtailusher_wire import AuthenticatedMessage, LeaseBatch, Message
from wagtailusher_wire import LeaseGrant as LeaseGrantMessage
from wagtailusher_wire import LeaseRecall as LeaseRecallMessage
from wagtailusher_wire import LeaseRequest as LeaseRequestMessage


class Peers:
    """Turns the deciders' messages into those on the wire and back.

    What goes to one VM within a turn of the event loop goes in one datagram.
    """

    def __init__(
        self,
        peer_address_of: Callable[[VmId], str | None],
        others: Receive,
        loads: LoadWatch,
    ) -> None:
        """Prepare without a socket; messages that are not about leases go to `others`."""
        self._peer_address_of = peer_address_of
        self._others = others
        self._loads = loads
        self._outboxes: defaultdict[VmId, LeaseOutbox] = defaultdict(LeaseOutbox)
        self._flush_is_due = False
        self._link: PeerLink | None = None
        self._node: RouterNode | None = None

    @callback
    def attach(self, link: PeerLink, node: RouterNode) -> None:
        """Take the socket and the node."""
        self._link = link
        self._node = node

    @callback
    def send(self, action: PeerAction) -> None:
        """Send a lease message of the decider with the others of this turn."""
        if isinstance(action, SendLeaseRequest):
            request = convert(action.request, LeaseRequestMessage)
            self._outboxes[action.steward_id].requests.append(request)
        elif isinstance(action, SendLeaseGrant):
            outbox = self._outboxes[action.node_id]
            outbox.grants.append(convert(action.grant, LeaseGrantMessage))
            report = self._loads.latest(action.grant.endpoint_id)
            if report is not None:
                outbox.loads.append(load_message(report, monotonic_ms()))
        else:
            recall = convert(action.recall, LeaseRecallMessage)
            self._outboxes[action.recall.node_id].recalls.append(recall)
        if not self._flush_is_due:
            self._flush_is_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    @callback
    def _flush(self) -> None:
        """Send what waits."""
        self._flush_is_due = False
        outboxes = dict(self._outboxes)
        self._outboxes.clear()
        for vm_id, outbox in outboxes.items():
            address = self._peer_address_of(vm_id)
            for batch in outbox.take_batches():
                if address is not None and self._link is not None:
                    self._link.send(address, batch)

    @callback
    def receive(self, message: Message, authenticated: AuthenticatedMessage, address: str) -> None:
        """Hand a peer's message in; a sender may only speak for itself."""
        if not isinstance(message, LeaseBatch):
            self._others(message, authenticated, address)
            return
        assert self._node is not None
        now_ms = monotonic_ms()
        self._node.observe_reports(load_report(load, now_ms) for load in message.loads)
        for request in message.requests:
            if request.node_id == authenticated.vm_id:
                self._node.handle_lease_request(convert(request, LeaseRequest))
        for grant in message.grants:
            if grant.steward_id == authenticated.vm_id:
                self._node.handle_lease_grant(convert(grant, LeaseGrant))
        for recall in message.recalls:
            if recall.steward_id == authenticated.vm_id:
                self._node.handle_lease_recall(convert(recall, LeaseRecall))
