"""Sends and receives heartbeats: membership, load and the age of the view in one datagram."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
import logging

from wagtailusher_core import Incarnation, Revision, VmId
from wagtailusher_gateway.admission import Admission
from wagtailusher_gateway.const import EARLY_HEARTBEAT_INTERVAL_MS
from wagtailusher_gateway.endpoint_registry import EndpointRegistry, Load
from wagtailusher_gateway.fleet import DueHeartbeat, FleetDecider
from wagtailusher_gateway.heartbeat_relay import HeartbeatRelay, original_beat, relaying_heartbeats
from wagtailusher_gateway.rate_reports import apply_rates, new_rates
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_wire import (
    MAX_PAYLOAD_BYTES,
    AuthenticatedMessage,
    Beat,
    BeatLoad,
    Message,
    RelayedBeat,
    fill_fields_to_fit,
    fits_datagram,
)

_LOGGER = logging.getLogger(__name__)

MAX_LOADS = 16
"""Most endpoint loads in one heartbeat; with usual names these fit together with the peers."""

LIVE_CHECK_MS = 250
"""Interval of the check for changes of the live members; a part of the shortest silence."""

_FILL_LIMITS_BYTES = {
    "unreached_services": MAX_PAYLOAD_BYTES // 2,
    "queues": MAX_PAYLOAD_BYTES * 9 // 16,
    "shares": MAX_PAYLOAD_BYTES * 5 // 8,
    "peers": MAX_PAYLOAD_BYTES * 3 // 4,
    "loads": MAX_PAYLOAD_BYTES,
    "rates": MAX_PAYLOAD_BYTES,
}
"""Size up to which each field may fill a heartbeat that is too large, in this order."""

_MAX_AGE_MS = 0xFFFFFFFF
"""Largest age that the message field can hold; stands for a view that was never confirmed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Origin:
    """Where a heartbeat comes from."""

    vm_id: VmId
    incarnation: Incarnation
    peer_address: str
    sent_ms: int
    """When it arrived at this VM, or at the one that passed it on."""


class HeartbeatExchange:
    """Builds this VM's heartbeats, and applies those of peers to membership, loads and the view."""

    def __init__(
        self,
        *,
        fleet: FleetDecider,
        view_cache: ViewCache,
        registry: EndpointRegistry,
        send: Callable[[str, Message], None],
        admission: Admission | None = None,
        on_new_peer: Callable[[str, int], None] = lambda address, now_ms: None,
    ) -> None:
        """`on_new_peer` gets the address of a VM that is new or has started anew, and the time."""
        self._admission = admission or Admission(seed=0)
        self._on_new_peer = on_new_peer
        self._fleet = fleet
        self._view_cache = view_cache
        self._registry = registry
        self._send = send
        self._relay = HeartbeatRelay()
        self._live_ids: frozenset[VmId] = frozenset()
        self._live_check_due_ms = 0
        self._early_sent_ms = 0
        self._is_early_pending = False

    def tick(self, now_ms: int) -> None:
        """Send the heartbeats that are due, and check who is live now and then."""
        self._relay.tick(now_ms)
        self._admission.tick(now_ms)
        self._send_due(self._fleet.collect_due_heartbeats(now_ms), now_ms)
        if self._is_early_pending:
            self.send_early(now_ms)
        if self._live_check_due_ms <= now_ms:
            self._live_check_due_ms = now_ms + LIVE_CHECK_MS
            self._check_live_members(now_ms)

    def _check_live_members(self, now_ms: int) -> None:
        """Log changes of the live members, and forget the loads of those that fell silent."""
        live_ids = frozenset(member.vm_id for member in self._fleet.live_members(now_ms))
        if live_ids != self._live_ids:
            for vm_id in self._live_ids - live_ids:
                self._registry.set_peer_loads(vm_id, (), now_ms)
            self._log_change(live_ids)
            self._live_ids = live_ids

    def _send_due(self, due: list[DueHeartbeat], now_ms: int) -> None:
        """Send heartbeats; those within the failure domain pass on what arrived from others."""
        kinds = {(item.with_peers, item.is_to_be_relayed) for item in due}
        heartbeats = {
            kind: replace(self._new_heartbeat(now_ms, with_peers=kind[0]), is_to_be_relayed=kind[1])
            for kind in kinds
        }
        relaying = self._new_relaying_heartbeats(due, now_ms)
        for item in due:
            is_relaying = bool(relaying) and item.relay_since_ms is not None
            if is_relaying:
                for heartbeat in relaying:
                    self._send(item.peer_address, heartbeat)
            if item.with_peers or not is_relaying:
                kind = (item.with_peers, item.is_to_be_relayed)
                self._send(item.peer_address, heartbeats[kind])

    def _new_relaying_heartbeats(self, due: list[DueHeartbeat], now_ms: int) -> list[Beat]:
        """Return the heartbeats that pass on what arrived since the peers' last one, if any."""
        since_ms = [item.relay_since_ms for item in due if item.relay_since_ms is not None]
        relayed = self._relay.received_since(min(since_ms), now_ms) if since_ms else ()
        if not relayed:
            return []
        heartbeat = self._new_heartbeat(now_ms, with_peers=False)
        return list(relaying_heartbeats(heartbeat, relayed))

    def send_early(self, now_ms: int) -> None:
        """Report a long prompt ahead of schedule, so that peers don't choose the same engine."""
        self._is_early_pending = now_ms - self._early_sent_ms < EARLY_HEARTBEAT_INTERVAL_MS
        if self._is_early_pending:
            return
        self._early_sent_ms = now_ms
        heartbeat = self._new_heartbeat(now_ms, with_peers=False)
        for member in self._fleet.early_heartbeat_members(now_ms):
            self._send(member.peer_address, heartbeat)

    def send_all(self, now_ms: int) -> None:
        """Send a heartbeat to every live peer at once, for changes that must not be delayed."""
        heartbeat = self._new_heartbeat(now_ms, with_peers=False)
        for member in self._fleet.live_members(now_ms):
            self._send(member.peer_address, heartbeat)

    def receive(
        self, message: Message, authenticated: AuthenticatedMessage, address: str, now_ms: int
    ) -> None:
        """Process a heartbeat; a new peer gets one in reply at once."""
        if not isinstance(message, Beat):
            return
        if message.is_to_be_relayed:
            self._relay.add(authenticated, address, message, now_ms)
        origin = _Origin(
            vm_id=authenticated.vm_id,
            incarnation=authenticated.incarnation,
            peer_address=address,
            sent_ms=now_ms,
        )
        self._apply(origin, message, now_ms)
        for relayed in message.relayed:
            self._apply_relayed(relayed, now_ms)

    def _apply_relayed(self, relayed: RelayedBeat, now_ms: int) -> None:
        """Apply a heartbeat that a peer passed on, unless a newer one of its VM is known."""
        origin = _Origin(
            vm_id=relayed.vm_id,
            incarnation=relayed.incarnation,
            peer_address=relayed.peer_address,
            sent_ms=now_ms - relayed.age_ms,
        )
        if self._fleet.is_news(origin.vm_id, origin.incarnation, origin.sent_ms):
            self._apply(origin, original_beat(relayed), now_ms)

    def _apply(self, origin: _Origin, heartbeat: Beat, now_ms: int) -> None:
        is_new = self._fleet.receive(
            origin.vm_id, origin.incarnation, heartbeat, origin.peer_address, origin.sent_ms
        )
        confirmed_ms = origin.sent_ms - heartbeat.view_age_ms
        revision = Revision(epoch=heartbeat.view_epoch, number=heartbeat.view_revision)
        self._view_cache.confirm_by_peer(revision, confirmed_ms, now_ms)
        is_updated_early = self._fleet.gets_early_heartbeats_from(heartbeat.failure_domain_id)
        loads = (
            (
                load.endpoint_id,
                Load(
                    requests=load.requests,
                    prefill_tokens=load.prefill_tokens,
                    memory_tokens=load.memory_tokens,
                    answers=load.recent_answers,
                    failures=load.recent_failures,
                    is_updated_early=is_updated_early,
                ),
            )
            for load in heartbeat.loads
        )
        self._registry.set_peer_loads(origin.vm_id, loads, origin.sent_ms)
        apply_rates(self._registry.rates, origin.vm_id, heartbeat.rates, origin.sent_ms)
        if origin.vm_id != self._fleet.own_member.vm_id:
            self._admission.set_peer(origin.vm_id, heartbeat, now_ms)
        if is_new and origin.vm_id != self._fleet.own_member.vm_id:
            self._send(origin.peer_address, self._new_heartbeat(now_ms, with_peers=True))
            self._on_new_peer(origin.peer_address, now_ms)

    def _new_heartbeat(self, now_ms: int, *, with_peers: bool) -> Beat:
        """Return a heartbeat that fits into a datagram."""
        heartbeat = self._full_heartbeat(now_ms, with_peers=with_peers)
        return heartbeat if fits_datagram(heartbeat) else shorten_heartbeat(heartbeat)

    def _full_heartbeat(self, now_ms: int, *, with_peers: bool) -> Beat:
        own_member = self._fleet.own_member
        view = self._view_cache.view
        return Beat(
            address=own_member.address,
            view_address=own_member.view_address,
            failure_domain_id=own_member.failure_domain_id,
            weight=own_member.weight,
            is_leaving=own_member.is_leaving,
            is_ready=own_member.is_ready,
            view_revision=view.revision,
            view_age_ms=min(_MAX_AGE_MS, now_ms - view.confirmed_ms),
            loads=tuple(
                BeatLoad(
                    endpoint_id=endpoint_id,
                    requests=load.requests,
                    prefill_tokens=max(0, load.prefill_tokens),
                    memory_tokens=max(0, load.memory_tokens),
                    recent_answers=round(load.answers),
                    recent_failures=round(load.failures),
                )
                for endpoint_id, load in self._registry.own_loads(now_ms)[:MAX_LOADS]
            ),
            peers=self._fleet.sample_peers() if with_peers else (),
            relays=True,
            view_epoch=view.epoch,
            takes_forwarded=own_member.takes_forwarded,
            unreached_services=own_member.unreached_services,
            configuration_version=self._view_cache.configuration_version,
            queues=self._admission.queue_reports(now_ms),
            shares=self._admission.shares.own_reports(now_ms),
            rates=new_rates(self._registry.rates, now_ms),
        )

    def _log_change(self, live_ids: frozenset[VmId]) -> None:
        _LOGGER.info(
            "Fleet: %s live peers",
            len(live_ids),
            extra={
                "event": "members",
                "joined": sorted(live_ids - self._live_ids),
                "silent": sorted(self._live_ids - live_ids),
                "interval_ms": self._fleet.remote_interval_ms,
            },
        )


def shorten_heartbeat(heartbeat: Beat) -> Beat:
    """Return a heartbeat that fits into a datagram, without what long names leave no room for.

    Each kind of names leaves some room for the next, the largest loads and the rates coming last.
    """
    return fill_fields_to_fit(heartbeat, _FILL_LIMITS_BYTES)
