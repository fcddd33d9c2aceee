"""Datagrams between VMs that are lost, delayed and counted, and which VMs are in touch."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
from random import Random

from wagtailusher_bench.fakes import VirtualClock
from wagtailusher_bench.quarantine.const import (
    DATAGRAM_DELAY_MS,
    DATAGRAM_LOSS,
    IP_UDP_BYTES,
    SILENCE_MS,
)
from wagtailusher_quarantine import QuarantineSummary
from wagtailusher_wire import QuarantineEntry as EntryMessage
from wagtailusher_wire import QuarantineSummary as SummaryMessage
from wagtailusher_wire import encode


def datagram_bytes(summary: QuarantineSummary) -> int:
    """Return the size of a summary on the wire, unsigned, with IP and UDP."""
    names = [item.name for item in fields(EntryMessage)]
    entries = tuple(
        EntryMessage(**{name: getattr(entry, name) for name in names}) for entry in summary.entries
    )
    return len(encode(SummaryMessage(entries=entries))) + IP_UDP_BYTES


class Links:
    """The VMs' connections."""

    def __init__(self, clock: VirtualClock, seed: int, vm_ids: list[str]) -> None:
        """Start with all VMs up and in touch."""
        self.clock = clock
        self.vm_ids = vm_ids
        self.random = Random(seed)
        self.receivers: dict[str, Callable[[str, QuarantineSummary, int], None]] = {}
        self.down: set[str] = set()
        self.cut_ms: dict[str, int] = {}
        self.sent_count = 0
        self.sent_bytes = 0

    def live_peers(self, vm_id: str) -> list[str]:
        """Return the VMs that a VM takes for live."""
        return [
            item
            for item in self.vm_ids
            if item != vm_id and item not in self.down and not self._is_silent(vm_id, item)
        ]

    def _is_silent(self, first: str, second: str) -> bool:
        now_ms = self.clock.now_ms
        return any(now_ms - self.cut_ms.get(vm, now_ms) > SILENCE_MS for vm in (first, second))

    def send(self, sender: str, targets: list[str], summary: QuarantineSummary) -> None:
        """Send a summary to some VMs."""
        size_bytes = datagram_bytes(summary)
        for target in targets:
            self.sent_count += 1
            self.sent_bytes += size_bytes
            is_lost = self.random.random() < DATAGRAM_LOSS
            if is_lost or sender in self.cut_ms or target in self.cut_ms:
                continue
            self.clock.call_later(DATAGRAM_DELAY_MS, self._delivery(sender, target, summary))

    def _delivery(self, sender: str, target: str, summary: QuarantineSummary) -> Callable[[], None]:
        def deliver() -> None:
            if target not in self.down:
                self.receivers[target](sender, summary, self.clock.now_ms)

        return deliver
