"""A score for each part: crashes over completed runs, in counters that gossip spreads."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from wagtailusher_bench.quarantine.const import (
    EPOCH_MS,
    MAX_DATAGRAMS,
    MAX_ENTRIES,
    MAX_SCORE,
    MAX_SENDS,
    MIN_CRASHES,
    REPEAT_MS,
    REPEAT_PEERS,
    SPREAD_PEERS,
)
from wagtailusher_bench.quarantine.links import Links
from wagtailusher_bench.quarantine.node import sample
from wagtailusher_bench.quarantine.verdicts import Verdicts
from wagtailusher_core import EndpointId, first_by_rendezvous
from wagtailusher_quarantine import QuarantineEntry, QuarantineSummary, Suspect


@dataclass(slots=True)
class Counter:
    """One VM's crashes and complete answers of a part in one epoch."""

    crashes: int = 0
    runs: int = 0
    sends: int = MAX_SENDS
    told_ms: int = 0


_Key = tuple[str, str, int]


class ScoreNode:
    """Adds up the counters of all VMs over two epochs."""

    def __init__(self, vm_id: str, links: Links, rng: Random) -> None:
        """Start without counters."""
        self._vm_id = vm_id
        self._links = links
        self._random = rng
        # A VM started anew counts under another name, or its peers would keep the higher counts.
        self._counter_id = f"{vm_id}.{links.clock.now_ms}"
        self._counters: dict[str, dict[_Key, Counter]] = {}
        self._verdicts = Verdicts()
        self._repeated_ms = 0

    @property
    def state(self) -> object:
        """Return counters and verdicts."""
        return (self._counters, self._verdicts)

    def admit(self, prints: tuple[str, ...], now_ms: int, then: Callable[[bool], None]) -> None:
        """Refuse parts with a verdict, apart from a probe that is due here."""
        refused = [item for item in prints if self._verdicts.is_refused(item)]
        live = (self._vm_id, *self._links.live_peers(self._vm_id))
        then(
            all(
                first_by_rendezvous(item, live) == self._vm_id
                and self._verdicts.try_probe(item, now_ms)
                for item in refused
            )
        )

    def record_crash(self, suspects: Iterable[Suspect], endpoint_id: str, now_ms: int) -> None:
        """Count the crash for the parts whose answer had begun, and tell all peers at once."""
        for part in dict.fromkeys(item.fingerprint for item in suspects if item.carrier):
            counter = self._own(part, now_ms)
            counter.crashes += 1
            counter.sends = 0
            self._judge(part, now_ms)
        self._spread(self._links.live_peers(self._vm_id), now_ms)

    def record_complete(self, prints: tuple[str, ...], now_ms: int) -> None:
        """Count a run of each part; one of a refused part ends the verdict."""
        for part in prints[1:]:
            self._own(part, now_ms).runs += 1
            if self._verdicts.clear(part, now_ms):
                self._links.send(
                    self._vm_id,
                    self._links.live_peers(self._vm_id),
                    QuarantineSummary(entries=tuple(self._verdicts.entries(now_ms)[-MAX_ENTRIES:])),
                )

    def _own(self, part: str, now_ms: int) -> Counter:
        epoch = now_ms // EPOCH_MS
        rows = self._counters.setdefault(part, {})
        for key in [key for key in rows if key[2] < epoch - 1]:
            del rows[key]
        return rows.setdefault((part, self._counter_id, epoch), Counter())

    def _judge(self, part: str, now_ms: int) -> None:
        oldest = now_ms // EPOCH_MS - 1
        rows = [row for key, row in self._counters[part].items() if key[2] >= oldest]
        crashes = sum(row.crashes for row in rows)
        runs = sum(row.runs for row in rows)
        if crashes >= MIN_CRASHES and crashes >= MAX_SCORE * (crashes + runs):
            self._verdicts.refuse(part, now_ms)

    def receive(self, sender: str, summary: QuarantineSummary, now_ms: int) -> None:
        """Merge counters, which only grow, and verdicts."""
        for entry in summary.entries:
            if not entry.endpoint_ids:
                self._verdicts.merge(entry, now_ms)
                continue
            key = (entry.fingerprint, str(entry.endpoint_ids[0]), entry.probes)
            row = self._counters.setdefault(entry.fingerprint, {}).setdefault(key, Counter())
            if entry.age_ms > row.crashes:
                row.sends = 0
            row.crashes = max(row.crashes, entry.age_ms)
            row.runs = max(row.runs, entry.idle_ms)
            self._judge(entry.fingerprint, now_ms)

    def greet(self, vm_id: str, now_ms: int) -> None:
        """Tell the verdicts to a new VM."""
        self._send_verdicts([vm_id], now_ms)

    def tick(self, now_ms: int) -> None:
        """Spread counters of accused parts, and repeat verdicts."""
        for part, rows in self._counters.items():
            if not any(row.crashes for row in rows.values()):
                continue
            own = rows.get((part, self._counter_id, now_ms // EPOCH_MS))
            if own is not None and now_ms - own.told_ms >= REPEAT_MS:
                own.told_ms = now_ms
                own.sends = 0
        peers = self._links.live_peers(self._vm_id)
        self._spread(sample(self._random, peers, SPREAD_PEERS), now_ms)
        if now_ms - self._repeated_ms >= REPEAT_MS:
            self._repeated_ms = now_ms
            self._send_verdicts(sample(self._random, peers, REPEAT_PEERS), now_ms)

    def _send_verdicts(self, targets: list[str], now_ms: int) -> None:
        entries = self._verdicts.entries(now_ms)[-MAX_ENTRIES:]
        if entries:
            self._links.send(self._vm_id, targets, QuarantineSummary(entries=tuple(entries)))

    def _spread(self, targets: list[str], now_ms: int) -> None:
        unsent = [
            (key, row)
            for rows in self._counters.values()
            for key, row in rows.items()
            if row.sends < MAX_SENDS
        ]
        unsent.sort(key=lambda item: (item[1].sends, -item[1].crashes))
        for start in range(0, min(len(unsent), MAX_DATAGRAMS * MAX_ENTRIES), MAX_ENTRIES):
            chosen = unsent[start : start + MAX_ENTRIES]
            for _, row in chosen:
                row.sends += 1
            entries = tuple(_entry(key, row) for key, row in chosen)
            self._links.send(self._vm_id, targets, QuarantineSummary(entries=entries))


def _entry(key: _Key, row: Counter) -> QuarantineEntry:
    """Return a counter in the fields of the real message, for its size."""
    part, vm_id, epoch = key
    return QuarantineEntry(
        fingerprint=part,
        endpoint_ids=(EndpointId(vm_id),),
        quarantined=False,
        age_ms=row.crashes,
        idle_ms=row.runs,
        probes=epoch,
    )
