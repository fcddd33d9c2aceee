"""A fleet of VMs and endpoints in virtual time; endpoints that crash come back under a new name."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from wagtailusher_bench.fakes import VirtualClock
from wagtailusher_bench.quarantine.const import (
    CONTACT_MS_BY_VMS,
    CRASH_CHECK_MS,
    DATAGRAM_DELAY_MS,
    REPLACE_MS,
    TICK_MS,
)
from wagtailusher_bench.quarantine.links import Links
from wagtailusher_bench.quarantine.load import Request, Variant, make_request, schedule_load
from wagtailusher_bench.quarantine.node import Node, NodeFactory
from wagtailusher_quarantine import Suspect

_RESTART_MS = 1_000
_JOIN_MS = 200
"""Time from the start of a VM until its peers greet it and it gets requests."""
_Flight = tuple[str, Request]


class Fleet:
    """VMs, endpoints and what is counted."""

    def __init__(
        self, factory: NodeFactory, vms: int, endpoints: int, variant: Variant, seed: int
    ) -> None:
        """Start all VMs and schedule the load."""
        self.clock = VirtualClock()
        self.variant = variant
        self.random = Random(seed)
        self.contact_ms = CONTACT_MS_BY_VMS.get(vms, 3_000)
        self.links = Links(self.clock, seed + 1, [f"vm-{number:04}" for number in range(vms)])
        self.nodes: dict[str, Node] = {}
        self.outcomes: Counter[str] = Counter()
        self.poison_crashes_ms: list[int] = []
        self.poison_sends: list[tuple[int, bool]] = []
        """Time of each, and whether its VM was in touch."""
        self.asked_ms: list[int] = []
        self._factory = factory
        self._in_flight: dict[str, list[_Flight]] = {}
        self._joined: set[str] = set()
        self._in_touch_ms: dict[str, int] = {}
        self._number = 0
        self._rare_left = variant.rare_crashes
        for vm_id in self.links.vm_ids:
            self._start_vm(vm_id)
            self._joined.add(vm_id)
            first_ms = self.random.uniform(0, TICK_MS)
            self.clock.call_every(TICK_MS, self._ticker(vm_id), first_ms=first_ms)
        for _ in range(endpoints):
            self._add_endpoint()
        schedule_load(variant, endpoints, self.random, self.clock.call_later, self._arrive)
        self._schedule_faults()

    def run(self) -> None:
        """Run until the end."""
        self.clock.run_until(self.variant.end_ms)

    def _ticker(self, vm_id: str) -> Callable[[], None]:
        def tick() -> None:
            if vm_id not in self.links.down:
                self.nodes[vm_id].tick(self.clock.now_ms)

        return tick

    def _start_vm(self, vm_id: str) -> None:
        node = self._factory(vm_id, self.links, Random(f"{vm_id} {self.clock.now_ms}"))
        self.nodes[vm_id] = node
        self.links.receivers[vm_id] = node.receive

    def _add_endpoint(self) -> None:
        self._number += 1
        self._in_flight[f"i-{self._number:010x}"] = []

    def _schedule_faults(self) -> None:
        """Schedule what the variant has besides requests."""
        variant, clock = self.variant, self.clock
        if every_ms := variant.restarts_every_ms:
            clock.call_every(every_ms, self._restart_any, first_ms=every_ms)
        cut_id = self.links.vm_ids[0]
        if variant.cut_ms[1]:
            clock.call_later(variant.cut_ms[0], lambda: self._cut(cut_id))
            clock.call_later(variant.cut_ms[1], lambda: self._heal(cut_id))
        if (every_ms := variant.own_crashes_every_ms) and variant.rare_crashes:
            for number in range(variant.rare_crashes):
                clock.call_later(every_ms * (number + 1), self._crash_any)
        elif every_ms:
            clock.call_every(every_ms, lambda: self._crash_many(2), first_ms=every_ms)
        if variant.domain_out_ms:
            count = len(self._in_flight) // 3
            clock.call_later(variant.domain_out_ms, lambda: self._crash_many(count))

    def _cut(self, vm_id: str) -> None:
        self.links.cut_ms[vm_id] = self.clock.now_ms

    def _heal(self, vm_id: str) -> None:
        del self.links.cut_ms[vm_id]
        self._in_touch_ms[vm_id] = self.clock.now_ms + self.contact_ms

    def _restart_any(self) -> None:
        """Restart a VM, which forgets all and is greeted by its peers."""
        vm_id = self.random.choice(sorted(self._joined))
        self._joined.discard(vm_id)
        self.links.down.add(vm_id)

        def start() -> None:
            self.links.down.discard(vm_id)
            self._start_vm(vm_id)

        def join() -> None:
            for peer in self.links.live_peers(vm_id):
                self.nodes[peer].greet(vm_id, self.clock.now_ms)
            self.clock.call_later(DATAGRAM_DELAY_MS + 1, lambda: self._joined.add(vm_id))

        self.clock.call_later(_RESTART_MS, start)
        self.clock.call_later(_RESTART_MS + _JOIN_MS, join)

    def _arrive(self, request: Request) -> None:
        """Let a random VM take a request."""
        vm_id = self.random.choice(sorted(self._joined))
        asked_ms = self.clock.now_ms

        def decide(may_send: bool) -> None:
            self.outcomes[f"{request.kind} {'sent' if may_send else 'refused'}"] += 1
            if request.kind == "sound":
                self.asked_ms.append(self.clock.now_ms - asked_ms)
            if may_send and self._in_flight and vm_id in self._joined:
                self._send(vm_id, request, self.random.choice(sorted(self._in_flight)))

        self.nodes[vm_id].admit(request.prints, asked_ms, decide)

    def _send(self, vm_id: str, request: Request, endpoint_id: str) -> None:
        now_ms = self.clock.now_ms
        request.sent_ms = now_ms
        flight = (vm_id, request)
        self._in_flight[endpoint_id].append(flight)
        node = self.nodes[vm_id]
        if request.kind == "poison":
            is_cut = vm_id in self.links.cut_ms or now_ms < self._in_touch_ms.get(vm_id, 0)
            self.poison_sends.append((now_ms, not is_cut))
            crash_ms = request.head_ms + request.event_ms - 1
            self.clock.call_later(crash_ms, lambda: self._crash(endpoint_id, is_poison=True))
            return

        def end() -> None:
            flights = self._in_flight.get(endpoint_id, [])
            if flight in flights:
                flights.remove(flight)
                if self.nodes[vm_id] is node:
                    node.record_complete(request.prints, self.clock.now_ms)

        self.clock.call_later(request.head_ms + request.event_ms + request.stream_ms, end)

    def _crash_any(self) -> None:
        self._crash(self.random.choice(sorted(self._in_flight)), is_poison=False)

    def _crash_many(self, count: int) -> None:
        for endpoint_id in self.random.sample(sorted(self._in_flight), count):
            self._crash(endpoint_id, is_poison=False)

    def _crash(self, endpoint_id: str, *, is_poison: bool) -> None:
        """End an endpoint with all that it runs; VMs find out a little later."""
        flights = self._in_flight.pop(endpoint_id, None)
        if flights is None:
            return
        now_ms = self.clock.now_ms
        self.outcomes["crashes"] += 1
        if is_poison:
            self.poison_crashes_ms.append(now_ms)
        if self._rare_left:
            self._rare_left -= 1
            rare = make_request("rare", self.random)
            rare.sent_ms = now_ms - rare.head_ms - 1
            flights.append((self.random.choice(sorted(self._joined)), rare))
        suspects_by_vm: dict[str, list[Suspect]] = {}
        for vm_id, request in flights:
            self.outcomes[f"{request.kind} broken"] += 1
            suspects_by_vm.setdefault(vm_id, []).extend(request.suspects(now_ms))
        self.clock.call_later(CRASH_CHECK_MS, lambda: self._notice(endpoint_id, suspects_by_vm))
        self.clock.call_later(REPLACE_MS, self._add_endpoint)

    def _notice(self, endpoint_id: str, suspects_by_vm: dict[str, list[Suspect]]) -> None:
        for vm_id, suspects in suspects_by_vm.items():
            if suspects and vm_id not in self.links.down:
                self.nodes[vm_id].record_crash(suspects, endpoint_id, self.clock.now_ms)
