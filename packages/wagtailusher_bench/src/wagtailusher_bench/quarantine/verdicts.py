"""Verdicts of the two plain ways, with one probe by one VM, as the real decider has them."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_bench.quarantine.const import PROBE_AFTER_MS
from wagtailusher_quarantine import QuarantineEntry

_MAX_PROBES = 2
_BACKOFF = 5


@dataclass(slots=True)
class Verdict:
    """A part that is refused since a time, or was cleared."""

    since_ms: int
    is_refused: bool = True
    probes: int = 0


class Verdicts:
    """The refused parts that a VM knows; newer verdicts replace older ones."""

    def __init__(self) -> None:
        """Start without any."""
        self.by_part: dict[str, Verdict] = {}

    def refuse(self, part: str, since_ms: int) -> bool:
        """Refuse a part; return whether that is new."""
        known = self.by_part.get(part)
        if known is not None and (known.is_refused or known.since_ms >= since_ms):
            return False
        self.by_part[part] = Verdict(since_ms)
        return True

    def clear(self, part: str, now_ms: int) -> bool:
        """End a verdict; return whether there was one."""
        known = self.by_part.get(part)
        if known is None or not known.is_refused or known.since_ms > now_ms:
            return False
        self.by_part[part] = Verdict(now_ms, is_refused=False)
        return True

    def is_refused(self, part: str) -> bool:
        """Return whether a part is refused."""
        known = self.by_part.get(part)
        return known is not None and known.is_refused

    def try_probe(self, part: str, now_ms: int) -> bool:
        """Return whether a probe is due, and count it."""
        known = self.by_part[part]
        wait_ms = PROBE_AFTER_MS * _BACKOFF**known.probes
        if known.probes >= _MAX_PROBES or now_ms - known.since_ms < wait_ms:
            return False
        known.probes += 1
        return True

    def entries(self, now_ms: int) -> list[QuarantineEntry]:
        """Return the verdicts to tell."""
        return [
            QuarantineEntry(
                fingerprint=part,
                endpoint_ids=(),
                quarantined=item.is_refused,
                completed=not item.is_refused,
                age_ms=now_ms - item.since_ms,
                probes=item.probes,
            )
            for part, item in self.by_part.items()
        ]

    def merge(self, entry: QuarantineEntry, now_ms: int) -> None:
        """Apply another VM's verdict."""
        since_ms = now_ms - entry.age_ms
        if entry.completed:
            self.clear(entry.fingerprint, since_ms)
        elif entry.quarantined:
            self.refuse(entry.fingerprint, since_ms)
            known = self.by_part[entry.fingerprint]
            known.probes = max(known.probes, entry.probes)
