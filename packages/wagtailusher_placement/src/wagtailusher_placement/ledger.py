"""What the holders of leases on one endpoint may still use, as its steward must assume."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from wagtailusher_core import VmId
from wagtailusher_placement.const import IDLE_SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS
from wagtailusher_placement.leases import LeaseRequest


class _Grant(NamedTuple):
    """A grant that may still be valid at its holder."""

    sequence: int
    credits: int
    granted_at_ms: int


class _Account:
    """One holder's grants and its last word."""

    __slots__ = (
        "charge",
        "confirmed",
        "confirmed_at_ms",
        "demand",
        "grants",
        "heard_at_ms",
        "in_flight",
        "last",
        "last_grant",
    )

    def __init__(self) -> None:
        """Start without grants."""
        self.charge = 0
        self.confirmed_at_ms: int | None = None
        self.demand: tuple[int, ...] = ()
        self.grants: list[_Grant] = []
        self.heard_at_ms: int | None = None
        self.in_flight = 0
        self.last = -1
        self.confirmed = 0
        self.last_grant: _Grant | None = None


class LeaseLedger:
    """Charges each node with the most that it may use now.

    A node is charged with its greatest grant that it may still hold. It is charged with the safe
    local share too, unless it confirmed a grant that is still valid: by that it promised to wait
    for two lifetimes before it falls back to the share. Only the share can raise a charge without
    a grant; without one, charges are renewed seldom.
    """

    def __init__(self, *, lifetime_ms: int) -> None:
        """Start without nodes."""
        self._lifetime_ms = lifetime_ms
        self._share = 0
        self._accounts: dict[VmId, _Account] = {}
        self._published: frozenset[VmId] = frozenset()
        self._total = 0
        self._swept_at_ms: int | None = None

    def update_nodes(self, node_ids: Iterable[VmId], share: int, now_ms: int) -> None:
        """Take over the nodes that may fall back to the local share, and its size."""
        self._published = frozenset(node_ids)
        self._share = share
        if share > 0:
            for node_id in self._published:
                self._accounts.setdefault(node_id, _Account())
        self.sweep(now_ms)

    def accept(self, request: LeaseRequest, now_ms: int) -> bool:
        """Take in a holder's word; return False for one that was overtaken by a later one."""
        account = self._accounts.setdefault(request.node_id, _Account())
        if request.sequence <= account.last:
            return False
        account.last = request.sequence
        account.heard_at_ms = now_ms
        account.in_flight = request.in_flight
        account.demand = request.demand_by_tier
        account.confirmed = request.confirms
        for grant in account.grants:
            if grant.sequence == request.confirms:
                account.confirmed_at_ms = grant.granted_at_ms
        account.grants = [item for item in account.grants if item.sequence >= request.confirms]
        self._recharge(request.node_id, account, now_ms)
        return True

    def record(self, node_id: VmId, sequence: int, credits: int, now_ms: int) -> None:
        """Note a grant that is about to be sent."""
        account = self._accounts[node_id]
        account.last_grant = _Grant(sequence, credits, now_ms)
        account.grants.append(account.last_grant)
        self._recharge(node_id, account, now_ms)

    def room_for(self, node_id: VmId, limit: int, now_ms: int) -> int:
        """Return what the node may get without the sum passing the limit."""
        interval_ms = SWEEP_INTERVAL_MS if self._share > 0 else IDLE_SWEEP_INTERVAL_MS
        if self._swept_at_ms is None or now_ms - self._swept_at_ms >= interval_ms:
            self.sweep(now_ms)
        return max(0, limit - self._total + self._accounts[node_id].charge)

    def demands(self, now_ms: int) -> dict[VmId, tuple[int, ...]]:
        """Return the demand of the nodes that were heard lately."""
        return {
            node_id: account.demand
            for node_id, account in self._accounts.items()
            if self._is_fresh(account, now_ms)
        }

    def in_flight(self, node_id: VmId) -> int:
        """Return a node's work in flight by its last word."""
        account = self._accounts.get(node_id)
        return 0 if account is None else account.in_flight

    def is_heard(self, node_id: VmId, now_ms: int) -> bool:
        """Return whether a node was heard lately, so that its leases may be valid."""
        account = self._accounts.get(node_id)
        return account is not None and self._is_fresh(account, now_ms)

    def has_given_back(self, node_id: VmId) -> bool:
        """Return whether a node confirmed a grant of nothing when it had nothing in flight."""
        account = self._accounts.get(node_id)
        if account is None or account.last_grant is None or account.in_flight:
            return False
        last = account.last_grant
        return last.credits == 0 and account.confirmed == last.sequence

    def charged(self) -> set[VmId]:
        """Return the nodes that may use a lease or the local share."""
        return {node_id for node_id, account in self._accounts.items() if account.charge > 0}

    def sweep(self, now_ms: int) -> None:
        """Charge every node anew and forget those that are gone."""
        self._swept_at_ms = now_ms
        for node_id, account in list(self._accounts.items()):
            self._recharge(node_id, account, now_ms)
            has_share = self._share > 0 and node_id in self._published
            is_unused = not account.grants and not self._is_fresh(account, now_ms)
            if is_unused and not has_share:
                del self._accounts[node_id]
        self._total = sum(account.charge for account in self._accounts.values())

    def _recharge(self, node_id: VmId, account: _Account, now_ms: int) -> None:
        """Compute a node's charge and keep the total in step."""
        account.grants = [item for item in account.grants if self._is_valid(item, now_ms)]
        charge = max((grant.credits for grant in account.grants), default=0)
        if node_id in self._published and not self._has_promised(account, now_ms):
            charge = max(charge, self._share)
        if self._is_fresh(account, now_ms):
            charge = max(charge, account.in_flight)
        self._total += charge - account.charge
        account.charge = charge

    def _has_promised(self, account: _Account, now_ms: int) -> bool:
        """Return whether the node surely doesn't use the local share."""
        confirmed_at_ms = account.confirmed_at_ms
        return confirmed_at_ms is not None and now_ms < confirmed_at_ms + self._lifetime_ms

    def _is_valid(self, grant: _Grant, now_ms: int) -> bool:
        """Return whether the holder may still use a grant."""
        return now_ms < grant.granted_at_ms + self._lifetime_ms

    def _is_fresh(self, account: _Account, now_ms: int) -> bool:
        """Return whether the node was heard within two lifetimes."""
        heard_at_ms = account.heard_at_ms
        return heard_at_ms is not None and now_ms < heard_at_ms + 2 * self._lifetime_ms
