"""A steward's state for one endpoint: cold start, recalls and division of its credits."""

from __future__ import annotations

from collections.abc import Iterable
import zlib

from wagtailusher_core import VmId
from wagtailusher_placement.apportion import apportion, lacks_credits
from wagtailusher_placement.cold_start import ColdStart, ResidualWork
from wagtailusher_placement.const import GUARANTEED_SLOTS, SPLIT_INTERVAL_MS, SWEEP_INTERVAL_MS
from wagtailusher_placement.endpoints import EndpointInfo
from wagtailusher_placement.lease_ledger import LeaseLedger
from wagtailusher_placement.leases import LeaseLimits, LeaseRequest
from wagtailusher_placement.reports import LoadReport


class EndpointStewardship:
    """A steward's state for one endpoint.

    It starts unsettled, and cold if the endpoint has a cold start.
    """

    __slots__ = (
        "_cold_granted",
        "_cold_holder_id",
        "_forced_cold",
        "_residual_work",
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
        """Start unsettled; only a load report during the settling time shows a warm endpoint."""
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
        self.restart_settling(now_ms)

    def restart_settling(self, now_ms: int) -> None:
        """Restart the settling time: no grants until no other steward's lease can be valid."""
        self.settled_at_ms = now_ms + self._limits.settling_ms
        self._residual_work = self._unknown_residual_work(self.settled_at_ms)

    def update(
        self, info: EndpointInfo, node_ids: Iterable[VmId], min_node_count: int, now_ms: int
    ) -> None:
        """Apply the published endpoint and node ids.

        `min_node_count` is the least number of nodes in a list that may still be in use; it
        sets the local share.
        """
        self.info = info
        self.cold_start.update_limits(
            cold_limit=info.cold_limit, concurrency_limit=info.concurrency_limit
        )
        share = info.concurrency_limit // max(1, min_node_count)
        self.ledger.update_nodes(node_ids, share, now_ms)

    def mark_cold(self, now_ms: int) -> None:
        """Mark the endpoint cold, which sets its cold limit and recalls leases if it was warm."""
        self._forced_cold = True
        if self.cold_start.mark_cold(now_ms):
            self._recall_leases(now_ms)

    def observe_report(self, report: LoadReport, now_ms: int) -> None:
        """Apply the endpoint's load report."""
        self._residual_work.observe_report(report)
        if self.cold_start.observe_report(report, now_ms):
            self._forced_cold = True
            self._recall_leases(now_ms)
        if now_ms < self.settled_at_ms and not report.cold and not self._forced_cold:
            self.cold_start.assume_warm()

    def observe_request(self, request: LeaseRequest, now_ms: int) -> None:
        """Apply a holder's observations of whether the endpoint is cold."""
        is_cold_holder = request.node_id == self._cold_holder_id
        if request.suspects_cold and (is_cold_holder or not self.cold_start.cold):
            self.mark_cold(now_ms)
        if is_cold_holder and request.good_first_tokens and now_ms >= self.settled_at_ms:
            self.cold_start.record_timely_first_tokens(request.good_first_tokens, now_ms)

    def cold_credits(self, node_id: VmId, now_ms: int) -> int:
        """Return the cold allowance for the one node that may use it, 0 for the others."""
        if node_id != self._cold_holder_id and not self._move_cold_holder(node_id, now_ms):
            return 0
        residual = self._residual_work.upper_bound(now_ms)
        if residual is None or self._should_yield(node_id, now_ms):
            return 0
        credits = max(0, self.cold_start.allowance - residual)
        self._cold_granted = self._cold_granted or credits > 0
        return credits

    def _should_yield(self, node_id: VmId, now_ms: int) -> bool:
        """Return whether the cold holder has no demand or work in flight and another has demand."""
        demands = self.ledger.demands(now_ms)
        if sum(demands.get(node_id, ())) or self.ledger.in_flight(node_id):
            return False
        return any(sum(demand) for other_id, demand in demands.items() if other_id != node_id)

    def _move_cold_holder(self, node_id: VmId, now_ms: int) -> bool:
        """Move the cold allowance to another node once the current holder can't use it.

        A holder that stopped sending requests may have left work at the endpoint, which only a
        load report can show.
        """
        if not sum(self.ledger.demands(now_ms).get(node_id, ())):
            return False
        holder_id = self._cold_holder_id
        if self._cold_granted and not self.ledger.has_released(holder_id):
            if self.ledger.has_recent_request(holder_id, now_ms):
                return False
            self._residual_work = self._unknown_residual_work(now_ms)
        self._cold_holder_id = node_id
        self._cold_granted = False
        return True

    def warm_credits(self, node_id: VmId, now_ms: int) -> int:
        """Return a node's credits out of the concurrency limit."""
        limit = self.info.concurrency_limit
        available = self.ledger.available_for(node_id, limit, now_ms)
        if self._is_split_due(node_id, now_ms):
            self._targets_at_ms = now_ms
            self._targets = apportion(
                limit,
                self.ledger.demands(now_ms),
                guaranteed_turn=self._guaranteed_turn(now_ms),
                held=self._targets,
            )
        return min(available, self._targets.get(node_id, 0))

    def _is_split_due(self, node_id: VmId, now_ms: int) -> bool:
        """Return whether to divide the credits again; seldom, as a credit that moves is idle."""
        age_ms = now_ms - self._targets_at_ms
        if node_id not in self._targets or age_ms >= SPLIT_INTERVAL_MS:
            return True
        if age_ms < SWEEP_INTERVAL_MS:
            return False
        return lacks_credits(node_id, self._targets, self.ledger.demands(now_ms))

    def _recall_leases(self, now_ms: int) -> None:
        """Recall the other nodes' leases and start waiting for their residual work to end."""
        self.recalls.update(self.ledger.nodes_with_reservation() - {self._steward_id})
        self._cold_holder_id = self._steward_id
        self._cold_granted = False
        self._residual_work = self._unknown_residual_work(
            max(self.settled_at_ms, now_ms + self._limits.lifetime_ms)
        )

    def _unknown_residual_work(self, from_ms: int) -> ResidualWork:
        """Return the residual work, not yet known, of leases that are valid until a time."""
        return ResidualWork(from_ms=from_ms, wait_ms=self._limits.residual_wait_ms)

    def _guaranteed_turn(self, now_ms: int) -> int | None:
        """Return the turn number of the guaranteed credit; most lease periods have none."""
        period = now_ms // self._limits.lifetime_ms + zlib.crc32(self.info.endpoint_id.encode())
        return None if period % GUARANTEED_SLOTS else period // GUARANTEED_SLOTS
