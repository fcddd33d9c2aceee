"""A fleet whose VMs hear of each other, in virtual time, with loss, deaths, pauses and cuts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random
from statistics import fmean

from wagtailusher_bench.heartbeats.ways import (
    MAX_SILENCE_MS,
    MS_PER_S,
    WAYS,
    Way,
    local_interval_ms,
)

STEP_MS = 50
LENGTH_MS = 36_000
CHANGE_MS = 10_000
"""When VMs die or pause, or a failure domain is cut off."""
END_MS = 20_000
"""When pauses and cuts end."""
SAMPLE_MS = 500
ENTRIES_PER_DATAGRAM = 5
"""VMs that a datagram can tell of, at some 190 bytes each."""
LOSS = {"loss": 0.1}
DEFAULT_LOSS = 0.01
VARIANTS = ("calm", "loss", "kill", "pause", "cut")


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What one run sent, and what its VMs knew of each other."""

    way: str
    variant: str
    vm_count: int
    sent_per_s: float
    """Datagrams a second, mean of the VMs."""
    busiest_per_s: float
    """Datagrams a second of the busiest VM."""
    entries_per_s: float
    """States of VMs that a VM received a second; each has some 190 bytes."""
    age_ms: float
    """Mean age of what VMs know of others in other failure domains."""
    silent_share: float
    """Largest share of pairs of running, connected VMs of which one believes the other gone."""
    healed_ms: int | None
    """Time from the end of a pause or cut until all know each other again."""


class SimulatedFleet:
    """The VMs' knowledge of each other, and the datagrams between them."""

    def __init__(self, way: str, variant: str, vm_count: int, domains: int, seed: int) -> None:
        """Start with VMs that all know each other."""
        self.random = Random(f"{way}-{variant}-{vm_count}-{seed}")
        self.domains = tuple(tuple(range(vm_count))[number::domains] for number in range(domains))
        self.sent = [0] * vm_count
        self.entries = 0
        self.heard = [[0] * vm_count for _ in range(vm_count)]
        self._way: Way = WAYS[way]()
        self._variant = variant
        self._loss = LOSS.get(variant, DEFAULT_LOSS)
        self._direct_from: list[dict[int, int]] = [{} for _ in range(vm_count)]
        """What each VM heard itself from other failure domains, and when."""
        interval_ms = self._way.interval_ms(self)
        self._local_sent = [0] * vm_count
        draw = self.random.randrange
        self._remote_due = [draw(0, interval_ms) for _ in range(vm_count)]
        self._local_due = [
            draw(0, local_interval_ms(len(self.domains[self.domain_of(vm)])))
            for vm in range(vm_count)
        ]

    def domain_of(self, vm: int) -> int:
        """Return the failure domain of a VM."""
        return vm % len(self.domains)

    def believes_live(self, vm: int, peer: int, now_ms: int) -> bool:
        """Return whether a VM heard of a peer lately."""
        return now_ms - self.heard[vm][peer] <= MAX_SILENCE_MS

    def is_running(self, vm: int, now_ms: int) -> bool:
        """Return whether a VM is neither dead nor paused."""
        rank = vm // len(self.domains)
        if self._variant == "kill" and now_ms >= CHANGE_MS:
            is_first_half = rank < len(self.domains[0]) // 2
            return not (self.domain_of(vm) == 0 and is_first_half)
        if self._variant == "pause" and CHANGE_MS <= now_ms < END_MS:
            return rank >= 2
        return True

    def is_connected(self, vm: int, peer: int, now_ms: int) -> bool:
        """Return whether datagrams between two VMs can arrive."""
        if self._variant != "cut" or not CHANGE_MS <= now_ms < END_MS:
            return True
        return (self.domain_of(vm) == 0) == (self.domain_of(peer) == 0)

    def step(self, now_ms: int) -> None:
        """Send what is due."""
        for vm in range(len(self.sent)):
            if not self.is_running(vm, now_ms):
                continue
            self.heard[vm][vm] = now_ms
            if self._remote_due[vm] <= now_ms:
                self._remote_due[vm] = now_ms + self._way.interval_ms(self)
                self._send_remote(vm, now_ms)
            if self._local_due[vm] <= now_ms:
                self._send_local(vm, now_ms)

    def _send_remote(self, vm: int, now_ms: int) -> None:
        subjects = self._way.remote_subjects(self, vm)
        for peer in tuple(self._way.remote_targets(self, vm, now_ms)):
            for received in self._send(vm, peer, subjects, now_ms):
                self._direct_from[peer][received] = now_ms

    def _send_local(self, vm: int, now_ms: int) -> None:
        domain = self.domains[self.domain_of(vm)]
        interval_ms = local_interval_ms(len(domain))
        self._local_due[vm] = now_ms + interval_ms
        since_ms, self._local_sent[vm] = self._local_sent[vm], now_ms
        relayed: list[int] = []
        if self._way.relays(self, vm, now_ms):
            relayed = [peer for peer, at_ms in self._direct_from[vm].items() if at_ms >= since_ms]
        for peer in domain:
            if peer != vm:
                list(self._send(vm, peer, (vm, *relayed), now_ms))

    def _send(self, vm: int, peer: int, subjects: Iterable[int], now_ms: int) -> Iterator[int]:
        """Send what a VM knows of others; yield those of which the receiver learned something."""
        rest = tuple(subjects)
        while rest:
            batch, rest = rest[:ENTRIES_PER_DATAGRAM], rest[ENTRIES_PER_DATAGRAM:]
            self.sent[vm] += 1
            if self.random.random() < self._loss or not self.is_running(peer, now_ms):
                continue
            if not self.is_connected(vm, peer, now_ms):
                continue
            self.entries += len(batch)
            for subject in batch:
                if self.heard[vm][subject] > self.heard[peer][subject]:
                    self.heard[peer][subject] = self.heard[vm][subject]
                    yield subject


def run_case(way: str, variant: str, vm_count: int, domains: int, seed: int) -> Result:
    """Run one fleet; the same arguments return the same result."""
    fleet = SimulatedFleet(way, variant, vm_count, domains, seed)
    ages: list[float] = []
    shares: list[float] = []
    healed_ms: int | None = None
    for now_ms in range(0, LENGTH_MS, STEP_MS):
        fleet.step(now_ms)
        if now_ms % SAMPLE_MS == 0 and now_ms >= CHANGE_MS // 2:
            age_ms, share = _sample(fleet, vm_count, now_ms)
            is_restored = now_ms >= END_MS and variant in ("pause", "cut")
            if age_ms is not None:
                ages.append(age_ms)
            if not is_restored:
                shares.append(share)
            if is_restored and share == 0 and healed_ms is None:
                healed_ms = now_ms - END_MS
    length_s = LENGTH_MS / MS_PER_S
    return Result(
        way=way,
        variant=variant,
        vm_count=vm_count,
        sent_per_s=fmean(fleet.sent) / length_s,
        busiest_per_s=max(fleet.sent) / length_s,
        entries_per_s=fleet.entries / vm_count / length_s,
        age_ms=fmean(ages),
        silent_share=max(shares),
        healed_ms=healed_ms,
    )


def _sample(fleet: SimulatedFleet, vm_count: int, now_ms: int) -> tuple[float | None, float]:
    """Return the mean age of knowledge across failure domains, and the share of wrong silences."""
    running = [vm for vm in range(vm_count) if fleet.is_running(vm, now_ms)]
    ages = [
        now_ms - fleet.heard[vm][peer]
        for vm in running
        for peer in running
        if fleet.domain_of(vm) != fleet.domain_of(peer) and fleet.is_connected(vm, peer, now_ms)
    ]
    silent = sum(age_ms > MAX_SILENCE_MS for age_ms in ages)
    return (fmean(ages) if ages else None), silent / max(1, len(ages))
