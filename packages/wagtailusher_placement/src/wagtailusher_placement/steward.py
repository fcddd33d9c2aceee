"""The steward of endpoints, which divides their concurrency among the entry VMs."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_core import EndpointId, FailureDomainId, Incarnation, PublishedVm, VmId
from wagtailusher_placement.endpoint_stewardship import EndpointStewardship
from wagtailusher_placement.endpoints import EndpointInfo, EndpointState
from wagtailusher_placement.leases import LeaseGrant, LeaseLimits, LeaseRecall, LeaseRequest
from wagtailusher_placement.pause_detector import PauseDetector
from wagtailusher_placement.published_window import PublishedWindow
from wagtailusher_placement.reports import LoadReport
from wagtailusher_placement.steward_table import StewardTable, steward_epoch


class StewardDecider:
    """Grants leases on the endpoints that this VM stewards.

    It grants nothing until the settling time is over, after which no earlier steward's lease can
    be valid. A decider that was not called for longer than the pause tolerance grants nothing
    until the list is read again, and restarts the settling time if the list changed. Call `tick`
    more often than that.
    """

    def __init__(
        self,
        *,
        vm_id: VmId,
        limits: LeaseLimits | None = None,
        incarnation: Incarnation | None = None,
    ) -> None:
        self._vm_id = vm_id
        self._limits = limits or LeaseLimits()
        self._incarnation = incarnation or Incarnation(0)
        self._window = PublishedWindow(window_ms=self._limits.settling_ms)
        self._stewardships: dict[EndpointId, EndpointStewardship] = {}
        self._known_endpoints: dict[EndpointId, EndpointInfo] | None = None
        self._drained_domains: frozenset[FailureDomainId] = frozenset()
        self._list_version = 0
        self._list_read_at_ms = 0
        self._pause_detector = PauseDetector(self._limits.pause_tolerance_ms)

    def update_published(
        self,
        vms: Iterable[PublishedVm],
        endpoints: Iterable[EndpointInfo],
        now_ms: int,
        version: int = 0,
        read_started_ms: int | None = None,
    ) -> None:
        """Apply the published lists; call it after every read, also without a change.

        Endpoints of the first non-empty list don't count as new. `read_started_ms` is when the read
        began, `now_ms` by default.
        """
        self._check_pause(now_ms)
        if self._pause_detector.confirm_list(
            version, now_ms if read_started_ms is None else read_started_ms
        ):
            for stewardship in self._stewardships.values():
                stewardship.restart_settling(now_ms)
        published = tuple(vms)
        infos = {info.endpoint_id: info for info in endpoints}
        self._list_version = version
        self._list_read_at_ms = now_ms
        self._window.update(published, now_ms)
        table = StewardTable(published)
        stewarded = [info for info in infos.values() if table.find_steward(info) == self._vm_id]
        self._stewardships = {
            info.endpoint_id: self._prepare_stewardship(info, now_ms) for info in stewarded
        }
        if infos or self._known_endpoints is not None:
            self._known_endpoints = infos

    @property
    def list_version(self) -> int:
        """Return the version of the list that this VM uses."""
        return self._list_version

    def update_drained_domains(self, domains: Iterable[FailureDomainId], now_ms: int) -> None:
        """Replace the set of drained domains; endpoints of domains no longer drained are cold."""
        self._check_pause(now_ms)
        drained = frozenset(domains)
        returned = self._drained_domains - drained
        self._drained_domains = drained
        for stewardship in self._stewardships.values():
            if stewardship.info.failure_domain_id in returned:
                stewardship.mark_cold(now_ms)

    def observe_report(self, report: LoadReport, now_ms: int) -> None:
        """Apply an endpoint's load report."""
        self._check_pause(now_ms)
        stewardship = self._stewardships.get(report.endpoint_id)
        if stewardship is not None:
            stewardship.observe_report(report, now_ms)

    def observe_refused_connection(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Mark an endpoint cold that refused a connection, so its process does not run."""
        self._check_pause(now_ms)
        stewardship = self._stewardships.get(endpoint_id)
        if stewardship is not None:
            stewardship.mark_cold(now_ms)

    def grant_lease(self, request: LeaseRequest, now_ms: int) -> LeaseGrant | None:
        """Return the grant for a holder's request, or None.

        There is no grant when this VM is not the steward, has not settled, uses an older list than
        the holder, or a later request of the holder arrived first.
        """
        self._check_pause(now_ms)
        stewardship = self._stewardships.get(request.endpoint_id)
        if stewardship is None or not stewardship.ledger.apply_request(request, now_ms):
            return None
        stewardship.observe_request(request, now_ms)
        if not self._is_active(stewardship, now_ms) or request.list_version > self._list_version:
            return None
        credits = self._credits_for(stewardship, request.node_id, now_ms)
        stewardship.ledger.record_grant(request.node_id, request.sequence, credits, now_ms)
        return LeaseGrant(
            steward_id=self._vm_id,
            endpoint_id=request.endpoint_id,
            credits=credits,
            lifetime_ms=self._limits.lifetime_ms,
            cold=stewardship.cold_start.cold,
            sequence=request.sequence,
            steward_epoch=stewardship.epoch,
        )

    def tick(self, now_ms: int) -> tuple[LeaseRecall, ...]:
        """Advance time; return the recalls to send to their nodes at once."""
        self._check_pause(now_ms)
        if self._window.prune(now_ms):
            for stewardship in self._stewardships.values():
                self._update_stewardship(stewardship, stewardship.info, now_ms)
        recalls: list[LeaseRecall] = []
        for stewardship in self._stewardships.values():
            recalls.extend(
                self._build_recall(stewardship, node_id) for node_id in sorted(stewardship.recalls)
            )
            stewardship.recalls.clear()
        return tuple(recalls)

    def epochs(self, now_ms: int) -> dict[EndpointId, int]:
        """Return the epochs of the endpoints for which this VM may act as steward now."""
        self._check_pause(now_ms)
        return {
            endpoint_id: stewardship.epoch
            for endpoint_id, stewardship in self._stewardships.items()
            if self._is_active(stewardship, now_ms)
        }

    def _check_pause(self, now_ms: int) -> None:
        """Check for a pause of this process, after which the list has to be read again."""
        self._pause_detector.check_pause(now_ms, self._list_version)

    def _is_active(self, stewardship: EndpointStewardship, now_ms: int) -> bool:
        """Return whether the list is confirmed and no other VM's lease can be valid."""
        return not self._pause_detector.needs_reread and now_ms >= stewardship.settled_at_ms

    def _prepare_stewardship(self, info: EndpointInfo, now_ms: int) -> EndpointStewardship:
        """Return the updated state of a stewarded endpoint; create it for a new one."""
        stewardship = self._stewardships.get(info.endpoint_id)
        epoch = steward_epoch(list_version=self._list_version, incarnation=self._incarnation)
        if stewardship is None:
            stewardship = EndpointStewardship(
                info, steward_id=self._vm_id, epoch=epoch, limits=self._limits, now_ms=now_ms
            )
        if now_ms < stewardship.settled_at_ms:
            stewardship.epoch = max(stewardship.epoch, epoch)
        previous = (
            None if self._known_endpoints is None else self._known_endpoints.get(info.endpoint_id)
        )
        is_new = self._known_endpoints is not None and previous is None
        was_leaving = previous is not None and previous.state is EndpointState.LEAVING
        if is_new or (was_leaving and info.state is EndpointState.LIVE):
            stewardship.mark_cold(now_ms)
        self._update_stewardship(stewardship, info, now_ms)
        return stewardship

    def _update_stewardship(
        self, stewardship: EndpointStewardship, info: EndpointInfo, now_ms: int
    ) -> None:
        """Update the nodes and the local share from the lists that may still be in use."""
        stewardship.update(info, self._window.vm_ids, self._window.min_count, now_ms)

    def _build_recall(self, stewardship: EndpointStewardship, node_id: VmId) -> LeaseRecall:
        return LeaseRecall(
            steward_id=self._vm_id,
            node_id=node_id,
            endpoint_id=stewardship.info.endpoint_id,
            steward_epoch=stewardship.epoch,
        )

    def _credits_for(self, stewardship: EndpointStewardship, node_id: VmId, now_ms: int) -> int:
        """Return the credits to grant to a node now."""
        info = stewardship.info
        if info.state is EndpointState.LEAVING or info.failure_domain_id in self._drained_domains:
            return 0
        if not stewardship.cold_start.cold:
            return stewardship.warm_credits(node_id, now_ms)
        return 0 if self._is_list_stale(now_ms) else stewardship.cold_credits(node_id, now_ms)

    def _is_list_stale(self, now_ms: int) -> bool:
        """Return whether the list is too old to rule out another steward."""
        max_age_ms = self._limits.max_list_age_ms
        return max_age_ms is not None and now_ms - self._list_read_at_ms > max_age_ms
