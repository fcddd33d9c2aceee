"""Tells VMs that started with an older incarnation than peers know of them, and raises this VM's.

The time of day, from which an incarnation is taken, may have gone back since the last start.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
import logging

from wagtailusher_core import Incarnation
from wagtailusher_daemon.peer_link import PeerLink
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_wire import IncarnationNotice, Message, OldIncarnationError

_LOGGER = logging.getLogger(__name__)

NOTICE_INTERVAL_MS = 500
"""Interval at which one address is told again; a few heartbeat intervals."""


class IncarnationExchange:
    """Sends and applies notices of newer incarnations."""

    def __init__(self, fleet: FleetDecider, link: PeerLink, clock_ms: Callable[[], int]) -> None:
        """Send notices over `link`, and messages with this VM's raised incarnation."""
        self._fleet = fleet
        self._link = link
        self._clock_ms = clock_ms
        self._noticed_ms: dict[str, int] = {}

    def handle_old(self, err: OldIncarnationError, address: str) -> None:
        """Tell the sender of a datagram that is refused as one of an older incarnation."""
        now_ms = self._clock_ms()
        self._noticed_ms = {
            key: at_ms
            for key, at_ms in self._noticed_ms.items()
            if now_ms - at_ms < NOTICE_INTERVAL_MS
        }
        if address not in self._noticed_ms:
            self._noticed_ms[address] = now_ms
            self._link.send(address, IncarnationNotice(vm_id=err.vm_id, incarnation=err.newest))

    def receive(self, message: Message) -> None:
        """Raise this VM's incarnation above the one that a peer knows; ignore other messages."""
        own_member = self._fleet.own_member
        if not isinstance(message, IncarnationNotice) or message.vm_id != own_member.vm_id:
            return
        if message.incarnation <= own_member.incarnation:
            return
        raised = Incarnation(message.incarnation + 1)
        self._fleet.own_member = replace(own_member, incarnation=raised)
        self._link.incarnation = raised
        _LOGGER.info(
            "Fleet: the time of day went back since this VM last started",
            extra={
                "event": "incarnation_raised",
                "by_ms": raised - own_member.incarnation,
            },
        )
