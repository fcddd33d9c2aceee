"""Whether this node may run an idempotency key that it has no record of."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from wagtailusher_core import PublishedVm, VmId
from wagtailusher_once.answers import ForwardTo
from wagtailusher_once.key_homes import KeyHomes
from wagtailusher_once.limits import OnceLimits
from wagtailusher_once.records import Floor, RunRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyAttempt:
    """An attempt under a key; `first_sent_ms` is its first sending on this node's clock."""

    hash_key: str
    body_digest: bytes
    first_sent_wall_ms: int
    first_sent_ms: int


class KeyAdmission:
    """Knows the homes of keys, and which first sendings this node may run."""

    def __init__(self, *, vm_id: VmId, limits: OnceLimits) -> None:
        """Start without a list."""
        self._vm_id = vm_id
        self._limits = limits
        self._floor = Floor()
        self._homes = KeyHomes(
            vm_id=vm_id,
            memory_ms=limits.settling_ms + limits.key_lifetime_ms,
            max_age_ms=limits.max_list_age_ms,
        )

    def observe(self, vms: Iterable[PublishedVm], now_ms: int, *, observed_ms: int | None) -> None:
        """Take in the platform's list."""
        self._homes.observe(vms, now_ms, observed_ms=observed_ms)

    def judge(self, attempt: KeyAttempt, now_ms: int) -> RunRecord | ForwardTo | None:
        """Return the record to run the key under, its other home, or None outside the bounds."""
        home_id = self._homes.home_of(attempt.hash_key)
        if home_id is not None and home_id != self._vm_id:
            return ForwardTo(home_id=home_id)
        if not self._may_run(attempt, now_ms):
            return None
        run_until_ms = attempt.first_sent_ms + self._limits.key_lifetime_ms
        return RunRecord(
            ticket_id=attempt.hash_key,
            body_digest=attempt.body_digest,
            run_until_ms=run_until_ms,
            keep_until_ms=run_until_ms + 2 * self._limits.max_clock_skew_ms,
            floor=self._floor,
            stamp_wall_ms=attempt.first_sent_wall_ms,
        )

    def _may_run(self, attempt: KeyAttempt, now_ms: int) -> bool:
        """Return whether no other node can ever have run, or run later, this key."""
        if self._floor.covers(attempt.first_sent_wall_ms) or not self._homes.is_fresh(now_ms):
            return False
        since_ms = self._homes.settling_since_ms(attempt.hash_key)
        if since_ms is None or attempt.first_sent_ms < since_ms + self._limits.settling_ms:
            return False
        oldest_ms = now_ms - self._limits.key_lifetime_ms
        newest_ms = now_ms + self._limits.max_clock_skew_ms
        return oldest_ms < attempt.first_sent_ms <= newest_ms
