"""A large fleet whose VMs exchange heartbeats over a simulated network, in virtual time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import fields, replace
from random import Random

from tests.wagtailusher_gateway.builders import beat_of, endpoint, member, view
from wagtailusher_core import FailureDomainId, Incarnation
from wagtailusher_gateway.endpoint_registry import EndpointRegistry
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.heartbeat_exchange import HeartbeatExchange
from wagtailusher_gateway.models import Member
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_wire import AuthenticatedMessage, Beat, Message, RelayedBeat, VmReport

STEP_MS = 50


class LargeFleet:
    """Heartbeat exchanges of all VMs; VM `i` is in failure domain `i % domains`."""

    def __init__(self, count: int, domains: int, *, seed: int, loss: float = 0.0) -> None:
        self._random = Random(seed)
        self._loss = loss
        self._is_connected: Callable[[int, int], bool] = lambda source, target: True
        self.count = count
        self.now_ms = 0
        self.down: set[int] = set()
        """VMs that neither send nor receive."""
        self.old_builds: set[int] = set()
        """VMs that neither relay nor read what is relayed."""
        self.sent: Counter[tuple[int, int]] = Counter()
        """Datagrams by their source and target."""
        self._numbers = {member(number).peer_address: number for number in range(count)}
        self.deciders: list[FleetDecider] = []
        self.registries: list[EndpointRegistry] = []
        self.exchanges: list[HeartbeatExchange] = []
        for number in range(count):
            self.deciders.append(self._new_decider(number, domains, seed))
            self.registries.append(EndpointRegistry())
            self.registries[-1].update(view(endpoint(1)), 0)
            self.exchanges.append(self._new_exchange(number))

    def _new_decider(self, number: int, domains: int, seed: int) -> FleetDecider:
        domain_id = FailureDomainId(f"domain-{number % domains}")
        own_member = replace(member(number), failure_domain_id=domain_id)
        seeds = tuple(member(seed_number).peer_address for seed_number in range(3))
        return FleetDecider(own_member, seeds, 0, seed + number)

    def _new_exchange(self, number: int) -> HeartbeatExchange:
        return HeartbeatExchange(
            fleet=self.deciders[number],
            view_cache=ViewCache(lambda current, changed, now_ms: None),
            registry=self.registries[number],
            send=lambda address, message: self._deliver(number, address, message),
        )

    def restart(self, number: int) -> None:
        """Start a VM's process anew, with the next incarnation and no memory of the fleet."""
        own_member = self.deciders[number].own_member
        raised = replace(own_member, incarnation=own_member.incarnation + 1)
        seeds = tuple(member(seed_number).peer_address for seed_number in range(3))
        self.deciders[number] = FleetDecider(raised, seeds, self.now_ms, number)
        self.exchanges[number] = self._new_exchange(number)

    def connect_if(self, is_connected: Callable[[int, int], bool]) -> None:
        """Let datagrams arrive only between VMs for which the function returns true."""
        self._is_connected = is_connected

    def run(self, duration_ms: int) -> None:
        """Advance the time and deliver what is sent."""
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            for number, exchange in enumerate(self.exchanges):
                if number not in self.down:
                    exchange.tick(self.now_ms)

    def known_counts(self) -> list[int]:
        """Return how many VMs each running VM would name to callers."""
        return [
            len(decider.serving_members(self.now_ms))
            for number, decider in enumerate(self.deciders)
            if number not in self.down
        ]

    def names(self, number: int) -> set[str]:
        """Return the VMs that one VM would name to callers."""
        return {str(item.vm_id) for item in self.deciders[number].serving_members(self.now_ms)}

    def _deliver(self, source: int, address: str, message: Message) -> None:
        target = self._numbers.get(address)
        if target is None:
            return
        self.sent[source, target] += 1
        if target in self.down or self._random.random() < self._loss:
            return
        if not self._is_connected(source, target) or not isinstance(message, Beat):
            return
        if target in self.old_builds or source in self.old_builds:
            message = replace(message, relays=False, relayed=(), is_to_be_relayed=False)
        self.hear(target, self.deciders[source].own_member, message)

    def hear(self, target: int, sender: Member, heartbeat: Beat) -> None:
        """Let a VM receive a heartbeat now."""
        authenticated = AuthenticatedMessage(
            vm_id=sender.vm_id,
            incarnation=Incarnation(sender.incarnation),
            sequence=1,
            payload=b"",
        )
        exchange = self.exchanges[target]
        exchange.receive(heartbeat, authenticated, sender.peer_address, self.now_ms)

    def hear_relayed(self, target: int, relay: int, sender: Member, age_ms: int) -> None:
        """Let a VM receive what a peer got from a VM some time ago."""
        beat = beat_of(sender)
        relayed = RelayedBeat(
            **{field.name: getattr(beat, field.name) for field in fields(VmReport)},
            vm_id=sender.vm_id,
            incarnation=Incarnation(sender.incarnation),
            peer_address=sender.peer_address,
            age_ms=age_ms,
        )
        own_member = self.deciders[relay].own_member
        self.hear(target, own_member, beat_of(own_member, relayed=(relayed,)))
