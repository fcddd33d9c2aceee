"""Faults that are injected to check that the schedules detect them."""

from __future__ import annotations

from dataclasses import asdict, replace
from enum import StrEnum

from wagtailusher_core import Incarnation, VmId
from wagtailusher_once import ForwardTo, OnceDecider, OnceLimits, StoredAnswer, Submission, Ticket
from wagtailusher_once.key_admission import KeyAdmission, KeyAttempt


class Fault(StrEnum):
    """One fault of a node."""

    NONE = "none"
    HOME_CHECK_SKIPPED = "home_check_skipped"
    DISPATCH_AFTER_SEND = "dispatch_after_send"
    EVICTION_FORGETS = "eviction_forgets"
    INCARNATION_REUSED = "incarnation_reused"
    EXPIRY_FORGETS = "expiry_forgets"
    HAND_OVER_FORGOTTEN = "hand_over_forgotten"
    SETTLING_SKIPPED = "settling_skipped"
    SETTLING_SHORTENED = "settling_shortened"


TICKET_FAULTS = (
    Fault.HOME_CHECK_SKIPPED,
    Fault.DISPATCH_AFTER_SEND,
    Fault.EVICTION_FORGETS,
    Fault.INCARNATION_REUSED,
    Fault.EXPIRY_FORGETS,
    Fault.HAND_OVER_FORGOTTEN,
)
KEY_FAULTS = (Fault.SETTLING_SKIPPED, Fault.SETTLING_SHORTENED)


class _HomeCheckSkipped(OnceDecider):
    """Treats every ticket as issued by itself."""

    def submit(self, ticket: Ticket, body_digest: bytes, now_ms: int) -> Submission:
        """Submit as if this incarnation had issued the ticket."""
        own = replace(ticket, home_id=self._vm_id, incarnation=self._incarnation)
        return super().submit(own, body_digest, now_ms)


class _EvictionForgets(OnceDecider):
    """Removes the record together with its answer."""

    def complete(self, ticket_id: str, answer: StoredAnswer, now_ms: int) -> None:
        """Store the answer and remove the records whose answers were evicted."""
        super().complete(ticket_id, answer, now_ms)
        store = self._records
        for known_id, record in list(store._records.items()):
            if record.state == "completed" and record.answer is None:
                del store._records[known_id]
        store._expiry_heap = [entry for entry in store._expiry_heap if entry[1] in store._records]


class _ExpiryForgets(OnceDecider):
    """Removes expired records without raising the low-water mark."""

    def expire(self, now_ms: int) -> None:
        """Remove the expired records."""
        while self._records.pop_expired(now_ms) is not None:
            pass


class _HandOverForgotten(OnceDecider):
    """Continues a request that it handed over."""

    def hand_over(self, ticket_id: str, successor: ForwardTo, now_ms: int) -> bool:
        """Hand over without recording it."""
        return self._records.get(ticket_id) is not None


class _UnsettledKeys(KeyAdmission):
    """Runs a key as soon as this node is the key's home."""

    def _may_run(self, attempt: KeyAttempt, now_ms: int) -> bool:
        """Return True regardless of the ownership."""
        return True


class _SettlingSkipped(OnceDecider):
    """Skips the settling period of the ownership."""

    def __init__(self, *, vm_id: VmId, incarnation: Incarnation, limits: OnceLimits) -> None:
        """Start with keys that need no settling period."""
        super().__init__(vm_id=vm_id, incarnation=incarnation, limits=limits)
        self._keys = _UnsettledKeys(vm_id=vm_id, limits=limits)


class _ShortLimits(OnceLimits):
    """Limits with a tenth of the settling period."""

    @property
    def settling_ms(self) -> int:
        """Return a settling period that is too short for the list's lag."""
        return (self.max_list_lag_ms + self.max_list_age_ms + self.max_clock_skew_ms) // 5


class _SettlingShortened(OnceDecider):
    """Runs a key after too short a settling period."""

    def __init__(self, *, vm_id: VmId, incarnation: Incarnation, limits: OnceLimits) -> None:
        """Start with the reduced limits."""
        reduced = _ShortLimits(**asdict(limits))
        super().__init__(vm_id=vm_id, incarnation=incarnation, limits=reduced)


_DECIDERS: dict[Fault, type[OnceDecider]] = {
    Fault.HOME_CHECK_SKIPPED: _HomeCheckSkipped,
    Fault.EVICTION_FORGETS: _EvictionForgets,
    Fault.EXPIRY_FORGETS: _ExpiryForgets,
    Fault.HAND_OVER_FORGOTTEN: _HandOverForgotten,
    Fault.SETTLING_SKIPPED: _SettlingSkipped,
    Fault.SETTLING_SHORTENED: _SettlingShortened,
}


def make_decider(
    fault: Fault, *, vm_id: VmId, incarnation: Incarnation, limits: OnceLimits
) -> OnceDecider:
    """Return the decider of a node with a fault."""
    decider_type = _DECIDERS.get(fault, OnceDecider)
    return decider_type(vm_id=vm_id, incarnation=incarnation, limits=limits)
