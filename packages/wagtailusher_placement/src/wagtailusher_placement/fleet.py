"""The endpoints and pools that a node tracks, updated from the published list."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from statistics import fmean, median
import zlib

from wagtailusher_core import EndpointId, FailureDomainId, PoolId, VmId
from wagtailusher_placement.const import (
    KV_PRESSURE_FROM_SHARE,
    KV_PRESSURE_STEPS,
    NEVER_MS,
    REMOTE_DOMAIN_STEPS,
)
from wagtailusher_placement.endpoints import EndpointInfo, EndpointState, EndpointView
from wagtailusher_placement.lease_holder import LeaseHolder
from wagtailusher_placement.prefix import PrefixIndex
from wagtailusher_placement.reports import LoadReport
from wagtailusher_placement.stragglers import compare_with_peers
from wagtailusher_placement.tracked_endpoint import Pool, TrackedEndpoint


class EndpointFleet:
    """Tracks endpoints by id and by pool."""

    def __init__(
        self, *, vm_id: VmId, failure_domain_id: FailureDomainId, holder: LeaseHolder
    ) -> None:
        self._vm_id = vm_id
        self._failure_domain_id = failure_domain_id
        self._lease_holder = holder
        self._drained_domains: frozenset[FailureDomainId] = frozenset()
        self._has_list = False
        self.prefixes = PrefixIndex()
        self.tracked: dict[EndpointId, TrackedEndpoint] = {}
        self.pools: dict[PoolId, Pool] = {}

    def update_endpoints(
        self, endpoints: Iterable[EndpointInfo], now_ms: int
    ) -> tuple[EndpointId, ...]:
        """Apply the published list; removed endpoints are kept while requests are in flight.

        Returns the endpoints that are other processes than those that were listed before.
        """
        infos = {info.endpoint_id: info for info in endpoints}
        for endpoint_id, endpoint in list(self.tracked.items()):
            if endpoint_id in infos:
                continue
            endpoint.published = False
            endpoint.update_service()
            if endpoint.in_flight == 0:
                del self.tracked[endpoint_id]
                self.prefixes.clear(endpoint_id)
        replaced = tuple(key for key, info in infos.items() if self._track(info, now_ms))
        self._has_list = self._has_list or bool(infos)
        self.pools = {}
        for endpoint in sorted(self.tracked.values(), key=self._order_key):
            for pool_id in endpoint.info.pool_ids if endpoint.published else ():
                self.pools.setdefault(pool_id, Pool(pool_id, self.prefixes)).add(endpoint)
        return replaced

    def update_drained_domains(self, domains: Iterable[FailureDomainId], now_ms: int) -> None:
        """Replace the set of drained domains; endpoints that return to service are cold."""
        self._drained_domains = frozenset(domains)
        for endpoint in self.tracked.values():
            was_drained = endpoint.drained
            endpoint.drained = endpoint.info.failure_domain_id in self._drained_domains
            endpoint.update_service()
            if was_drained and not endpoint.drained:
                self._return_to_service(endpoint, now_ms)

    def update_stewards(self) -> None:
        """Recompute each endpoint's steward from the newest list of VMs."""
        for endpoint in self.tracked.values():
            endpoint.steward_id = self._lease_holder.find_steward(endpoint)

    def observe_report(self, report: LoadReport, now_ms: int) -> bool:
        """Apply a load report unless a newer one was; return whether the endpoint restarted."""
        endpoint = self.tracked.get(report.endpoint_id)
        if endpoint is None:
            return False
        if endpoint.report_at_ms is not None and report.reported_at_ms < endpoint.report_at_ms:
            return False
        endpoint.report_at_ms = report.reported_at_ms
        endpoint.reported_count = report.running + report.waiting
        others = max(0, endpoint.reported_count - endpoint.in_flight)
        endpoint.others_tokens = others * endpoint.mean_request_tokens / 2
        pressure = max(0.0, report.kv_used_share - KV_PRESSURE_FROM_SHARE)
        endpoint.kv_steps = KV_PRESSURE_STEPS * pressure / (1 - KV_PRESSURE_FROM_SHARE)
        return self._update_warmth(endpoint, report, now_ms)

    def refresh(self, now_ms: int) -> None:
        """Refresh the state that depends on time and on the comparison with peers."""
        self._lease_holder.refresh(self.tracked.values(), now_ms)
        for pool in self.pools.values():
            pool.full_until_change = False
            compare_with_peers(
                {
                    key: endpoint.health
                    for key, endpoint in pool.members.items()
                    if not endpoint.cold
                },
                now_ms,
            )
            reported = [
                endpoint.others_tokens
                for endpoint in pool.endpoints
                if endpoint.report_at_ms is not None
            ]
            pool.mean_others_tokens = fmean(reported) if reported else 0.0
            paces = [
                endpoint.health.first_token.mean_if_sampled()
                for endpoint in pool.endpoints
                if not endpoint.cold
            ]
            sampled = [pace for pace in paces if pace is not None]
            if sampled:
                pool.typical_pace = median(sampled)

    def mark_changed(self, endpoint: TrackedEndpoint) -> None:
        """Clear the mark that the endpoint's pools are full."""
        for pool_id in endpoint.info.pool_ids:
            pool = self.pools.get(pool_id)
            if pool is not None:
                pool.full_until_change = False

    def random_peer_steward(self, pool_id: PoolId, generator: Random) -> VmId | None:
        """Return the steward of one of the pool's endpoints, other than this node."""
        pool = self.pools.get(pool_id)
        if pool is None:
            return None
        stewards = [
            endpoint.steward_id
            for endpoint in pool.endpoints
            if endpoint.in_service and endpoint.steward_id not in (None, self._vm_id)
        ]
        return stewards[int(generator.random() * len(stewards))] if stewards else None

    def endpoint_views(self, now_ms: int) -> tuple[EndpointView, ...]:
        """Return the view of every tracked endpoint."""
        return tuple(_endpoint_view(endpoint, now_ms) for endpoint in self.tracked.values())

    def _order_key(self, endpoint: TrackedEndpoint) -> int:
        """Return an endpoint's sort key; the order differs between nodes."""
        return zlib.crc32(f"{self._vm_id}\0{endpoint.info.endpoint_id}".encode())

    def _track(self, info: EndpointInfo, now_ms: int) -> bool:
        """Add or update one published endpoint; return whether it is another process now."""
        endpoint = self.tracked.get(info.endpoint_id)
        if endpoint is None:
            endpoint = self.tracked[info.endpoint_id] = TrackedEndpoint(info)
            self._lease_holder.add_endpoint(endpoint, assume_cold=self._has_list, now_ms=now_ms)
            is_returning, is_other = False, True
        else:
            is_other = endpoint.info.address != info.address
            was_out = not endpoint.published or endpoint.info.state is EndpointState.LEAVING
            is_returning = was_out and info.state is EndpointState.LIVE
        endpoint.info = info
        endpoint.published = True
        endpoint.drained = info.failure_domain_id in self._drained_domains
        endpoint.update_service()
        endpoint.remote_steps = 0.0
        if info.failure_domain_id != self._failure_domain_id:
            endpoint.remote_steps = REMOTE_DOMAIN_STEPS
        endpoint.steward_id = self._lease_holder.find_steward(endpoint)
        if is_returning:
            self._return_to_service(endpoint, now_ms)
        return is_returning or is_other

    def _return_to_service(self, endpoint: TrackedEndpoint, now_ms: int) -> None:
        """Treat an endpoint that returns to service as just started, with a cold cache."""
        self.prefixes.clear(endpoint.info.endpoint_id)
        self._lease_holder.mark_cold(endpoint, now_ms)

    def _update_warmth(self, endpoint: TrackedEndpoint, report: LoadReport, now_ms: int) -> bool:
        """Apply a report's signs of a restart and of being cold; return whether it restarted."""
        restarted = endpoint.incarnation is not None and endpoint.incarnation != report.incarnation
        endpoint.incarnation = report.incarnation
        if endpoint.local_cold_start is not None:
            endpoint.local_cold_start.observe_report(report, now_ms)
        if restarted:
            self.prefixes.clear(endpoint.info.endpoint_id)
        if restarted or (report.cold and not endpoint.cold):
            self._lease_holder.mark_cold(endpoint, now_ms)
        elif not report.cold and endpoint.cold is None:
            endpoint.cold = False
        return restarted


def _endpoint_view(endpoint: TrackedEndpoint, now_ms: int) -> EndpointView:
    return EndpointView(
        endpoint_id=endpoint.info.endpoint_id,
        failure_domain_id=endpoint.info.failure_domain_id,
        state=endpoint.info.state,
        in_flight=endpoint.in_flight,
        own_tokens=endpoint.own_tokens,
        allowed=endpoint.allowed(now_ms),
        cold=bool(endpoint.cold),
        drained=endpoint.drained,
        ejected=now_ms < endpoint.health.ejected_until_ms,
        slowness=endpoint.health.slowness,
        report_age_ms=None if endpoint.report_at_ms is None else now_ms - endpoint.report_at_ms,
        opens_in_ms=_opens_in_ms(endpoint, now_ms),
    )


def _opens_in_ms(endpoint: TrackedEndpoint, now_ms: int) -> int | None:
    """Return the time until an endpoint takes another request by what it stated."""
    if endpoint.stated_until_ms >= NEVER_MS:
        return None
    return max(0, endpoint.stated_until_ms - now_ms)
