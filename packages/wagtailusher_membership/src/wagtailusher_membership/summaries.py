"""Summaries of spare capacity and demand of all VMs, quota shares and address answers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from heapq import nsmallest
from random import Random
from statistics import median

from wagtailusher_core import ClassKey, FailureDomainId, Incarnation, PoolId, VmId
from wagtailusher_membership.address_selection import AddressChoice, AddressTable, WeightedAddress
from wagtailusher_membership.const import (
    DEFAULT_ROOM_HALF_LIFE_MS,
    DEFAULT_SAME_DOMAIN_WEIGHT,
    DEFAULT_SUMMARY_BYTES,
    DEFAULT_SUMMARY_FANOUT,
    DEFAULT_SUMMARY_INTERVAL_MS,
    DEFAULT_SUMMARY_LIFETIME_MS,
    DEFAULT_SUMMARY_POOLS,
    DEFAULT_SUMMARY_ROOMS_BYTES,
    DEFAULT_TABLE_LIFETIME_MS,
)
from wagtailusher_membership.member import Member
from wagtailusher_membership.membership_effects import SendDatagram
from wagtailusher_membership.probes import sample
from wagtailusher_membership.quota_coordinator import QuotaCoordinator
from wagtailusher_membership.quota_coordinators import QuotaCoordinators
from wagtailusher_membership.quota_limits import QuotaLimits
from wagtailusher_membership.quota_shares import ClassUsage, QuotaShares
from wagtailusher_membership.summary_size import bound_pools, select_demands, select_rooms
from wagtailusher_membership.summary_view import LatestSummaries, SummaryT, TimedSummary
from wagtailusher_wire import (
    DemandSummary,
    Message,
    PoolDemand,
    QuotaClaims,
    QuotaGrants,
    RoomSummary,
    SummaryGossip,
)

_NO_SENDER = VmId("")
_MAX_SAMPLED = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class SummaryLimits:
    """Interval, fan-out, sizes and lifetimes of summaries, and the weighting of addresses."""

    interval_ms: int = DEFAULT_SUMMARY_INTERVAL_MS
    fanout: int = DEFAULT_SUMMARY_FANOUT
    max_bytes: int = DEFAULT_SUMMARY_BYTES
    rooms_bytes: int = DEFAULT_SUMMARY_ROOMS_BYTES
    max_pools: int = DEFAULT_SUMMARY_POOLS
    lifetime_ms: int = DEFAULT_SUMMARY_LIFETIME_MS
    same_domain_weight: float = DEFAULT_SAME_DOMAIN_WEIGHT
    room_half_life_ms: int = DEFAULT_ROOM_HALF_LIFE_MS
    table_lifetime_ms: int = DEFAULT_TABLE_LIFETIME_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetDemand:
    """The number of requests for one pool at all VMs, by tier."""

    queued_by_tier: tuple[int, ...]
    in_flight_by_tier: tuple[int, ...]


class SummaryDecider:
    """Gossips this VM's summary, merges those of other VMs, and divides quotas.

    A coordinator per class grants shares of the quota for a short time. The shares in use add up
    to the quota at most, and to twice the quota at most while VMs differ on which VMs are alive.
    In a lasting partition each side uses the quota in proportion to its VMs, and at least one.
    """

    def __init__(
        self,
        *,
        vm_id: VmId,
        failure_domain_id: FailureDomainId,
        incarnation: Incarnation,
        members: Mapping[VmId, Member],
        seed: int,
        limits: SummaryLimits | None = None,
        quota_limits: QuotaLimits | None = None,
    ) -> None:
        """Start with an empty summary; members is a live view."""
        self._vm_id = vm_id
        self._failure_domain_id = failure_domain_id
        self._incarnation = incarnation
        self._members = members
        self._limits = limits or SummaryLimits()
        self._rng = Random(seed)
        self._rooms: LatestSummaries[RoomSummary] = LatestSummaries()
        self._demands: LatestSummaries[DemandSummary] = LatestSummaries()
        quota_limits = quota_limits or QuotaLimits()
        self._quota_limits = quota_limits
        self._coordinators = QuotaCoordinators(vm_id=vm_id, members=members)
        self._coordinator = QuotaCoordinator(
            vm_id=vm_id, coordinators=self._coordinators, limits=quota_limits
        )
        self._shares = QuotaShares(
            vm_id=vm_id,
            incarnation=incarnation,
            coordinators=self._coordinators,
            limits=quota_limits,
        )
        self._given_out: dict[VmId, int] = {}
        self._tables: dict[FailureDomainId, AddressTable] = {}
        self._tables_until_ms = 0
        self._room = 0
        self._pools: tuple[PoolDemand, ...] = ()
        self._sequence = 0
        self._next_ms = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return this process's incarnation."""
        return self._incarnation

    def set_room(self, room: int) -> None:
        """Set how many more requests this VM can accept."""
        self._room = max(0, room)

    def set_demand(self, pools: Iterable[PoolDemand]) -> None:
        """Set this VM's demand; classes without a quota may be left out."""
        pools = tuple(pools)
        limits = self._limits
        self._shares.set_usage(_usage_by_class(pools))
        self._pools = bound_pools(
            pools, max_pools=limits.max_pools, max_bytes=limits.max_bytes - limits.rooms_bytes
        )

    def next_due_ms(self, now_ms: int) -> int:
        """Return the time in milliseconds of the next tick."""
        return min(max(now_ms, self._next_ms), now_ms + self._quota_limits.urgent_claim_interval_ms)

    def tick(self, now_ms: int) -> tuple[SendDatagram, ...]:
        """Return the claims and summaries that are due."""
        self._coordinators.refresh(now_ms)
        datagrams = list(self._claim_datagrams(now_ms))
        if now_ms >= self._next_ms:
            self._next_ms = now_ms + self._limits.interval_ms
            self._remove_expired(now_ms)
            self._store_own_summary(now_ms)
            datagrams.extend(self._gossip_datagrams(now_ms))
        return tuple(datagrams)

    def handle(
        self, message: Message, now_ms: int, *, sender: VmId = _NO_SENDER, address: str = ""
    ) -> tuple[SendDatagram, ...]:
        """Merge summaries of other VMs, answer quota claims, or store grants."""
        if isinstance(message, SummaryGossip):
            self._merge(message, now_ms)
        elif isinstance(message, QuotaClaims) and message.node_id == sender:
            grants = self._coordinator.grant_claims(message, now_ms)
            return (SendDatagram(vm_id=sender, address=address, message=grants),)
        elif isinstance(message, QuotaGrants):
            self._shares.apply_grants(message, now_ms)
        return ()

    def demand_age_ms(self, vm_id: VmId, now_ms: int) -> int | None:
        """Return the age in milliseconds of a VM's demand summary, None when there is none."""
        entry = self._demands.get(vm_id)
        return None if entry is None else now_ms - entry.measured_ms

    def rooms(self, now_ms: int) -> tuple[RoomSummary, ...]:
        """Return the spare capacity of every known VM."""
        return tuple(entry.current(now_ms) for entry in self._rooms.values())

    def fleet_demand(self, pool_id: PoolId, now_ms: int) -> FleetDemand:
        """Return the demand for a pool at all VMs with a recent summary."""
        pools = [
            pool
            for entry in self._demands.values()
            if now_ms - entry.measured_ms < self._limits.lifetime_ms
            for pool in entry.summary.pools
            if pool.pool_id == pool_id
        ]
        return FleetDemand(
            queued_by_tier=_sum_elementwise(pool.queued_by_tier for pool in pools),
            in_flight_by_tier=_sum_elementwise(pool.in_flight_by_tier for pool in pools),
        )

    def quota_share(self, class_key: ClassKey, quota: int, now_ms: int) -> int:
        """Return how many requests of a class this VM may have in flight."""
        return self._shares.allowed_in_flight(class_key, quota, now_ms)

    def quota_coordinator(self, class_key: ClassKey) -> VmId | None:
        """Return the VM that coordinates a class's quota now."""
        return self._coordinators.coordinator_of(class_key)

    def addresses(
        self, now_ms: int, near_domain: FailureDomainId, count: int
    ) -> tuple[AddressChoice, ...]:
        """Return entry VMs for a caller, drawn by spare capacity, never leaving ones.

        Those in the caller's failure domain are first.
        """
        chosen = self._table(now_ms, near_domain).draw(count, near_domain, self._rng)
        if not all(self._accepts_requests(choice.vm_id) for choice in chosen):
            self._tables.clear()
            chosen = self._table(now_ms, near_domain).draw(count, near_domain, self._rng)
        for choice in chosen[:1]:
            self._given_out[choice.vm_id] = self._given_out.get(choice.vm_id, 0) + 1
        return chosen

    def _accepts_requests(self, vm_id: VmId) -> bool:
        member = self._members.get(vm_id)
        return member is not None and member.accepts_requests

    def _table(self, now_ms: int, near_domain: FailureDomainId) -> AddressTable:
        """Return the candidates weighted for a failure domain, recomputed after a short time."""
        if now_ms >= self._tables_until_ms:
            self._tables_until_ms = now_ms + self._limits.table_lifetime_ms
            self._tables.clear()
        table = self._tables.get(near_domain)
        if table is None:
            table = self._tables[near_domain] = AddressTable(
                self._weighted_addresses(now_ms, near_domain)
            )
        return table

    def _merge(self, message: SummaryGossip, now_ms: int) -> None:
        """Merge the newer summaries of other VMs."""
        for room in message.rooms:
            if room.vm_id != self._vm_id and self._rooms.merge(room, now_ms):
                self._given_out.pop(room.vm_id, None)
        for demand in message.demands:
            if demand.vm_id != self._vm_id:
                self._demands.merge(demand, now_ms)

    def _claim_datagrams(self, now_ms: int) -> Iterator[SendDatagram]:
        """Yield claims to other VMs; claims on quotas coordinated here are answered locally."""
        for claims in self._shares.due_claims(now_ms):
            coordinator = self._members.get(claims.coordinator_id)
            if claims.coordinator_id == self._vm_id:
                self._shares.apply_grants(
                    self._coordinator.grant_claims(claims.message, now_ms), now_ms
                )
            elif coordinator is not None:
                yield SendDatagram(
                    vm_id=coordinator.vm_id,
                    address=coordinator.peer_address,
                    message=claims.message,
                )

    def _gossip_datagrams(self, now_ms: int) -> Iterator[SendDatagram]:
        """Yield summary gossip to a few random members."""
        targets = sample(
            self._rng, self._members, self._limits.fanout, excluded=frozenset((self._vm_id,))
        )
        for member in targets:
            gossip = self._build_gossip(now_ms)
            yield SendDatagram(vm_id=member.vm_id, address=member.peer_address, message=gossip)

    def _store_own_summary(self, now_ms: int) -> None:
        """Store this VM's own summary."""
        self._sequence += 1
        own = self._members.get(self._vm_id)
        self._rooms.merge(
            RoomSummary(
                vm_id=self._vm_id,
                incarnation=self._incarnation,
                sequence=self._sequence,
                age_ms=0,
                room=self._room,
                leaving=own is not None and own.leaving,
            ),
            now_ms,
        )
        demand = DemandSummary(
            vm_id=self._vm_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            age_ms=0,
            pools=self._pools,
        )
        self._demands.merge(demand, now_ms)
        self._given_out.pop(self._vm_id, None)

    def _build_gossip(self, now_ms: int) -> SummaryGossip:
        """Return one datagram's summaries: the own one, then a random subset of the others."""
        limits = self._limits
        rooms = select_rooms(self._sample_recent(self._rooms, now_ms), limits.rooms_bytes)
        demands = select_demands(
            self._sample_recent(self._demands, now_ms), limits.max_bytes - limits.rooms_bytes
        )
        return SummaryGossip(rooms=tuple(rooms), demands=tuple(demands))

    def _sample_recent(
        self, summaries: LatestSummaries[SummaryT], now_ms: int
    ) -> Iterator[SummaryT]:
        """Yield the own summary, then some others, drawn with a preference for recent ones."""

        def sort_key(entry: TimedSummary[SummaryT]) -> float:
            if entry.summary.vm_id == self._vm_id:
                return -1.0
            return (now_ms - entry.measured_ms) * self._rng.random()

        sampled = nsmallest(_MAX_SAMPLED, summaries.values(), key=sort_key)
        return (entry.current(now_ms) for entry in sampled)

    def _remove_expired(self, now_ms: int) -> None:
        """Remove summaries that are too old or of VMs that are dead or have left."""
        for vm_id in self._rooms.vm_ids():
            if self._is_expired(vm_id, self._rooms.get(vm_id), now_ms):
                self._rooms.remove(vm_id)
        for vm_id in self._demands.vm_ids():
            if self._is_expired(vm_id, self._demands.get(vm_id), now_ms):
                self._demands.remove(vm_id)

    def _is_expired(self, vm_id: VmId, entry: TimedSummary[SummaryT] | None, now_ms: int) -> bool:
        if vm_id == self._vm_id or entry is None:
            return False
        member = self._members.get(vm_id)
        is_member_gone = member is not None and member.is_gone
        return is_member_gone or now_ms - entry.measured_ms >= self._limits.lifetime_ms

    def _weighted_addresses(
        self, now_ms: int, near_domain: FailureDomainId
    ) -> Iterator[WeightedAddress]:
        """Yield every VM that accepts requests with its weight.

        A VM without a summary has the median spare capacity. With age the weight of a summary
        above the median falls to the median, and each address given out since counts against it.
        """
        known = [entry.summary.room for entry in self._rooms.values()]
        median_room = median(known) if known else 1.0
        for member in self._members.values():
            entry = self._rooms.get(member.vm_id)
            if not member.accepts_requests or (entry is not None and entry.summary.leaving):
                continue
            room, age_ms = float(median_room), 0
            if entry is not None:
                room, age_ms = float(entry.summary.room), now_ms - entry.measured_ms
            room = max(0.0, room - self._given_out.get(member.vm_id, 0))
            recency = 0.5 ** (max(0, age_ms) / self._limits.room_half_life_ms)
            weight = recency * room + (1 - recency) * min(room, float(median_room))
            is_same_domain = member.failure_domain_id == near_domain
            yield WeightedAddress(
                choice=AddressChoice(
                    vm_id=member.vm_id,
                    address=member.address,
                    failure_domain_id=member.failure_domain_id,
                ),
                weight=weight * (self._limits.same_domain_weight if is_same_domain else 1.0),
            )


def _usage_by_class(pools: Iterable[PoolDemand]) -> dict[ClassKey, ClassUsage]:
    """Return the number of requests by class, over all pools."""
    usage_by_class: dict[ClassKey, ClassUsage] = {}
    for pool in pools:
        for demand in pool.classes:
            key = ClassKey(demand.workspace_id, demand.class_id)
            known = usage_by_class.get(key, ClassUsage())
            usage_by_class[key] = ClassUsage(
                queued=known.queued + demand.queued,
                in_flight=known.in_flight + demand.in_flight,
            )
    return usage_by_class


def _sum_elementwise(rows: Iterable[tuple[int, ...]]) -> tuple[int, ...]:
    """Return the element-wise sums; rows may differ in length."""
    sums: list[int] = []
    for row in rows:
        sums.extend([0] * (len(row) - len(sums)))
        for index, value in enumerate(row):
            sums[index] += value
    return tuple(sums)
