"""The quota shares that are granted to this VM."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from wagtailusher_core import ClassKey, Incarnation, VmId
from wagtailusher_membership.apportion import base_share
from wagtailusher_membership.encoded_size import bound_encoded_bytes
from wagtailusher_membership.quota_coordinators import QuotaCoordinators
from wagtailusher_membership.quota_limits import QuotaLimits
from wagtailusher_wire import QuotaClaim, QuotaClaims, QuotaGrants

_CLAIM_WORDS = 6
_CLAIMS_WORDS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassUsage:
    """The number of one class's requests at this VM."""

    queued: int = 0
    in_flight: int = 0

    @property
    def claim(self) -> int:
        """Return the share of a quota to claim, in requests."""
        return self.queued + self.in_flight


@dataclass(slots=True, kw_only=True)
class _ClassShare:
    """One class's quota, this VM's grant, and its last claim."""

    quota: int
    last_used_ms: int
    granted: int = 0
    expires_ms: int = 0
    grant_sequence: int = 0
    claimed_ms: int | None = None
    last_claim: int = 0
    is_answered: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class CoordinatorClaims:
    """The claims in one message to a quota coordinator."""

    coordinator_id: VmId
    message: QuotaClaims


class QuotaShares:
    """Claims quota shares and uses each grant until it expires by this VM's own clock.

    Without a grant the VM uses its share of an even division over the platform's list.
    """

    def __init__(
        self,
        *,
        vm_id: VmId,
        incarnation: Incarnation,
        coordinators: QuotaCoordinators,
        limits: QuotaLimits,
    ) -> None:
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._coordinators = coordinators
        self._limits = limits
        self._shares: dict[ClassKey, _ClassShare] = {}
        self._usage: Mapping[ClassKey, ClassUsage] = {}
        self._base_shares: dict[tuple[ClassKey, int], int] = {}
        self._base_shares_list: tuple[VmId, ...] = ()
        self._sent_ms: dict[int, int] = {}
        self._sequence = 0

    def set_usage(self, usage: Mapping[ClassKey, ClassUsage]) -> None:
        """Set the number of this VM's requests by class."""
        self._usage = usage

    def allowed_in_flight(self, key: ClassKey, quota: int, now_ms: int) -> int:
        """Return how many requests of a class may be in flight here."""
        share = self._shares.get(key)
        if share is None:
            if len(self._shares) >= self._limits.max_classes:
                return self._base_share(key, quota)
            share = self._shares[key] = _ClassShare(quota=quota, last_used_ms=now_ms)
        share.quota = quota
        share.last_used_ms = now_ms
        return min(quota, self._usable(key, share, now_ms))

    def due_claims(self, now_ms: int) -> Iterator[CoordinatorClaims]:
        """Yield the claims to send now, in messages of bounded size."""
        by_coordinator: dict[VmId, list[QuotaClaim]] = {}
        for key, share in list(self._shares.items()):
            if not self._is_due(key, share, now_ms):
                continue
            coordinator_id = self._coordinators.coordinator_of(key)
            if coordinator_id is not None:
                by_coordinator.setdefault(coordinator_id, []).append(
                    self._claim(key, share, now_ms)
                )
            if self._is_unused(key, share, now_ms):
                del self._shares[key]
        for coordinator_id, claims in by_coordinator.items():
            for batch in self._batches(claims):
                yield CoordinatorClaims(
                    coordinator_id=coordinator_id, message=self._message(batch, now_ms)
                )

    def apply_grants(self, message: QuotaGrants, now_ms: int) -> None:
        """Store received grants; their lifetime starts when the claim was sent."""
        sent_ms = self._sent_ms.pop(message.sequence, None)
        if sent_ms is None or now_ms >= sent_ms + message.lifetime_ms:
            return
        for grant in message.grants:
            share = self._shares.get(ClassKey(grant.workspace_id, grant.class_id))
            if share is not None and message.sequence > share.grant_sequence:
                share.granted = grant.share
                share.expires_ms = sent_ms + message.lifetime_ms
                share.grant_sequence = message.sequence
                share.is_answered = True

    def _usable(self, key: ClassKey, share: _ClassShare, now_ms: int) -> int:
        """Return the granted share, or the even share without a grant."""
        if now_ms < share.expires_ms:
            return share.granted
        return self._base_share(key, share.quota)

    def _base_share(self, key: ClassKey, quota: int) -> int:
        """Return this VM's even share, computed once per platform list."""
        listed = self._coordinators.listed
        if (
            listed is not self._base_shares_list
            or len(self._base_shares) >= self._limits.max_classes
        ):
            self._base_shares_list = listed
            self._base_shares.clear()
        base = self._base_shares.get((key, quota))
        if base is None:
            base = base_share("\0".join(key), quota, self._vm_id, listed)
            self._base_shares[key, quota] = base
        return base

    def _is_due(self, key: ClassKey, share: _ClassShare, now_ms: int) -> bool:
        """Return whether to claim now: to renew, or sooner when more is needed."""
        claim = self._usage.get(key, ClassUsage()).claim
        if share.claimed_ms is None:
            return claim > 0 or self._is_unused(key, share, now_ms)
        waited_ms = now_ms - share.claimed_ms
        if claim > max(share.last_claim, share.granted):
            return waited_ms >= self._limits.urgent_claim_interval_ms
        if not share.is_answered:
            return waited_ms >= self._limits.retry_ms
        return waited_ms >= self._limits.refresh_ms

    def _is_unused(self, key: ClassKey, share: _ClassShare, now_ms: int) -> bool:
        """Return whether a class had no requests for a grant's lifetime."""
        is_idle = not self._usage.get(key, ClassUsage()).claim
        return is_idle and now_ms - share.last_used_ms >= self._limits.lifetime_ms

    def _claim(self, key: ClassKey, share: _ClassShare, now_ms: int) -> QuotaClaim:
        """Return the claim on one class, and record it as sent."""
        class_usage = self._usage.get(key, ClassUsage())
        held = share.granted if now_ms < share.expires_ms else 0
        share.claimed_ms = now_ms
        share.last_claim = class_usage.claim
        share.is_answered = False
        return QuotaClaim(
            workspace_id=key.workspace_id,
            class_id=key.class_id,
            quota=share.quota,
            claim=class_usage.claim,
            held=max(held, class_usage.in_flight),
            grant_sequence=share.grant_sequence,
        )

    def _batches(self, claims: list[QuotaClaim]) -> Iterator[tuple[QuotaClaim, ...]]:
        """Yield claims in batches that fit one datagram."""
        batch: list[QuotaClaim] = []
        max_bytes = self._limits.claims_bytes - bound_encoded_bytes(_CLAIMS_WORDS, self._vm_id)
        remaining_bytes = max_bytes
        for claim in claims:
            size = bound_encoded_bytes(_CLAIM_WORDS, claim.workspace_id, claim.class_id)
            if batch and size > remaining_bytes:
                yield tuple(batch)
                batch, remaining_bytes = [], max_bytes
            batch.append(claim)
            remaining_bytes -= size
        if batch:
            yield tuple(batch)

    def _message(self, claims: tuple[QuotaClaim, ...], now_ms: int) -> QuotaClaims:
        """Return a message with claims, and record its send time."""
        self._sequence += 1
        oldest_ms = now_ms - self._limits.lifetime_ms
        self._sent_ms = {n: sent for n, sent in self._sent_ms.items() if sent > oldest_ms}
        self._sent_ms[self._sequence] = now_ms
        return QuotaClaims(
            node_id=self._vm_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            claims=claims,
        )
