"""Three ways in which VMs of different failure domains hear of each other."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from random import Random
from typing import Protocol

LOCAL_PER_S = 50
"""Most heartbeats a second within a failure domain, as in the product."""
MIN_INTERVAL_MS = 200
MAX_DIRECT_INTERVAL_MS = 1_600
RELAYED_INTERVAL_MS = 1_000
MAX_SILENCE_MS = 5_000
RELAYS = 2
"""Elected relays of a failure domain."""
MS_PER_S = 1000


class Fleet(Protocol):
    """What a way may ask of the simulated fleet, from one VM's point of view."""

    @property
    def domains(self) -> tuple[tuple[int, ...], ...]:
        """Return the VMs of each failure domain."""

    def domain_of(self, vm: int) -> int:
        """Return the failure domain of a VM."""

    def believes_live(self, vm: int, peer: int, now_ms: int) -> bool:
        """Return whether a VM heard of a peer lately."""

    @property
    def random(self) -> Random:
        """Return the source of random choices."""


class Way(Protocol):
    """To whom a VM sends beyond the heartbeats in its own failure domain, and what."""

    def interval_ms(self, fleet: Fleet) -> int:
        """Return how often a VM sends to other failure domains."""

    def remote_targets(self, fleet: Fleet, vm: int, now_ms: int) -> Iterator[int]:
        """Yield the VMs of other failure domains that get a datagram now."""

    def remote_subjects(self, fleet: Fleet, vm: int) -> tuple[int, ...]:
        """Return the VMs that such a datagram tells of."""

    def relays(self, fleet: Fleet, vm: int, now_ms: int) -> bool:
        """Return whether a VM passes on what it heard from other failure domains."""


def local_interval_ms(domain_size: int) -> int:
    """Return the interval of heartbeats within a failure domain."""
    return max(MIN_INTERVAL_MS, domain_size * MS_PER_S // LOCAL_PER_S)


class DirectWay:
    """Each VM sends to each other one."""

    def interval_ms(self, fleet: Fleet) -> int:
        """Return how often a VM sends to other failure domains."""
        count = sum(len(domain) for domain in fleet.domains)
        return min(MAX_DIRECT_INTERVAL_MS, local_interval_ms(count))

    def remote_targets(self, fleet: Fleet, vm: int, now_ms: int) -> Iterator[int]:
        """Yield the VMs of other failure domains that get a datagram now."""
        for number, domain in enumerate(fleet.domains):
            if number != fleet.domain_of(vm):
                yield from domain

    def remote_subjects(self, fleet: Fleet, vm: int) -> tuple[int, ...]:
        """Return the VMs that such a datagram tells of."""
        return (vm,)

    def relays(self, fleet: Fleet, vm: int, now_ms: int) -> bool:
        """Return whether a VM passes on what it heard from other failure domains."""
        return False


class ElectedWay:
    """Two relays of each failure domain tell those of the others of all its VMs."""

    def interval_ms(self, fleet: Fleet) -> int:
        """Return how often a VM sends to other failure domains."""
        return RELAYED_INTERVAL_MS

    def remote_targets(self, fleet: Fleet, vm: int, now_ms: int) -> Iterator[int]:
        """Yield the VMs of other failure domains that get a datagram now."""
        if not self.relays(fleet, vm, now_ms):
            return
        for number, domain in enumerate(fleet.domains):
            if number != fleet.domain_of(vm):
                yield from _elected(fleet, vm, domain, now_ms)

    def remote_subjects(self, fleet: Fleet, vm: int) -> tuple[int, ...]:
        """Return the VMs that such a datagram tells of."""
        return fleet.domains[fleet.domain_of(vm)]

    def relays(self, fleet: Fleet, vm: int, now_ms: int) -> bool:
        """Return whether a VM passes on what it heard from other failure domains."""
        return vm in _elected(fleet, vm, fleet.domains[fleet.domain_of(vm)], now_ms)


class RotatingWay:
    """Each VM sends to one VM of each other failure domain at a time, which passes it on."""

    def interval_ms(self, fleet: Fleet) -> int:
        """Return how often a VM sends to other failure domains."""
        return RELAYED_INTERVAL_MS

    def remote_targets(self, fleet: Fleet, vm: int, now_ms: int) -> Iterator[int]:
        """Yield the VMs of other failure domains that get a datagram now."""
        for number, domain in enumerate(fleet.domains):
            if number != fleet.domain_of(vm):
                live = [peer for peer in domain if fleet.believes_live(vm, peer, now_ms)]
                yield fleet.random.choice(live or domain)

    def remote_subjects(self, fleet: Fleet, vm: int) -> tuple[int, ...]:
        """Return the VMs that such a datagram tells of."""
        return (vm,)

    def relays(self, fleet: Fleet, vm: int, now_ms: int) -> bool:
        """Return whether a VM passes on what it heard from other failure domains."""
        return True


def _elected(fleet: Fleet, vm: int, domain: tuple[int, ...], now_ms: int) -> tuple[int, ...]:
    """Return the first VMs of a failure domain that a VM believes to be live, or any without."""
    live = (peer for peer in domain if peer == vm or fleet.believes_live(vm, peer, now_ms))
    elected = tuple(peer for _, peer in zip(range(RELAYS), live, strict=False))
    return elected or tuple(fleet.random.sample(domain, RELAYS))


WAYS: Mapping[str, type[DirectWay] | type[ElectedWay] | type[RotatingWay]] = {
    "direct": DirectWay,
    "elected": ElectedWay,
    "rotating": RotatingWay,
}
