"""The parts of quotas that this VM holds."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from wagtailusher_core import ClassKey, Incarnation, VmId
from wagtailusher_membership.apportion import base_share
from wagtailusher_membership.encoded_size import bound_encoded_bytes
from wagtailusher_membership.keepers import Keepers
from wagtailusher_membership.quota_limits import QuotaLimits
from wagtailusher_wire import QuotaClaim, QuotaClaims, QuotaGrants

_CLAIM_WORDS = 6
_CLAIMS_WORDS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassUse:
    """One class's requests at this VM."""

    queued: int = 0
    in_flight: int = 0

    @property
    def claim(self) -> int:
        """Return how much of a quota is wanted."""
        return self.queued + self.in_flight


@dataclass(slots=True, kw_only=True)
class _Share:
    """One class's quota, this VM's grant, and the last question about it."""

    quota: int
    used_ms: int
    share: int = 0
    expires_ms: int = 0
    grant_sequence: int = 0
    asked_ms: int | None = None
    asked_claim: int = 0
    is_answered: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class KeeperClaims:
    """Claims for one keeper."""

    keeper_id: VmId
    message: QuotaClaims


class QuotaShares:
    """Claims parts of quotas and uses each grant until it runs out by this VM's own clock.

    Without a grant the VM has its part of an even division over the platform's list.
    """

    def __init__(
        self, *, vm_id: VmId, incarnation: Incarnation, keepers: Keepers, limits: QuotaLimits
    ) -> None:
        """Start without grants."""
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._keepers = keepers
        self._limits = limits
        self._shares: dict[ClassKey, _Share] = {}
        self._uses: Mapping[ClassKey, ClassUse] = {}
        self._bases: dict[tuple[ClassKey, int], int] = {}
        self._bases_of: tuple[VmId, ...] = ()
        self._sent_ms: dict[int, int] = {}
        self._sequence = 0

    def set_uses(self, uses: Mapping[ClassKey, ClassUse]) -> None:
        """Set this VM's requests by class."""
        self._uses = uses

    def share(self, key: ClassKey, quota: int, now_ms: int) -> int:
        """Return how many requests of a class may be in flight here."""
        share = self._shares.get(key)
        if share is None:
            if len(self._shares) >= self._limits.max_classes:
                return self._base(key, quota)
            share = self._shares[key] = _Share(quota=quota, used_ms=now_ms)
        share.quota = quota
        share.used_ms = now_ms
        return min(quota, self._usable(key, share, now_ms))

    def due(self, now_ms: int) -> Iterator[KeeperClaims]:
        """Yield the claims to make now, in datagrams of bounded size."""
        by_keeper: dict[VmId, list[QuotaClaim]] = {}
        for key, share in list(self._shares.items()):
            if not self._is_due(key, share, now_ms):
                continue
            keeper_id = self._keepers.keeper(key)
            if keeper_id is not None:
                by_keeper.setdefault(keeper_id, []).append(self._claim(key, share, now_ms))
            if self._is_unused(key, share, now_ms):
                del self._shares[key]
        for keeper_id, claims in by_keeper.items():
            for batch in self._batches(claims):
                yield KeeperClaims(keeper_id=keeper_id, message=self._message(batch, now_ms))

    def take(self, message: QuotaGrants, now_ms: int) -> None:
        """Take grants in; their life counts from when the claim was sent."""
        sent_ms = self._sent_ms.pop(message.sequence, None)
        if sent_ms is None or now_ms >= sent_ms + message.lifetime_ms:
            return
        for grant in message.grants:
            share = self._shares.get(ClassKey(grant.workspace_id, grant.class_id))
            if share is not None and message.sequence > share.grant_sequence:
                share.share = grant.share
                share.expires_ms = sent_ms + message.lifetime_ms
                share.grant_sequence = message.sequence
                share.is_answered = True

    def _usable(self, key: ClassKey, share: _Share, now_ms: int) -> int:
        """Return the grant, or the even part without one."""
        if now_ms < share.expires_ms:
            return share.share
        return self._base(key, share.quota)

    def _base(self, key: ClassKey, quota: int) -> int:
        """Return this VM's part of an even division, worked out once for each list."""
        listed = self._keepers.listed
        if listed is not self._bases_of or len(self._bases) >= self._limits.max_classes:
            self._bases_of = listed
            self._bases.clear()
        base = self._bases.get((key, quota))
        if base is None:
            base = base_share("\0".join(key), quota, self._vm_id, listed)
            self._bases[key, quota] = base
        return base

    def _is_due(self, key: ClassKey, share: _Share, now_ms: int) -> bool:
        """Return whether to claim now: to renew, sooner when more is wanted."""
        claim = self._uses.get(key, ClassUse()).claim
        if share.asked_ms is None:
            return claim > 0 or self._is_unused(key, share, now_ms)
        waited_ms = now_ms - share.asked_ms
        if claim > max(share.asked_claim, share.share):
            return waited_ms >= self._limits.hurry_ms
        if not share.is_answered:
            return waited_ms >= self._limits.retry_ms
        return waited_ms >= self._limits.refresh_ms

    def _is_unused(self, key: ClassKey, share: _Share, now_ms: int) -> bool:
        """Return whether a class had no requests for a grant's lifetime."""
        is_idle = not self._uses.get(key, ClassUse()).claim
        return is_idle and now_ms - share.used_ms >= self._limits.lifetime_ms

    def _claim(self, key: ClassKey, share: _Share, now_ms: int) -> QuotaClaim:
        """Return the claim on one class, and note that it is made."""
        use = self._uses.get(key, ClassUse())
        held = share.share if now_ms < share.expires_ms else 0
        share.asked_ms = now_ms
        share.asked_claim = use.claim
        share.is_answered = False
        return QuotaClaim(
            workspace_id=key.workspace_id,
            class_id=key.class_id,
            quota=share.quota,
            claim=use.claim,
            held=max(held, use.in_flight),
            grant_sequence=share.grant_sequence,
        )

    def _batches(self, claims: list[QuotaClaim]) -> Iterator[tuple[QuotaClaim, ...]]:
        """Yield claims in batches that fit a datagram."""
        batch: list[QuotaClaim] = []
        limit = self._limits.claims_bytes - bound_encoded_bytes(_CLAIMS_WORDS, self._vm_id)
        left = limit
        for claim in claims:
            size = bound_encoded_bytes(_CLAIM_WORDS, claim.workspace_id, claim.class_id)
            if batch and size > left:
                yield tuple(batch)
                batch, left = [], limit
            batch.append(claim)
            left -= size
        if batch:
            yield tuple(batch)

    def _message(self, claims: tuple[QuotaClaim, ...], now_ms: int) -> QuotaClaims:
        """Return a message with claims, and remember when it was sent."""
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
