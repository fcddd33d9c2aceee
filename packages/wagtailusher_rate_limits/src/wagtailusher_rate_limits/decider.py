"""Decides when this VM may send to endpoints that name a limit for all VMs together."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from wagtailusher_core import EndpointId, VmId, rank_by_rendezvous
from wagtailusher_rate_limits.const import (
    FRESH_MS,
    HOLDERS_PER_RATE,
    MAX_REPORTS,
    MIN_LIMIT_PER_S,
    MIN_LIVE_SHARE,
    MORE_HOLDERS,
    MS_PER_S,
    NEVER_MS,
    NO_POSITION,
    REPORT_INTERVAL_MS,
    STALE_MS,
)
from wagtailusher_rate_limits.reports import LimitChange, LimitReport


@dataclass(slots=True, kw_only=True)
class _Endpoint:
    """One incarnation of an endpoint, and the newest answer that is known of it."""

    endpoint_id: EndpointId
    incarnation: int
    limit_per_s: float | None = None
    stated_ms: int | None = None
    """When that answer arrived at the VM that read it."""
    told_by: VmId | None = None
    changed_ms: int = 0
    """When this VM learned of a change of the limit."""
    has_unreadable_limit: bool = False
    ranked_among: tuple[VmId, ...] = ()
    """VMs among which this VM has its position."""
    position: int = NO_POSITION
    sent_ms: int | None = None
    """When this VM last sent a request there."""


class RateLimitDecider:
    """One VM's part in the limits of all endpoints.

    A few VMs, chosen by rendezvous hashing of the endpoint among the live ones, hold equal shares
    of its limit; the others send it nothing. A share is a shortest interval between two requests,
    so that what was not used is not saved up.
    """

    def __init__(
        self,
        vm_id: VmId,
        *,
        live_vm_ids: Callable[[int], tuple[VmId, ...]],
        known_vm_count: Callable[[], int] = lambda: 0,
        is_fleet_settled: Callable[[int], bool] = lambda now_ms: True,
        on_change: Callable[[LimitChange], None] = lambda change: None,
    ) -> None:
        """`live_vm_ids` returns the VMs that take requests, this one included.

        `known_vm_count` returns how many may still send, also those that are silent. Until
        `is_fleet_settled` returns true nothing is sent to endpoints with limits.
        """
        self._vm_id = vm_id
        self._live_vm_ids = live_vm_ids
        self._known_vm_count = known_vm_count
        self._is_fleet_settled = is_fleet_settled
        self._on_change = on_change
        self._endpoints: dict[EndpointId, _Endpoint] = {}
        self._limited: dict[EndpointId, _Endpoint] = {}
        self._unsent: dict[EndpointId, _Endpoint] = {}
        self._reported_ms = 0

    def update_endpoints(self, incarnations: Mapping[EndpointId, int]) -> None:
        """Replace the endpoints; those that are new or have restarted have no limit."""
        for endpoint_id in self._endpoints.keys() - incarnations.keys():
            self._forget(endpoint_id)
        for endpoint_id, incarnation in incarnations.items():
            known = self._endpoints.get(endpoint_id)
            if known is None or known.incarnation != incarnation:
                self._forget(endpoint_id)
                self._endpoints[endpoint_id] = _Endpoint(
                    endpoint_id=endpoint_id, incarnation=incarnation
                )

    def record_answer(
        self,
        endpoint_id: EndpointId,
        incarnation: int,
        limit_per_s: float | None,
        now_ms: int,
        *,
        answer_to: str = "",
    ) -> None:
        """Record the limit that an answer to this VM named, or None if it named none."""
        endpoint = self._find(endpoint_id, incarnation)
        if endpoint is None or (limit_per_s is None and endpoint.stated_ms is None):
            return
        changed = limit_per_s != endpoint.limit_per_s
        self._set_limit(endpoint, limit_per_s, now_ms, told_by=None)
        if changed:
            self._unsent[endpoint_id] = endpoint
            self._report_change(endpoint, now_ms, answer_to)

    def record_unreadable(self, endpoint_id: EndpointId, incarnation: int) -> bool:
        """Record that a limit can't be read; return whether it is the endpoint's first one."""
        endpoint = self._find(endpoint_id, incarnation)
        if endpoint is None or endpoint.has_unreadable_limit:
            return False
        endpoint.has_unreadable_limit = True
        return True

    def merge(self, report: LimitReport, told_by: VmId, now_ms: int) -> None:
        """Apply a peer's report unless an answer is known that arrived later."""
        endpoint = self._find(report.endpoint_id, report.incarnation)
        stated_ms = now_ms - report.age_ms
        if endpoint is None or report.age_ms > STALE_MS:
            return
        if endpoint.stated_ms is not None and endpoint.stated_ms >= stated_ms:
            return
        changed = report.limit_per_s != endpoint.limit_per_s
        self._set_limit(endpoint, report.limit_per_s, stated_ms, told_by=told_by)
        if changed:
            self._report_change(endpoint, now_ms, "")

    def tick(self, now_ms: int) -> None:
        """Forget the limits that no answer has stated for a long time."""
        for endpoint in tuple(self._limited.values()):
            if endpoint.stated_ms is not None and now_ms - endpoint.stated_ms > STALE_MS:
                self._set_limit(endpoint, None, endpoint.stated_ms, told_by=endpoint.told_by)
                self._report_change(endpoint, now_ms, "")

    @property
    def is_empty(self) -> bool:
        """Return whether no endpoint has a limit."""
        return not self._limited

    @property
    def limited_ids(self) -> frozenset[EndpointId]:
        """Return the endpoints that have named a limit."""
        return frozenset(self._limited)

    def has_limit(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint has named a limit."""
        return endpoint_id in self._limited

    def may_send(self, endpoint_id: EndpointId, now_ms: int) -> bool:
        """Return whether this VM may send one request to an endpoint now."""
        return not self._limited or now_ms >= self.next_send_ms(endpoint_id, now_ms)

    def next_send_ms(self, endpoint_id: EndpointId, now_ms: int) -> int:
        """Return when this VM may send the next request to an endpoint."""
        endpoint = self._limited.get(endpoint_id)
        if endpoint is None:
            return 0
        share_per_s = self.share_per_s(endpoint_id, now_ms)
        if not share_per_s:
            return NEVER_MS
        if endpoint.sent_ms is None:
            return now_ms
        return endpoint.sent_ms + round(MS_PER_S / share_per_s)

    def record_sent(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record a request that is sent to an endpoint, with a limit or without."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.sent_ms = now_ms

    def share_per_s(self, endpoint_id: EndpointId, now_ms: int) -> float:
        """Return the part of an endpoint's limit that this VM may use, 0 if none."""
        endpoint = self._limited.get(endpoint_id)
        if endpoint is None or not self._is_fleet_settled(now_ms):
            return 0.0
        limit_per_s = max(MIN_LIMIT_PER_S, endpoint.limit_per_s or 0.0)
        vm_ids = self._live_vm_ids(now_ms)
        limit_per_s *= self._usable_share(len(vm_ids))
        count = max(1, min(len(vm_ids), int(HOLDERS_PER_RATE * limit_per_s) + MORE_HOLDERS))
        if endpoint.ranked_among != vm_ids:
            endpoint.ranked_among = vm_ids
            ranked = rank_by_rendezvous(endpoint_id, vm_ids)
            endpoint.position = ranked.index(self._vm_id) if self._vm_id in ranked else NO_POSITION
        return limit_per_s / count if endpoint.position < count else 0.0

    def _usable_share(self, live_count: int) -> float:
        """Return the part of a limit that the live VMs may use."""
        known_count = max(live_count, self._known_vm_count())
        return max(MIN_LIVE_SHARE, live_count / max(1, known_count))

    def new_reports(self, now_ms: int) -> tuple[LimitReport, ...]:
        """Return the changes that no peer got yet."""
        unsent, self._unsent = tuple(self._unsent.values()), {}
        return tuple(_report(endpoint, now_ms) for endpoint in unsent)[:MAX_REPORTS]

    def repeated_reports(self, now_ms: int) -> tuple[LimitReport, ...]:
        """Return what this VM read itself if that is due to be repeated, otherwise nothing."""
        if now_ms - self._reported_ms < REPORT_INTERVAL_MS:
            return ()
        self._reported_ms = now_ms
        return tuple(
            report
            for report in self.all_reports(now_ms)
            if self._is_repeated(self._endpoints[report.endpoint_id], now_ms)
        )

    def _is_repeated(self, endpoint: _Endpoint, now_ms: int) -> bool:
        """Return whether this VM read a limit itself lately, or its end."""
        if endpoint.told_by is not None or endpoint.stated_ms is None:
            return False
        since_ms = endpoint.changed_ms if endpoint.limit_per_s is None else endpoint.stated_ms
        return now_ms - since_ms <= FRESH_MS

    def all_reports(self, now_ms: int) -> tuple[LimitReport, ...]:
        """Return the newest statement on each endpoint that has named a limit, for a new peer."""
        stated = (item for item in self._endpoints.values() if item.stated_ms is not None)
        return tuple(_report(endpoint, now_ms) for endpoint in stated)[:MAX_REPORTS]

    def _find(self, endpoint_id: EndpointId, incarnation: int) -> _Endpoint | None:
        """Return an endpoint unless it is unknown or another incarnation."""
        endpoint = self._endpoints.get(endpoint_id)
        return endpoint if endpoint is not None and endpoint.incarnation == incarnation else None

    def _forget(self, endpoint_id: EndpointId) -> None:
        for endpoints in (self._endpoints, self._limited, self._unsent):
            endpoints.pop(endpoint_id, None)

    def _set_limit(
        self,
        endpoint: _Endpoint,
        limit_per_s: float | None,
        stated_ms: int,
        *,
        told_by: VmId | None,
    ) -> None:
        endpoint.limit_per_s = limit_per_s
        endpoint.stated_ms = stated_ms
        endpoint.told_by = told_by
        if limit_per_s is None:
            self._limited.pop(endpoint.endpoint_id, None)
        else:
            self._limited[endpoint.endpoint_id] = endpoint

    def _report_change(self, endpoint: _Endpoint, now_ms: int, answer_to: str) -> None:
        endpoint.changed_ms = now_ms
        self._on_change(
            LimitChange(
                endpoint_id=endpoint.endpoint_id,
                limit_per_s=endpoint.limit_per_s,
                share_per_s=self.share_per_s(endpoint.endpoint_id, now_ms),
                age_ms=now_ms - (endpoint.stated_ms if endpoint.stated_ms is not None else now_ms),
                told_by=endpoint.told_by,
                answer_to=answer_to,
            )
        )


def _report(endpoint: _Endpoint, now_ms: int) -> LimitReport:
    """Return the report of the newest statement on an endpoint."""
    stated_ms = endpoint.stated_ms if endpoint.stated_ms is not None else now_ms
    return LimitReport(
        endpoint_id=endpoint.endpoint_id,
        incarnation=endpoint.incarnation,
        limit_per_s=endpoint.limit_per_s,
        age_ms=now_ms - stated_ms,
    )
