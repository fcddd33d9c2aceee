"""Decides whether this node may run an idempotency key that it has no record of."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from wagtailusher_core import PublishedVm, VmId
from wagtailusher_once.key_homes import KeyHomes
from wagtailusher_once.limits import OnceLimits
from wagtailusher_once.run_records import LowWaterMark, RunRecord
from wagtailusher_once.submission_results import ForwardTo


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyAttempt:
    """An attempt with a key; `first_sent_ms` is its first attempt's time on this node's clock."""

    placement_key: str
    body_digest: bytes
    first_sent_wall_ms: int
    first_sent_ms: int


class KeyAdmission:
    """Determines the home of a key, and whether this node owned it before its first attempt."""

    def __init__(self, *, vm_id: VmId, limits: OnceLimits) -> None:
        self._vm_id = vm_id
        self._limits = limits
        self._low_water_mark = LowWaterMark()
        self._homes = KeyHomes(
            vm_id=vm_id,
            departure_retention_ms=limits.settling_ms + limits.key_lifetime_ms,
            max_age_ms=limits.max_list_age_ms,
        )

    def observe(self, vms: Iterable[PublishedVm], now_ms: int, *, observed_ms: int | None) -> None:
        """Observe the platform's list, read at observed_ms."""
        self._homes.observe(vms, now_ms, observed_ms=observed_ms)

    def admit(self, attempt: KeyAttempt, now_ms: int) -> RunRecord | ForwardTo | None:
        """Return a record to run the key with, or its other home.

        None is returned when another node may have run the key.
        """
        home_id = self._homes.home_of(attempt.placement_key)
        if home_id is not None and home_id != self._vm_id:
            return ForwardTo(home_id=home_id)
        if not self._may_run(attempt, now_ms):
            return None
        run_until_ms = attempt.first_sent_ms + self._limits.key_lifetime_ms
        return RunRecord(
            ticket_id=attempt.placement_key,
            body_digest=attempt.body_digest,
            run_until_ms=run_until_ms,
            retain_until_ms=run_until_ms + 2 * self._limits.max_clock_skew_ms,
            low_water_mark=self._low_water_mark,
            timestamp_wall_ms=attempt.first_sent_wall_ms,
        )

    def _may_run(self, attempt: KeyAttempt, now_ms: int) -> bool:
        """Return whether no other node can have run this key or can run it later."""
        if self._low_water_mark.covers(attempt.first_sent_wall_ms) or not self._homes.is_fresh(
            now_ms
        ):
            return False
        since_ms = self._homes.home_since_ms(attempt.placement_key)
        if since_ms is None or attempt.first_sent_ms < since_ms + self._limits.settling_ms:
            return False
        oldest_ms = now_ms - self._limits.key_lifetime_ms
        newest_ms = now_ms + self._limits.max_clock_skew_ms
        return oldest_ms < attempt.first_sent_ms <= newest_ms
