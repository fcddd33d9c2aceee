"""The steward of endpoints, which splits their concurrency among the entry VMs."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_core import EndpointId, FailureDomainId, Incarnation, PublishedVm, VmId
from wagtailusher_placement.charge import Charge
from wagtailusher_placement.endpoints import EndpointInfo, EndpointState
from wagtailusher_placement.leases import LeaseGrant, LeaseLimits, LeaseRecall, LeaseRequest
from wagtailusher_placement.pauses import PauseWatch
from wagtailusher_placement.published_window import PublishedWindow
from wagtailusher_placement.reports import LoadReport
from wagtailusher_placement.stewardship import StewardTable, steward_epoch


class StewardDecider:
    """Grants leases on those endpoints whose steward this VM is.

    It grants nothing until the settling time is over, after which no earlier steward's lease can
    be valid. A VM that was not called for longer than the pause tolerance grants nothing until the
    list is read again, and settles anew if it changed, so call `tick` more often than that.
    """

    def __init__(
        self,
        *,
        vm_id: VmId,
        limits: LeaseLimits | None = None,
        incarnation: Incarnation | None = None,
    ) -> None:
        """Start without endpoints."""
        self._vm_id = vm_id
        self._limits = limits or LeaseLimits()
        self._incarnation = incarnation or Incarnation(0)
        self._window = PublishedWindow(window_ms=self._limits.settling_ms)
        self._charges: dict[EndpointId, Charge] = {}
        self._known: dict[EndpointId, EndpointInfo] | None = None
        self._drained: frozenset[FailureDomainId] = frozenset()
        self._list_version = 0
        self._list_read_at_ms = 0
        self._pauses = PauseWatch(self._limits.pause_tolerance_ms)

    def update_published(
        self,
        vms: Iterable[PublishedVm],
        endpoints: Iterable[EndpointInfo],
        now_ms: int,
        version: int = 0,
        read_started_ms: int | None = None,
    ) -> None:
        """Take over the published lists; call it at every reading, also without a change.

        Endpoints of the first list that has any are not taken for new. `read_started_ms` tells when
        the reading began, now unless it is given.
        """
        self._wake(now_ms)
        if self._pauses.end_doubt(version, now_ms if read_started_ms is None else read_started_ms):
            for charge in self._charges.values():
                charge.settle(now_ms)
        published = tuple(vms)
        infos = {info.endpoint_id: info for info in endpoints}
        self._list_version = version
        self._list_read_at_ms = now_ms
        self._window.update(published, now_ms)
        table = StewardTable(published)
        mine = [info for info in infos.values() if table.find_steward(info) == self._vm_id]
        self._charges = {info.endpoint_id: self._take_charge(info, now_ms) for info in mine}
        if infos or self._known is not None:
            self._known = infos

    @property
    def list_version(self) -> int:
        """Return the version of the list that this VM goes by."""
        return self._list_version

    def update_drained_domains(self, domains: Iterable[FailureDomainId], now_ms: int) -> None:
        """Take over the domains that operators took out; those that come back are cold."""
        self._wake(now_ms)
        drained = frozenset(domains)
        back = self._drained - drained
        self._drained = drained
        for charge in self._charges.values():
            if charge.info.failure_domain_id in back:
                charge.turn_cold(now_ms)

    def observe_report(self, report: LoadReport, now_ms: int) -> None:
        """Take in an endpoint's load."""
        self._wake(now_ms)
        charge = self._charges.get(report.endpoint_id)
        if charge is not None:
            charge.observe_report(report, now_ms)

    def grant_lease(self, request: LeaseRequest, now_ms: int) -> LeaseGrant | None:
        """Answer a holder's request.

        None means no grant: this VM is not the steward, has not settled, goes by an older list
        than the holder, or a later request of the holder overtook this one.
        """
        self._wake(now_ms)
        charge = self._charges.get(request.endpoint_id)
        if charge is None or not charge.ledger.accept(request, now_ms):
            return None
        charge.observe_holder(request, now_ms)
        if not self._is_in_office(charge, now_ms) or request.list_version > self._list_version:
            return None
        credits = self._credits(charge, request.node_id, now_ms)
        charge.ledger.record(request.node_id, request.sequence, credits, now_ms)
        return LeaseGrant(
            steward_id=self._vm_id,
            endpoint_id=request.endpoint_id,
            credits=credits,
            lifetime_ms=self._limits.lifetime_ms,
            cold=charge.cold_start.cold,
            sequence=request.sequence,
            steward_epoch=charge.epoch,
        )

    def tick(self, now_ms: int) -> tuple[LeaseRecall, ...]:
        """Let time pass; the results are to be sent to their nodes at once."""
        self._wake(now_ms)
        if self._window.prune(now_ms):
            for charge in self._charges.values():
                self._update_charge(charge, charge.info, now_ms)
        recalls: list[LeaseRecall] = []
        for charge in self._charges.values():
            recalls.extend(self._recall(charge, node_id) for node_id in sorted(charge.recalls))
            charge.recalls.clear()
        return tuple(recalls)

    def epochs(self, now_ms: int) -> dict[EndpointId, int]:
        """Return the epochs of the endpoints for which this VM may act as steward now."""
        self._wake(now_ms)
        return {
            endpoint_id: charge.epoch
            for endpoint_id, charge in self._charges.items()
            if self._is_in_office(charge, now_ms)
        }

    def _wake(self, now_ms: int) -> None:
        """Note that this process runs; after a pause it grants nothing until the list is read."""
        self._pauses.wake(now_ms, self._list_version)

    def _is_in_office(self, charge: Charge, now_ms: int) -> bool:
        """Return whether no other VM's lease on an endpoint can be valid."""
        return not self._pauses.has_doubt and now_ms >= charge.settled_at_ms

    def _take_charge(self, info: EndpointInfo, now_ms: int) -> Charge:
        """Return the state of an endpoint that this VM is steward of."""
        charge = self._charges.get(info.endpoint_id)
        epoch = steward_epoch(list_version=self._list_version, incarnation=self._incarnation)
        if charge is None:
            charge = Charge(
                info, steward_id=self._vm_id, epoch=epoch, limits=self._limits, now_ms=now_ms
            )
        if now_ms < charge.settled_at_ms:
            charge.epoch = max(charge.epoch, epoch)
        before = None if self._known is None else self._known.get(info.endpoint_id)
        is_new = self._known is not None and before is None
        was_leaving = before is not None and before.state is EndpointState.LEAVING
        if is_new or (was_leaving and info.state is EndpointState.LIVE):
            charge.turn_cold(now_ms)
        self._update_charge(charge, info, now_ms)
        return charge

    def _update_charge(self, charge: Charge, info: EndpointInfo, now_ms: int) -> None:
        """Adjust the nodes and shares to the lists that may still be in use."""
        charge.update(info, self._window.vm_ids, self._window.least_count, now_ms)

    def _recall(self, charge: Charge, node_id: VmId) -> LeaseRecall:
        """Return the message that voids a node's lease."""
        return LeaseRecall(
            steward_id=self._vm_id,
            node_id=node_id,
            endpoint_id=charge.info.endpoint_id,
            steward_epoch=charge.epoch,
        )

    def _credits(self, charge: Charge, node_id: VmId, now_ms: int) -> int:
        """Return the credits that a node gets now."""
        info = charge.info
        if info.state is EndpointState.LEAVING or info.failure_domain_id in self._drained:
            return 0
        if not charge.cold_start.cold:
            return charge.warm_credits(node_id, now_ms)
        return 0 if self._is_list_old(now_ms) else charge.cold_credits(node_id, now_ms)

    def _is_list_old(self, now_ms: int) -> bool:
        """Return whether another VM may have become steward without this one's notice."""
        max_age_ms = self._limits.max_list_age_ms
        return max_age_ms is not None and now_ms - self._list_read_at_ms > max_age_ms
