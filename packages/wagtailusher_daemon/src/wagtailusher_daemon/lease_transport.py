"""Sends and receives lease messages between this process and its peers."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable

from wagtailusher_core import VmId, callback
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.conversion import load_message, load_report
from wagtailusher_daemon.convert import convert
from wagtailusher_daemon.lease_outbox import LeaseOutbox
from wagtailusher_daemon.load_reports import LoadReportCache
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.peer_link import MessageReceiver, PeerLink
from wagtailusher_placement import LeaseGrant, LeaseRecall, LeaseRequest
from wagtailusher_router import PeerAction, SendLeaseGrant, SendLeaseRequest
from wagtailusher_wire import AuthenticatedMessage, LeaseBatch, Message
from wagtailusher_wire import LeaseGrant as LeaseGrantMessage
from wagtailusher_wire import LeaseRecall as LeaseRecallMessage
from wagtailusher_wire import LeaseRequest as LeaseRequestMessage


class LeaseTransport:
    """Converts the deciders' lease messages to wire messages and back.

    Messages to one VM within one event-loop iteration are sent together, in one datagram if
    they fit.
    """

    def __init__(
        self,
        peer_address_of: Callable[[VmId], str | None],
        on_other_message: MessageReceiver,
        load_reports: LoadReportCache,
    ) -> None:
        """Start without a socket; other than lease messages go to `on_other_message`."""
        self._peer_address_of = peer_address_of
        self._on_other_message = on_other_message
        self._load_reports = load_reports
        self._outboxes: defaultdict[VmId, LeaseOutbox] = defaultdict(LeaseOutbox)
        self._is_flush_scheduled = False
        self._link: PeerLink | None = None
        self._node: RouterNode | None = None

    @callback
    def attach(self, link: PeerLink, node: RouterNode) -> None:
        """Set the socket and the node."""
        self._link = link
        self._node = node

    @callback
    def send(self, action: PeerAction) -> None:
        """Queue a lease message; it is sent at the end of this event-loop iteration."""
        if isinstance(action, SendLeaseRequest):
            request = convert(action.request, LeaseRequestMessage)
            self._outboxes[action.steward_id].requests.append(request)
        elif isinstance(action, SendLeaseGrant):
            outbox = self._outboxes[action.node_id]
            outbox.grants.append(convert(action.grant, LeaseGrantMessage))
            report = self._load_reports.latest(action.grant.endpoint_id)
            if report is not None:
                outbox.loads.append(load_message(report, monotonic_ms()))
        else:
            recall = convert(action.recall, LeaseRecallMessage)
            self._outboxes[action.recall.node_id].recalls.append(recall)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    @callback
    def _flush(self) -> None:
        """Send the queued messages; those to VMs without a known address are dropped."""
        self._is_flush_scheduled = False
        outboxes = dict(self._outboxes)
        self._outboxes.clear()
        for vm_id, outbox in outboxes.items():
            address = self._peer_address_of(vm_id)
            for batch in outbox.pop_batches():
                if address is not None and self._link is not None:
                    self._link.send(address, batch)

    @callback
    def receive(self, message: Message, authenticated: AuthenticatedMessage, address: str) -> None:
        """Process a peer's message; lease messages in the name of another VM are ignored."""
        if not isinstance(message, LeaseBatch):
            self._on_other_message(message, authenticated, address)
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
