"""A steward's bound on the credits that each holder of one endpoint may still use."""

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


class _HolderRecord:
    """One holder's grants and its last request."""

    __slots__ = (
        "reserved",
        "confirmed_sequence",
        "confirmed_at_ms",
        "demand",
        "grants",
        "received_at_ms",
        "in_flight",
        "last_sequence",
        "last_grant",
    )

    def __init__(self) -> None:
        self.reserved = 0
        self.confirmed_at_ms: int | None = None
        self.demand: tuple[int, ...] = ()
        self.grants: list[_Grant] = []
        self.received_at_ms: int | None = None
        self.in_flight = 0
        self.last_sequence = -1
        self.confirmed_sequence = 0
        self.last_grant: _Grant | None = None


class LeaseLedger:
    """Reserves for each node the most that it may use now.

    The reservation of a node is the greatest grant that it may still hold. It covers the safe
    local share too, unless the node confirmed a grant that is still valid: a holder waits for two
    lifetimes after a grant before it falls back to the share. Only the share can raise a
    reservation without a grant; if it is zero, reservations are recomputed less often.
    """

    def __init__(self, *, lifetime_ms: int) -> None:
        self._lifetime_ms = lifetime_ms
        self._share = 0
        self._records: dict[VmId, _HolderRecord] = {}
        self._published: frozenset[VmId] = frozenset()
        self._total_reserved = 0
        self._swept_at_ms: int | None = None

    def update_nodes(self, node_ids: Iterable[VmId], share: int, now_ms: int) -> None:
        """Set the nodes that may fall back to the local share, and the share's credits."""
        self._published = frozenset(node_ids)
        self._share = share
        if share > 0:
            for node_id in self._published:
                self._records.setdefault(node_id, _HolderRecord())
        self.sweep(now_ms)

    def apply_request(self, request: LeaseRequest, now_ms: int) -> bool:
        """Apply a holder's request; return False when a later request was applied before."""
        record = self._records.setdefault(request.node_id, _HolderRecord())
        if request.sequence <= record.last_sequence:
            return False
        record.last_sequence = request.sequence
        record.received_at_ms = now_ms
        record.in_flight = request.in_flight
        record.demand = request.demand_by_tier
        record.confirmed_sequence = request.confirms
        for grant in record.grants:
            if grant.sequence == request.confirms:
                record.confirmed_at_ms = grant.granted_at_ms
        record.grants = [item for item in record.grants if item.sequence >= request.confirms]
        self._update_reservation(request.node_id, record, now_ms)
        return True

    def record_grant(self, node_id: VmId, sequence: int, credits: int, now_ms: int) -> None:
        """Record a grant that is about to be sent."""
        record = self._records[node_id]
        record.last_grant = _Grant(sequence, credits, now_ms)
        record.grants.append(record.last_grant)
        self._update_reservation(node_id, record, now_ms)

    def available_for(self, node_id: VmId, limit: int, now_ms: int) -> int:
        """Return the credits a node may get without the sum exceeding the limit."""
        interval_ms = SWEEP_INTERVAL_MS if self._share > 0 else IDLE_SWEEP_INTERVAL_MS
        if self._swept_at_ms is None or now_ms - self._swept_at_ms >= interval_ms:
            self.sweep(now_ms)
        return max(0, limit - self._total_reserved + self._records[node_id].reserved)

    def demands(self, now_ms: int) -> dict[VmId, tuple[int, ...]]:
        """Return the demand of the nodes that sent a request within two lifetimes."""
        return {
            node_id: record.demand
            for node_id, record in self._records.items()
            if self._is_recent(record, now_ms)
        }

    def in_flight(self, node_id: VmId) -> int:
        """Return a node's requests in flight according to its last request."""
        record = self._records.get(node_id)
        return 0 if record is None else record.in_flight

    def has_recent_request(self, node_id: VmId, now_ms: int) -> bool:
        """Return whether a node sent a request within two lifetimes, so its lease may be valid."""
        record = self._records.get(node_id)
        return record is not None and self._is_recent(record, now_ms)

    def has_released(self, node_id: VmId) -> bool:
        """Return whether a node confirmed a grant of no credits while it had nothing in flight."""
        record = self._records.get(node_id)
        if record is None or record.last_grant is None or record.in_flight:
            return False
        last_grant = record.last_grant
        return last_grant.credits == 0 and record.confirmed_sequence == last_grant.sequence

    def nodes_with_reservation(self) -> set[VmId]:
        """Return the nodes with a reservation: those that may use a lease or the local share."""
        return {node_id for node_id, record in self._records.items() if record.reserved > 0}

    def sweep(self, now_ms: int) -> None:
        """Recompute every node's reservation and drop nodes that no longer take part."""
        self._swept_at_ms = now_ms
        for node_id, record in list(self._records.items()):
            self._update_reservation(node_id, record, now_ms)
            is_share_usable = self._share > 0 and node_id in self._published
            is_unused = not record.grants and not self._is_recent(record, now_ms)
            if is_unused and not is_share_usable:
                del self._records[node_id]
        self._total_reserved = sum(record.reserved for record in self._records.values())

    def _update_reservation(self, node_id: VmId, record: _HolderRecord, now_ms: int) -> None:
        """Recompute a node's reservation and update the total."""
        record.grants = [item for item in record.grants if self._is_valid(item, now_ms)]
        reserved = max((grant.credits for grant in record.grants), default=0)
        if node_id in self._published and not self._waives_share(record, now_ms):
            reserved = max(reserved, self._share)
        if self._is_recent(record, now_ms):
            reserved = max(reserved, record.in_flight)
        self._total_reserved += reserved - record.reserved
        record.reserved = reserved

    def _waives_share(self, record: _HolderRecord, now_ms: int) -> bool:
        """Return whether a confirmed grant keeps the node from using the local share."""
        confirmed_at_ms = record.confirmed_at_ms
        return confirmed_at_ms is not None and now_ms < confirmed_at_ms + self._lifetime_ms

    def _is_valid(self, grant: _Grant, now_ms: int) -> bool:
        """Return whether the holder may still use a grant."""
        return now_ms < grant.granted_at_ms + self._lifetime_ms

    def _is_recent(self, record: _HolderRecord, now_ms: int) -> bool:
        """Return whether the node sent a request within two lifetimes."""
        received_at_ms = record.received_at_ms
        return received_at_ms is not None and now_ms < received_at_ms + 2 * self._lifetime_ms
