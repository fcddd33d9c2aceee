"""Summaries of room and demand of all VMs, and what follows from them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from heapq import nsmallest
from random import Random
from statistics import median

from wagtailusher_core import ClassKey, FailureDomainId, Incarnation, PoolId, VmId
from wagtailusher_membership.address_answers import AddressChoice, AddressTable, WeighedAddress
from wagtailusher_membership.const import (
    DEFAULT_NEAR_WEIGHT,
    DEFAULT_ROOM_HALF_LIFE_MS,
    DEFAULT_SUMMARY_BYTES,
    DEFAULT_SUMMARY_FANOUT,
    DEFAULT_SUMMARY_INTERVAL_MS,
    DEFAULT_SUMMARY_LIFETIME_MS,
    DEFAULT_SUMMARY_POOLS,
    DEFAULT_SUMMARY_ROOMS_BYTES,
    DEFAULT_TABLE_LIFETIME_MS,
)
from wagtailusher_membership.effects import SendDatagram
from wagtailusher_membership.keepers import Keepers
from wagtailusher_membership.member import Member
from wagtailusher_membership.probes import sample
from wagtailusher_membership.quota_keeper import QuotaKeeper
from wagtailusher_membership.quota_limits import QuotaLimits
from wagtailusher_membership.quota_shares import ClassUse, QuotaShares
from wagtailusher_membership.summary_size import bound_pools, take_demands, take_rooms
from wagtailusher_membership.summary_view import Aged, LatestSummaries, SummaryT
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
_MAX_DRAWN = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class SummaryLimits:
    """How often and how much is told, and how long it is believed."""

    interval_ms: int = DEFAULT_SUMMARY_INTERVAL_MS
    fanout: int = DEFAULT_SUMMARY_FANOUT
    max_bytes: int = DEFAULT_SUMMARY_BYTES
    rooms_bytes: int = DEFAULT_SUMMARY_ROOMS_BYTES
    max_pools: int = DEFAULT_SUMMARY_POOLS
    lifetime_ms: int = DEFAULT_SUMMARY_LIFETIME_MS
    near_weight: float = DEFAULT_NEAR_WEIGHT
    room_half_life_ms: int = DEFAULT_ROOM_HALF_LIFE_MS
    table_lifetime_ms: int = DEFAULT_TABLE_LIFETIME_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetDemand:
    """Requests for one pool at all VMs, by tier."""

    queued_by_tier: tuple[int, ...]
    in_flight_by_tier: tuple[int, ...]


class SummaryDecider:
    """Publishes this VM's summary, merges the others', and divides quotas.

    Each class's quota has a keeper that hands out parts for a short time. The parts in use add
    up to the quota at most, and to twice the quota at most while VMs differ over who runs. The
    sides of a lasting partition share the quota by their VMs, with one at least for each.
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
        """Start with an empty summary; the members are a live view."""
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
        self._keepers = Keepers(vm_id=vm_id, members=members)
        self._keeper = QuotaKeeper(vm_id=vm_id, keepers=self._keepers, limits=quota_limits)
        self._shares = QuotaShares(
            vm_id=vm_id, incarnation=incarnation, keepers=self._keepers, limits=quota_limits
        )
        self._handed_out: dict[VmId, int] = {}
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
        """Set how many more requests this VM can take."""
        self._room = max(0, room)

    def set_demand(self, pools: Iterable[PoolDemand]) -> None:
        """Set this VM's demand; classes without a quota may be left out."""
        pools = tuple(pools)
        limits = self._limits
        self._shares.set_uses(_uses(pools))
        self._pools = bound_pools(
            pools, max_pools=limits.max_pools, max_bytes=limits.max_bytes - limits.rooms_bytes
        )

    def next_due_ms(self, now_ms: int) -> int:
        """Return when to tick next."""
        return min(max(now_ms, self._next_ms), now_ms + self._quota_limits.hurry_ms)

    def tick(self, now_ms: int) -> tuple[SendDatagram, ...]:
        """Publish and claim what is due."""
        self._keepers.refresh(now_ms)
        sends = list(self._claim(now_ms))
        if now_ms >= self._next_ms:
            self._next_ms = now_ms + self._limits.interval_ms
            self._forget(now_ms)
            self._publish(now_ms)
            sends.extend(self._spread(now_ms))
        return tuple(sends)

    def handle(
        self, message: Message, now_ms: int, *, sender: VmId = _NO_SENDER, address: str = ""
    ) -> tuple[SendDatagram, ...]:
        """Merge other VMs' summaries, answer claims, take grants in."""
        if isinstance(message, SummaryGossip):
            self._merge(message, now_ms)
        elif isinstance(message, QuotaClaims) and message.node_id == sender:
            grants = self._keeper.answer(message, now_ms)
            return (SendDatagram(vm_id=sender, address=address, message=grants),)
        elif isinstance(message, QuotaGrants):
            self._shares.take(message, now_ms)
        return ()

    def demand_age_ms(self, vm_id: VmId, now_ms: int) -> int | None:
        """Return the age of a VM's demand as known here."""
        entry = self._demands.get(vm_id)
        return None if entry is None else now_ms - entry.true_at_ms

    def rooms(self, now_ms: int) -> tuple[RoomSummary, ...]:
        """Return every known VM's room."""
        return tuple(entry.current(now_ms) for entry in self._rooms.values())

    def fleet_demand(self, pool_id: PoolId, now_ms: int) -> FleetDemand:
        """Return the demand for a pool at all VMs that told of it lately."""
        pools = [
            pool
            for entry in self._demands.values()
            if now_ms - entry.true_at_ms < self._limits.lifetime_ms
            for pool in entry.summary.pools
            if pool.pool_id == pool_id
        ]
        return FleetDemand(
            queued_by_tier=_add(pool.queued_by_tier for pool in pools),
            in_flight_by_tier=_add(pool.in_flight_by_tier for pool in pools),
        )

    def quota_share(self, class_key: ClassKey, quota: int, now_ms: int) -> int:
        """Return how many requests of a class this VM may have in flight."""
        return self._shares.share(class_key, quota, now_ms)

    def quota_keeper(self, class_key: ClassKey) -> VmId | None:
        """Return the VM that keeps a class's quota now."""
        return self._keepers.keeper(class_key)

    def addresses(
        self, now_ms: int, near_domain: FailureDomainId, count: int
    ) -> tuple[AddressChoice, ...]:
        """Return entry VMs for a caller, by room, near ones first, leaving ones never."""
        chosen = self._table(now_ms, near_domain).draw(count, near_domain, self._rng)
        if not all(self._takes_work(choice.vm_id) for choice in chosen):
            self._tables.clear()
            chosen = self._table(now_ms, near_domain).draw(count, near_domain, self._rng)
        for choice in chosen[:1]:
            self._handed_out[choice.vm_id] = self._handed_out.get(choice.vm_id, 0) + 1
        return chosen

    def _takes_work(self, vm_id: VmId) -> bool:
        """Return whether a VM is believed to take new work now."""
        member = self._members.get(vm_id)
        return member is not None and member.takes_work

    def _table(self, now_ms: int, near: FailureDomainId) -> AddressTable:
        """Return the candidates near a failure domain, worked out anew after a short time."""
        if now_ms >= self._tables_until_ms:
            self._tables_until_ms = now_ms + self._limits.table_lifetime_ms
            self._tables.clear()
        table = self._tables.get(near)
        if table is None:
            table = self._tables[near] = AddressTable(self._weighed(now_ms, near))
        return table

    def _merge(self, message: SummaryGossip, now_ms: int) -> None:
        """Take newer summaries of other VMs in."""
        for room in message.rooms:
            if room.vm_id != self._vm_id and self._rooms.merge(room, now_ms):
                self._handed_out.pop(room.vm_id, None)
        for demand in message.demands:
            if demand.vm_id != self._vm_id:
                self._demands.merge(demand, now_ms)

    def _claim(self, now_ms: int) -> Iterator[SendDatagram]:
        """Yield claims to other VMs; this VM's own are answered here."""
        for claims in self._shares.due(now_ms):
            keeper = self._members.get(claims.keeper_id)
            if claims.keeper_id == self._vm_id:
                self._shares.take(self._keeper.answer(claims.message, now_ms), now_ms)
            elif keeper is not None:
                yield SendDatagram(
                    vm_id=keeper.vm_id, address=keeper.peer_address, message=claims.message
                )

    def _spread(self, now_ms: int) -> Iterator[SendDatagram]:
        """Yield summaries for a few random members."""
        targets = sample(
            self._rng, self._members, self._limits.fanout, excluded=frozenset((self._vm_id,))
        )
        for member in targets:
            gossip = self._gossip(now_ms)
            yield SendDatagram(vm_id=member.vm_id, address=member.peer_address, message=gossip)

    def _publish(self, now_ms: int) -> None:
        """Take this VM's own summary in."""
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
        self._handed_out.pop(self._vm_id, None)

    def _gossip(self, now_ms: int) -> SummaryGossip:
        """Return one datagram's summaries: the own, then a random part of the others."""
        limits = self._limits
        rooms = take_rooms(self._mixed(self._rooms, now_ms), limits.rooms_bytes)
        demands = take_demands(
            self._mixed(self._demands, now_ms), limits.max_bytes - limits.rooms_bytes
        )
        return SummaryGossip(rooms=tuple(rooms), demands=tuple(demands))

    def _mixed(self, summaries: LatestSummaries[SummaryT], now_ms: int) -> Iterator[SummaryT]:
        """Yield the own summary, then some others, drawn so as to favour the young."""

        def place(entry: Aged[SummaryT]) -> float:
            if entry.summary.vm_id == self._vm_id:
                return -1.0
            return (now_ms - entry.true_at_ms) * self._rng.random()

        drawn = nsmallest(_MAX_DRAWN, summaries.values(), key=place)
        return (entry.current(now_ms) for entry in drawn)

    def _forget(self, now_ms: int) -> None:
        """Forget summaries that are too old or of VMs that are gone."""
        for vm_id in self._rooms.names():
            if self._is_forgotten(vm_id, self._rooms.get(vm_id), now_ms):
                self._rooms.remove(vm_id)
        for vm_id in self._demands.names():
            if self._is_forgotten(vm_id, self._demands.get(vm_id), now_ms):
                self._demands.remove(vm_id)

    def _is_forgotten(self, vm_id: VmId, entry: Aged[SummaryT] | None, now_ms: int) -> bool:
        """Return whether a summary isn't worth keeping."""
        if vm_id == self._vm_id or entry is None:
            return False
        member = self._members.get(vm_id)
        is_member_gone = member is not None and member.is_gone
        return is_member_gone or now_ms - entry.true_at_ms >= self._limits.lifetime_ms

    def _weighed(self, now_ms: int, near: FailureDomainId) -> Iterator[WeighedAddress]:
        """Yield every VM that takes work with its weight."""
        known = [entry.summary.room for entry in self._rooms.values()]
        typical = median(known) if known else 1.0
        for member in self._members.values():
            entry = self._rooms.get(member.vm_id)
            if not member.takes_work or (entry is not None and entry.summary.leaving):
                continue
            room, age_ms = float(typical), 0
            if entry is not None:
                room, age_ms = float(entry.summary.room), now_ms - entry.true_at_ms
            room = max(0.0, room - self._handed_out.get(member.vm_id, 0))
            trust = 0.5 ** (max(0, age_ms) / self._limits.room_half_life_ms)
            weight = trust * room + (1 - trust) * min(room, float(typical))
            is_near = member.failure_domain_id == near
            yield WeighedAddress(
                choice=AddressChoice(
                    vm_id=member.vm_id,
                    address=member.address,
                    failure_domain_id=member.failure_domain_id,
                ),
                weight=weight * (self._limits.near_weight if is_near else 1.0),
            )


def _uses(pools: Iterable[PoolDemand]) -> dict[ClassKey, ClassUse]:
    """Return the requests by class, over all pools."""
    uses: dict[ClassKey, ClassUse] = {}
    for pool in pools:
        for demand in pool.classes:
            key = ClassKey(demand.workspace_id, demand.class_id)
            known = uses.get(key, ClassUse())
            uses[key] = ClassUse(
                queued=known.queued + demand.queued,
                in_flight=known.in_flight + demand.in_flight,
            )
    return uses


def _add(rows: Iterable[tuple[int, ...]]) -> tuple[int, ...]:
    """Return the sums by place; rows may differ in length."""
    sums: list[int] = []
    for row in rows:
        sums.extend([0] * (len(row) - len(sums)))
        for index, value in enumerate(row):
            sums[index] += value
    return tuple(sums)
