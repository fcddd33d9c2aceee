"""Sends and takes beats: membership, load and the age of the view in one datagram."""

from __future__ import annotations

from collections.abc import Callable
import logging

from wagtailusher_core import VmId
from wagtailusher_gateway.const import HASTENED_PAUSE_MS
from wagtailusher_gateway.endpoint_registry import EndpointRegistry, Load
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_wire import AuthenticatedMessage, Beat, BeatLoad, Message

_LOGGER = logging.getLogger(__name__)

MAX_LOADS = 16
"""Endpoints whose load one beat tells; as many fit a datagram beside the peers."""

_MAX_AGE_MS = 0xFFFFFFFF
"""Age of a view that was never confirmed; the field's largest value."""


class BeatExchange:
    """Turns what this VM knows into beats, and beats into what it knows of others."""

    def __init__(
        self,
        *,
        fleet: FleetDecider,
        view_cache: ViewCache,
        registry: EndpointRegistry,
        send: Callable[[str, Message], None],
    ) -> None:
        """Use the given parts."""
        self._fleet = fleet
        self._view_cache = view_cache
        self._registry = registry
        self._send = send
        self._heard: frozenset[VmId] = frozenset()
        self._hastened_ms = 0
        self._is_hasty = False

    def tick(self, now_ms: int) -> None:
        """Send the beats that are due and note who fell silent."""
        due = self._fleet.due(now_ms)
        kinds = {with_peers for _, with_peers in due}
        beats = {kind: self._beat(now_ms, with_peers=kind) for kind in kinds}
        for address, with_peers in due:
            self._send(address, beats[with_peers])
        if self._is_hasty:
            self.hasten(now_ms)
        heard = frozenset(member.vm_id for member in self._fleet.heard_members(now_ms))
        if heard != self._heard:
            self._log_change(heard)
            self._heard = heard

    def hasten(self, now_ms: int) -> None:
        """Tell of a long prompt soon, so that peers don't choose the same engine."""
        self._is_hasty = now_ms - self._hastened_ms < HASTENED_PAUSE_MS
        if self._is_hasty:
            return
        self._hastened_ms = now_ms
        beat = self._beat(now_ms, with_peers=False)
        for member in self._fleet.hastened(now_ms):
            self._send(member.peer_address, beat)

    def send_all(self, now_ms: int) -> None:
        """Send a beat to every heard peer at once, as news must not wait."""
        beat = self._beat(now_ms, with_peers=False)
        for member in self._fleet.heard_members(now_ms):
            self._send(member.peer_address, beat)

    def receive(
        self, message: Message, authenticated: AuthenticatedMessage, address: str, now_ms: int
    ) -> None:
        """Take a beat in; a newcomer is answered at once."""
        if not isinstance(message, Beat):
            return
        is_new = self._fleet.receive(
            authenticated.vm_id, authenticated.incarnation, message, address, now_ms
        )
        confirmed_ms = now_ms - message.view_age_ms
        self._view_cache.confirm_by_peer(message.view_revision, confirmed_ms, now_ms)
        loads = (
            (
                load.endpoint_id,
                Load(
                    requests=load.requests,
                    prefill_tokens=load.prefill_tokens,
                    memory_tokens=load.memory_tokens,
                    answers=load.recent_answers,
                    failures=load.recent_failures,
                ),
            )
            for load in message.loads
        )
        self._registry.take_loads(authenticated.vm_id, loads, now_ms)
        if is_new and authenticated.vm_id != self._fleet.own.vm_id:
            self._send(address, self._beat(now_ms, with_peers=True))

    def _beat(self, now_ms: int, *, with_peers: bool) -> Beat:
        """Return what this VM says now."""
        own = self._fleet.own
        view = self._view_cache.view
        return Beat(
            address=own.address,
            view_address=own.view_address,
            failure_domain_id=own.failure_domain_id,
            weight=own.weight,
            is_leaving=own.is_leaving,
            is_ready=own.is_ready,
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
            peers=self._fleet.rumours() if with_peers else (),
        )

    def _log_change(self, heard: frozenset[VmId]) -> None:
        """Log who joined and who fell silent."""
        _LOGGER.info(
            "Fleet: %s VMs are heard",
            len(heard),
            extra={
                "event": "members",
                "joined": sorted(heard - self._heard),
                "silent": sorted(self._heard - heard),
                "interval_ms": self._fleet.far_interval_ms,
            },
        )
