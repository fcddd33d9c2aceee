"""A judge for each part: the VM that its hash names collects reports and is asked before sends."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from wagtailusher_bench.quarantine.const import (
    ASK_LIMIT_MS,
    ASK_REPEAT_MS,
    INNOCENT_MS,
    MAX_ENTRIES,
    MIN_CRASHES,
    REPEAT_MS,
    REPEAT_PEERS,
    TELL_COMPLETE_MS,
)
from wagtailusher_bench.quarantine.links import Links
from wagtailusher_bench.quarantine.node import sample
from wagtailusher_bench.quarantine.verdicts import Verdicts
from wagtailusher_core import EndpointId, first_by_rendezvous
from wagtailusher_quarantine import QuarantineEntry, QuarantineSummary, Suspect

_ASKED = 1
_ANSWERED = 2


@dataclass(slots=True)
class Case:
    """What a judge knows of one part: endpoints that crashed, and the last complete answer."""

    crashed: set[str] = field(default_factory=set)
    completed_ms: int | None = None


class JudgeNode:
    """Asks judges, and is one."""

    def __init__(self, vm_id: str, links: Links, rng: Random) -> None:
        """Start without cases."""
        self._vm_id = vm_id
        self._links = links
        self._random = rng
        self._cases: dict[str, Case] = {}
        self._sound_ms: dict[str, int] = {}
        self._told_ms: dict[str, int] = {}
        self._verdicts = Verdicts()
        self._waiting: dict[str, list[Callable[[], None]]] = {}
        self._repeated_ms = 0

    @property
    def state(self) -> object:
        """Return cases, verdicts and what is known to be sound."""
        return (self._cases, self._sound_ms, self._told_ms, self._verdicts)

    def _judge_of(self, part: str) -> str:
        live = (self._vm_id, *self._links.live_peers(self._vm_id))
        return first_by_rendezvous(part, live) or self._vm_id

    def admit(self, prints: tuple[str, ...], now_ms: int, then: Callable[[bool], None]) -> None:
        """Ask the judges of parts that aren't known to be sound; send anyway without answers."""
        unknown = [
            part
            for part in prints[1:]
            if not self._verdicts.is_refused(part)
            and now_ms - self._sound_ms.get(part, -INNOCENT_MS) >= INNOCENT_MS
            and self._judge_of(part) != self._vm_id
        ]
        is_decided = False

        def decide() -> None:
            nonlocal is_decided
            if not is_decided:
                is_decided = True
                then(self._may_send(prints, self._links.clock.now_ms))

        def answer(part: str) -> Callable[[], None]:
            def handle() -> None:
                if part in unknown:
                    unknown.remove(part)
                if not unknown:
                    decide()

            return handle

        if not unknown:
            decide()
            return
        for part in tuple(unknown):
            self._waiting.setdefault(part, []).append(answer(part))
            self._ask(part)

        def repeat() -> None:
            for part in () if is_decided else tuple(unknown):
                self._ask(part)

        self._links.clock.call_later(ASK_REPEAT_MS, repeat)
        self._links.clock.call_later(2 * ASK_REPEAT_MS, repeat)
        self._links.clock.call_later(ASK_LIMIT_MS, decide)

    def _may_send(self, prints: tuple[str, ...], now_ms: int) -> bool:
        refused = [item for item in prints if self._verdicts.is_refused(item)]
        return all(
            self._judge_of(item) == self._vm_id and self._verdicts.try_probe(item, now_ms)
            for item in refused
        )

    def _ask(self, part: str) -> None:
        self._send([self._judge_of(part)], _entry(part, probes=_ASKED))

    def record_crash(self, suspects: Iterable[Suspect], endpoint_id: str, now_ms: int) -> None:
        """Report the crash to the judges of the parts whose answer had begun."""
        for part in dict.fromkeys(item.fingerprint for item in suspects if item.carrier):
            self._report(_entry(part, crashed=endpoint_id), now_ms)

    def record_complete(self, prints: tuple[str, ...], now_ms: int) -> None:
        """Report a complete answer to the judges, at most once in some time for each part."""
        for part in prints[1:]:
            self._sound_ms[part] = now_ms
            is_told = now_ms - self._told_ms.get(part, -TELL_COMPLETE_MS) < TELL_COMPLETE_MS
            if is_told and not self._verdicts.is_refused(part):
                continue
            self._told_ms[part] = now_ms
            self._report(_entry(part, completed=True), now_ms)

    def _report(self, entry: QuarantineEntry, now_ms: int) -> None:
        judge = self._judge_of(entry.fingerprint)
        if judge == self._vm_id:
            self._collect(entry, now_ms)
        else:
            self._send([judge], entry)

    def _collect(self, entry: QuarantineEntry, now_ms: int) -> None:
        """Judge by a report."""
        part = entry.fingerprint
        case = self._cases.setdefault(part, Case())
        peers = self._links.live_peers(self._vm_id)
        if entry.completed:
            case.completed_ms = now_ms
            case.crashed.clear()
            if self._verdicts.clear(part, now_ms):
                self._send(peers, _entry(part, completed=True, age_ms=0, probes=_ANSWERED))
            return
        if case.completed_ms is not None and now_ms - case.completed_ms < INNOCENT_MS:
            return
        case.crashed.update(str(item) for item in entry.endpoint_ids)
        if len(case.crashed) >= MIN_CRASHES and self._verdicts.refuse(part, now_ms):
            self._send(peers, _entry(part, quarantined=True, probes=0))

    def receive(self, sender: str, summary: QuarantineSummary, now_ms: int) -> None:
        """Answer questions, collect reports and apply answers and verdicts."""
        for entry in summary.entries:
            part = entry.fingerprint
            if entry.endpoint_ids or (entry.completed and entry.probes != _ANSWERED):
                self._collect(entry, now_ms)
            elif entry.probes == _ASKED and not entry.quarantined:
                self._send([sender], self._answer(part, now_ms))
            else:
                self._apply(entry, now_ms)

    def _answer(self, part: str, now_ms: int) -> QuarantineEntry:
        case = self._cases.get(part)
        completed_ms = None if case is None else case.completed_ms
        is_sound = completed_ms is not None and now_ms - completed_ms < INNOCENT_MS
        if self._verdicts.is_refused(part):
            known = self._verdicts.by_part[part]
            age_ms = now_ms - known.since_ms
            return _entry(part, quarantined=True, age_ms=age_ms, probes=known.probes)
        return _entry(part, completed=is_sound, probes=_ANSWERED)

    def _apply(self, entry: QuarantineEntry, now_ms: int) -> None:
        part = entry.fingerprint
        if entry.completed:
            self._sound_ms[part] = now_ms
            self._verdicts.clear(part, now_ms)
        elif entry.quarantined:
            self._verdicts.merge(entry, now_ms)
        for handle in self._waiting.pop(part, ()):
            handle()

    def greet(self, vm_id: str, now_ms: int) -> None:
        """Tell the verdicts to a new VM."""
        entries = [entry for entry in self._verdicts.entries(now_ms) if entry.quarantined]
        if entries:
            self._send([vm_id], *entries[-MAX_ENTRIES:])

    def tick(self, now_ms: int) -> None:
        """Repeat verdicts to some peers."""
        if now_ms - self._repeated_ms < REPEAT_MS:
            return
        self._repeated_ms = now_ms
        for peer in sample(self._random, self._links.live_peers(self._vm_id), REPEAT_PEERS):
            self.greet(peer, now_ms)

    def _send(self, targets: list[str], *entries: QuarantineEntry) -> None:
        self._links.send(self._vm_id, targets, QuarantineSummary(entries=entries))


def _entry(
    part: str,
    *,
    crashed: str = "",
    completed: bool = False,
    quarantined: bool = False,
    age_ms: int = 0,
    probes: int = 0,
) -> QuarantineEntry:
    """Return a report, question or answer in the fields of the real message, for its size."""
    return QuarantineEntry(
        fingerprint=part,
        endpoint_ids=(EndpointId(crashed),) if crashed else (),
        quarantined=quarantined,
        completed=completed,
        age_ms=age_ms,
        probes=probes,
    )
