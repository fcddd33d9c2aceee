"""One endpoint in its steward's charge: cold start, recalls and the split of its credits."""

from __future__ import annotations

from collections.abc import Iterable
import zlib

from wagtailusher_core import VmId
from wagtailusher_placement.apportion import apportion, lacks_credits
from wagtailusher_placement.coldstart import ColdStart, Leftover
from wagtailusher_placement.const import GUARANTEED_SLOTS, SPLIT_INTERVAL_MS, SWEEP_INTERVAL_MS
from wagtailusher_placement.endpoints import EndpointInfo
from wagtailusher_placement.leases import LeaseLimits, LeaseRequest
from wagtailusher_placement.ledger import LeaseLedger
from wagtailusher_placement.reports import LoadReport


class Charge:
    """What a steward keeps for one endpoint; a new one is unsettled, and cold if it can be."""

    __slots__ = (
        "_cold_granted",
        "_cold_holder_id",
        "_forced_cold",
        "_leftover",
        "_limits",
        "_steward_id",
        "_targets",
        "_targets_at_ms",
        "cold_start",
        "epoch",
        "info",
        "ledger",
        "recalls",
        "settled_at_ms",
    )

    def __init__(
        self,
        info: EndpointInfo,
        *,
        steward_id: VmId,
        epoch: int,
        limits: LeaseLimits,
        now_ms: int,
    ) -> None:
        """Start unsettled; only a report during the settling time proves the endpoint warm."""
        self.info = info
        self.epoch = epoch
        self.ledger = LeaseLedger(lifetime_ms=limits.lifetime_ms)
        self.cold_start = ColdStart(
            cold_limit=info.cold_limit,
            concurrency_limit=info.concurrency_limit,
            cold=info.has_cold_start,
            now_ms=now_ms,
        )
        self.recalls: set[VmId] = set()
        self._steward_id = steward_id
        self._limits = limits
        self._forced_cold = False
        self._targets: dict[VmId, int] = {}
        self._targets_at_ms = 0
        self._cold_holder_id = steward_id
        self._cold_granted = False
        self.settle(now_ms)

    def settle(self, now_ms: int) -> None:
        """Grant nothing until no other steward's lease can be valid."""
        self.settled_at_ms = now_ms + self._limits.settling_ms
        self._leftover = self._unknown_leftover(self.settled_at_ms)

    def update(self, info: EndpointInfo, node_ids: Iterable[VmId], least: int, now_ms: int) -> None:
        """Take over the published endpoint and the nodes, of which some list had the `least`."""
        self.info = info
        self.cold_start.update_limits(
            cold_limit=info.cold_limit, concurrency_limit=info.concurrency_limit
        )
        share = info.concurrency_limit // max(1, least)
        self.ledger.update_nodes(node_ids, share, now_ms)

    def turn_cold(self, now_ms: int) -> None:
        """Put the endpoint back to its cold limit."""
        self._forced_cold = True
        if self.cold_start.turn_cold(now_ms):
            self._recall(now_ms)

    def observe_report(self, report: LoadReport, now_ms: int) -> None:
        """Take in the endpoint's load."""
        self._leftover.observe_report(report)
        if self.cold_start.observe_report(report, now_ms):
            self._forced_cold = True
            self._recall(now_ms)
        if now_ms < self.settled_at_ms and not report.cold and not self._forced_cold:
            self.cold_start.assume_warm()

    def observe_holder(self, request: LeaseRequest, now_ms: int) -> None:
        """Take in what a holder saw of the endpoint."""
        is_cold_holder = request.node_id == self._cold_holder_id
        if request.suspects_cold and (is_cold_holder or not self.cold_start.cold):
            self.turn_cold(now_ms)
        if is_cold_holder and request.good_first_tokens and now_ms >= self.settled_at_ms:
            self.cold_start.good_first_tokens(request.good_first_tokens, now_ms)

    def cold_credits(self, node_id: VmId, now_ms: int) -> int:
        """Return the whole cold allowance for the one node that may use it, nothing for others."""
        if node_id != self._cold_holder_id and not self._move_cold_holder(node_id, now_ms):
            return 0
        leftover = self._leftover.bound(now_ms)
        if leftover is None or self._gives_way(node_id, now_ms):
            return 0
        credits = max(0, self.cold_start.allowance - leftover)
        self._cold_granted = self._cold_granted or credits > 0
        return credits

    def _gives_way(self, node_id: VmId, now_ms: int) -> bool:
        """Return whether the cold holder has no use for the endpoint but another node has."""
        demands = self.ledger.demands(now_ms)
        if sum(demands.get(node_id, ())) or self.ledger.in_flight(node_id):
            return False
        return any(sum(demand) for other, demand in demands.items() if other != node_id)

    def _move_cold_holder(self, node_id: VmId, now_ms: int) -> bool:
        """Let another node use the cold allowance once the present one surely doesn't.

        A holder that fell silent may have left work behind, which only a report can tell.
        """
        if not sum(self.ledger.demands(now_ms).get(node_id, ())):
            return False
        holder_id = self._cold_holder_id
        if self._cold_granted and not self.ledger.has_given_back(holder_id):
            if self.ledger.is_heard(holder_id, now_ms):
                return False
            self._leftover = self._unknown_leftover(now_ms)
        self._cold_holder_id = node_id
        self._cold_granted = False
        return True

    def warm_credits(self, node_id: VmId, now_ms: int) -> int:
        """Return a node's part of the concurrency limit."""
        limit = self.info.concurrency_limit
        room = self.ledger.room_for(node_id, limit, now_ms)
        if self._is_split_due(node_id, now_ms):
            self._targets_at_ms = now_ms
            self._targets = apportion(
                limit,
                self.ledger.demands(now_ms),
                guaranteed_turn=self._guaranteed_turn(now_ms),
                held=self._targets,
            )
        return min(room, self._targets.get(node_id, 0))

    def _is_split_due(self, node_id: VmId, now_ms: int) -> bool:
        """Return whether to split the credits anew: seldom, as each one that moves idles."""
        age_ms = now_ms - self._targets_at_ms
        if node_id not in self._targets or age_ms >= SPLIT_INTERVAL_MS:
            return True
        if age_ms < SWEEP_INTERVAL_MS:
            return False
        return lacks_credits(node_id, self._targets, self.ledger.demands(now_ms))

    def _recall(self, now_ms: int) -> None:
        """Call back the other nodes' leases, and wait for their work to end."""
        self.recalls.update(self.ledger.charged() - {self._steward_id})
        self._cold_holder_id = self._steward_id
        self._cold_granted = False
        self._leftover = self._unknown_leftover(
            max(self.settled_at_ms, now_ms + self._limits.lifetime_ms)
        )

    def _unknown_leftover(self, from_ms: int) -> Leftover:
        """Return an unknown leftover of leases that are valid until a time."""
        return Leftover(from_ms=from_ms, wait_ms=self._limits.leftover_wait_ms)

    def _guaranteed_turn(self, now_ms: int) -> int | None:
        """Return the turn of the guaranteed credit; most lease periods have none."""
        period = now_ms // self._limits.lifetime_ms + zlib.crc32(self.info.endpoint_id.encode())
        return None if period % GUARANTEED_SLOTS else period // GUARANTEED_SLOTS
