"""Sends and receives heartbeats: membership, load and the age of the view in one datagram."""

from __future__ import annotations

from collections.abc import Callable
import logging

from wagtailusher_core import VmId
from wagtailusher_gateway.const import EARLY_HEARTBEAT_INTERVAL_MS
from wagtailusher_gateway.endpoint_registry import EndpointRegistry, Load
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_wire import AuthenticatedMessage, Beat, BeatLoad, Message

_LOGGER = logging.getLogger(__name__)

MAX_LOADS = 16
"""Most endpoint loads in one heartbeat; these fit into a datagram together with the peers."""

_MAX_AGE_MS = 0xFFFFFFFF
"""Largest age that the message field can hold; stands for a view that was never confirmed."""


class HeartbeatExchange:
    """Builds this VM's heartbeats, and applies those of peers to membership, loads and the view."""

    def __init__(
        self,
        *,
        fleet: FleetDecider,
        view_cache: ViewCache,
        registry: EndpointRegistry,
        send: Callable[[str, Message], None],
        on_new_peer: Callable[[str, int], None] = lambda address, now_ms: None,
    ) -> None:
        """`on_new_peer` gets the address of a VM that is new or has started anew, and the time."""
        self._on_new_peer = on_new_peer
        self._fleet = fleet
        self._view_cache = view_cache
        self._registry = registry
        self._send = send
        self._live_ids: frozenset[VmId] = frozenset()
        self._early_sent_ms = 0
        self._is_early_pending = False

    def tick(self, now_ms: int) -> None:
        """Send the heartbeats that are due and log changes of the live members."""
        due = self._fleet.collect_due_heartbeats(now_ms)
        kinds = {with_peers for _, with_peers in due}
        heartbeats = {kind: self._new_heartbeat(now_ms, with_peers=kind) for kind in kinds}
        for address, with_peers in due:
            self._send(address, heartbeats[with_peers])
        if self._is_early_pending:
            self.send_early(now_ms)
        live_ids = frozenset(member.vm_id for member in self._fleet.live_members(now_ms))
        if live_ids != self._live_ids:
            self._log_change(live_ids)
            self._live_ids = live_ids

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
        is_new = self._fleet.receive(
            authenticated.vm_id, authenticated.incarnation, message, address, now_ms
        )
        confirmed_ms = now_ms - message.view_age_ms
        self._view_cache.confirm_by_peer(message.view_revision, confirmed_ms, now_ms)
        is_updated_early = self._fleet.gets_early_heartbeats_from(message.failure_domain_id)
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
            for load in message.loads
        )
        self._registry.set_peer_loads(authenticated.vm_id, loads, now_ms)
        if is_new and authenticated.vm_id != self._fleet.own_member.vm_id:
            self._send(address, self._new_heartbeat(now_ms, with_peers=True))
            self._on_new_peer(address, now_ms)

    def _new_heartbeat(self, now_ms: int, *, with_peers: bool) -> Beat:
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
