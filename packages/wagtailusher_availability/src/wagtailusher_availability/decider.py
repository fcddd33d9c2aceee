"""Decides whether an endpoint may get requests, by what its answers state."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from wagtailusher_availability.const import (
    BRITTLE_MS,
    BRITTLE_TELL_MS,
    FULL_MS,
    MAX_ABSENT,
    MAX_EXTRA_REQUESTS,
    NEVER_MS,
    TRIAL_MS,
)
from wagtailusher_availability.reports import Statement, StatementChange, StatementReport
from wagtailusher_core import EndpointId, VmId


@dataclass(slots=True, kw_only=True)
class _Endpoint:
    """One incarnation of an endpoint, and what it stated."""

    endpoint_id: EndpointId
    incarnation: int
    leaving_ms: int | None = None
    """When an answer to this VM, or to the peer that told it, stated that the endpoint leaves."""
    is_leaving: bool = False
    """Whether that answer came to this VM."""
    waits_until_ms: int | None = None
    """Until when the endpoint wants no requests; kept until it accepts one."""
    stated_ms: int = 0
    """When that was stated."""
    extra_requests: int = 0
    """Requests that were sent all the same, as a running one needed them."""
    trial_ms: int | None = None
    """When the first request after that time was started."""
    has_unreadable_wait: bool = False
    brittle_ms: int | None = None
    """When an answer last stated, here or at a peer, that the endpoint is brittle."""
    told_brittle_ms: int | None = None
    """When this VM last told peers."""
    full_until_ms: int = 0
    """Until when a brittle endpoint that had no room gets nothing."""


class AvailabilityDecider:
    """One VM's knowledge of the endpoints that leave, or want no requests for a while.

    What an endpoint states holds for one incarnation. A VM that was only told by a peer that an
    endpoint leaves prefers others, but uses it if there is none, so that a wrong report takes no
    endpoint out of the fleet.
    """

    def __init__(
        self, *, on_change: Callable[[StatementChange], None] = lambda change: None
    ) -> None:
        """Start without endpoints."""
        self._on_change = on_change
        self._endpoints: dict[EndpointId, _Endpoint] = {}
        self._stated: dict[EndpointId, _Endpoint] = {}
        """Endpoints that stated something that may still hold."""
        self._unsent: dict[EndpointId, _Endpoint] = {}
        self._absent: dict[EndpointId, _Endpoint] = {}
        """Endpoints that are no longer listed, which may be listed again, the oldest first."""

    def update_endpoints(self, incarnations: Mapping[EndpointId, int]) -> None:
        """Replace the endpoints; those that are new or have restarted have stated nothing."""
        for endpoint_id in self._endpoints.keys() - incarnations.keys():
            self._keep_absent(endpoint_id)
        for endpoint_id, incarnation in incarnations.items():
            known = self._endpoints.get(endpoint_id)
            if known is None or known.incarnation != incarnation:
                self._add(endpoint_id, incarnation)

    def _keep_absent(self, endpoint_id: EndpointId) -> None:
        """Remove an endpoint, and keep what it stated in case that it is listed again."""
        stated = self._stated.get(endpoint_id)
        self._drop(endpoint_id)
        if stated is not None:
            self._absent[endpoint_id] = stated
            if len(self._absent) > MAX_ABSENT:
                del self._absent[next(iter(self._absent))]

    def _add(self, endpoint_id: EndpointId, incarnation: int) -> None:
        """Add an endpoint with what the same incarnation stated before it was removed."""
        self._drop(endpoint_id)
        absent = self._absent.pop(endpoint_id, None)
        if absent is not None and absent.incarnation == incarnation:
            self._endpoints[endpoint_id] = self._stated[endpoint_id] = absent
        else:
            self._endpoints[endpoint_id] = _Endpoint(
                endpoint_id=endpoint_id, incarnation=incarnation
            )

    def forget(self, endpoint_id: EndpointId) -> None:
        """Forget what an endpoint stated, as another process has taken its place."""
        known = self._endpoints.get(endpoint_id)
        if known is not None:
            self._add(endpoint_id, known.incarnation)

    def record_leaving(
        self, endpoint_id: EndpointId, incarnation: int, now_ms: int, *, answer_to: str = ""
    ) -> None:
        """Record that an answer to this VM stated that the endpoint leaves."""
        endpoint = self._find(endpoint_id, incarnation)
        if endpoint is None or endpoint.is_leaving:
            return
        if endpoint.leaving_ms is None:
            endpoint.leaving_ms = now_ms
            self._unsent[endpoint_id] = endpoint
        endpoint.is_leaving = True
        self._stated[endpoint_id] = endpoint
        self._report_change(endpoint, Statement.LEAVING, now_ms, answer_to=answer_to)

    def record_wait(
        self,
        endpoint_id: EndpointId,
        incarnation: int,
        wait_ms: int,
        *,
        sent_ms: int,
        now_ms: int,
        answer_to: str = "",
    ) -> None:
        """Record that an answer to this VM stated for how long the endpoint wants no requests.

        Answers may overtake each other: one to a request that was sent before an earlier answer
        arrived may lengthen the time which that one stated, but not shorten it.
        """
        endpoint = self._find(endpoint_id, incarnation)
        if endpoint is None:
            return
        until_ms = now_ms + wait_ms
        if now_ms >= (endpoint.waits_until_ms or 0):
            endpoint.extra_requests = 0
        if endpoint.waits_until_ms is not None and sent_ms <= endpoint.stated_ms:
            until_ms = max(until_ms, endpoint.waits_until_ms)
        is_same = until_ms == endpoint.waits_until_ms
        endpoint.waits_until_ms = until_ms
        endpoint.stated_ms = now_ms
        endpoint.trial_ms = None
        self._stated[endpoint_id] = endpoint
        if not is_same:
            self._report_change(
                endpoint, Statement.WAITING, now_ms, wait_ms=until_ms - now_ms, answer_to=answer_to
            )

    def record_brittle(
        self, endpoint_id: EndpointId, incarnation: int, now_ms: int, *, is_full: bool
    ) -> None:
        """Record that an answer to this VM stated that the endpoint is brittle, or is full, too."""
        endpoint = self._find(endpoint_id, incarnation)
        if endpoint is None:
            return
        was_brittle = self._is_brittle(endpoint, now_ms)
        endpoint.brittle_ms = now_ms
        self._stated[endpoint_id] = endpoint
        if is_full and now_ms >= endpoint.full_until_ms:
            endpoint.full_until_ms = now_ms + FULL_MS
            self._report_change(endpoint, Statement.FULL, now_ms)
        told_ms = endpoint.told_brittle_ms
        if not was_brittle or told_ms is None or now_ms - told_ms >= BRITTLE_TELL_MS:
            endpoint.told_brittle_ms = now_ms
            self._report_change(endpoint, Statement.BRITTLE, now_ms)

    def is_brittle(self, endpoint_id: EndpointId, now_ms: int) -> bool:
        """Return whether an endpoint stated lately, here or at a peer, that it is brittle."""
        endpoint = self._stated.get(endpoint_id)
        return endpoint is not None and self._is_brittle(endpoint, now_ms)

    def _is_brittle(self, endpoint: _Endpoint, now_ms: int) -> bool:
        return endpoint.brittle_ms is not None and now_ms - endpoint.brittle_ms < BRITTLE_MS

    def record_unreadable(self, endpoint_id: EndpointId, incarnation: int) -> bool:
        """Record that a time can't be read; return whether it is the endpoint's first one."""
        endpoint = self._find(endpoint_id, incarnation)
        if endpoint is None or endpoint.has_unreadable_wait:
            return False
        endpoint.has_unreadable_wait = True
        return True

    def record_accepted(
        self,
        endpoint_id: EndpointId,
        incarnation: int,
        *,
        sent_ms: int,
        is_leaving: bool = False,
        is_brittle: bool = False,
    ) -> None:
        """Record that an endpoint accepted a request, which may end what is known of it.

        An answer that does not state that the endpoint leaves, or is brittle, ends what was stated
        before the request was sent, of leaving only what a peer told.
        """
        endpoint = self._stated.get(endpoint_id)
        if endpoint is None or endpoint.incarnation != incarnation:
            return
        if endpoint.waits_until_ms is not None and sent_ms >= endpoint.waits_until_ms:
            endpoint.waits_until_ms = None
        told_ms = endpoint.leaving_ms
        if told_ms is not None and not endpoint.is_leaving and not is_leaving and sent_ms > told_ms:
            endpoint.leaving_ms = None
        if endpoint.brittle_ms is not None and not is_brittle and sent_ms > endpoint.brittle_ms:
            endpoint.brittle_ms = None
        self._drop_if_idle(endpoint)

    def merge(self, report: StatementReport, told_by: VmId, now_ms: int) -> None:
        """Apply a peer's report that an endpoint leaves, is brittle or has no room."""
        endpoint = self._find(report.endpoint_id, report.incarnation)
        if endpoint is None:
            return
        if report.statement in (Statement.BRITTLE, Statement.FULL):
            self._merge_brittle(endpoint, report, told_by, now_ms)
        if report.statement is not Statement.LEAVING or endpoint.leaving_ms is not None:
            return
        endpoint.leaving_ms = now_ms - report.age_ms
        self._stated[endpoint.endpoint_id] = endpoint
        self._report_change(endpoint, Statement.LEAVING, now_ms, told_by=told_by)

    def _merge_brittle(
        self, endpoint: _Endpoint, report: StatementReport, told_by: VmId, now_ms: int
    ) -> None:
        was_brittle = self._is_brittle(endpoint, now_ms)
        stated_ms = now_ms - report.age_ms
        endpoint.brittle_ms = max(stated_ms, endpoint.brittle_ms or stated_ms)
        self._stated[endpoint.endpoint_id] = endpoint
        if report.statement is Statement.FULL:
            endpoint.full_until_ms = max(endpoint.full_until_ms, stated_ms + FULL_MS)
        if not was_brittle:
            self._report_change(endpoint, Statement.BRITTLE, now_ms, told_by=told_by)

    @property
    def is_empty(self) -> bool:
        """Return whether no endpoint stated anything that may still hold."""
        return not self._stated

    def is_leaving(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint stated to this VM that it leaves."""
        endpoint = self._stated.get(endpoint_id)
        return endpoint is not None and endpoint.is_leaving

    @property
    def stated_ids(self) -> frozenset[EndpointId]:
        """Return the endpoints that stated something that may still hold."""
        return frozenset(self._stated)

    @property
    def leaving_ids(self) -> frozenset[EndpointId]:
        """Return the endpoints that stated to this VM or a peer that they leave."""
        return frozenset(key for key, item in self._stated.items() if item.leaving_ms is not None)

    def may_leave(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint stated to this VM or a peer that it leaves."""
        endpoint = self._stated.get(endpoint_id)
        return endpoint is not None and endpoint.leaving_ms is not None

    def may_send(self, endpoint_id: EndpointId, now_ms: int) -> bool:
        """Return whether a request that was started may be sent; ask before its first byte."""
        endpoint = self._stated.get(endpoint_id)
        if endpoint is None:
            return True
        wanted_ms = max(endpoint.waits_until_ms or 0, endpoint.full_until_ms)
        return not endpoint.is_leaving and now_ms >= wanted_ms

    def may_start(self, endpoint_id: EndpointId, now_ms: int) -> bool:
        """Return whether another request may be started."""
        return not self._stated or now_ms >= self.next_start_ms(endpoint_id)

    def next_start_ms(self, endpoint_id: EndpointId) -> int:
        """Return from when on another request may be started.

        Behind a wait there is one at first, so that not all that waited are sent at once.
        """
        endpoint = self._stated.get(endpoint_id)
        if endpoint is None:
            return 0
        if endpoint.is_leaving:
            return NEVER_MS
        if endpoint.waits_until_ms is None or endpoint.trial_ms is None:
            return max(endpoint.waits_until_ms or 0, endpoint.full_until_ms)
        return endpoint.trial_ms + TRIAL_MS

    def record_started(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record that a request was started."""
        endpoint = self._stated.get(endpoint_id)
        if endpoint is None or endpoint.waits_until_ms is None:
            return
        if endpoint.trial_ms is None:
            endpoint.trial_ms = now_ms
            return
        endpoint.waits_until_ms = None
        self._drop_if_idle(endpoint)

    def try_spend_extra(self, endpoint_id: EndpointId, now_ms: int) -> bool:
        """Return whether a running request may send another one to its endpoint, and count it."""
        endpoint = self._stated.get(endpoint_id)
        if endpoint is None or now_ms >= (endpoint.waits_until_ms or 0):
            return True
        endpoint.extra_requests += 1
        return endpoint.extra_requests <= MAX_EXTRA_REQUESTS

    def wait_ms(self, endpoint_id: EndpointId, now_ms: int) -> int:
        """Return for how long an endpoint wants no requests, 0 if it takes them."""
        endpoint = self._stated.get(endpoint_id)
        return max(0, ((endpoint and endpoint.waits_until_ms) or 0) - now_ms)

    def shortest_wait_ms(self, endpoint_ids: Iterable[EndpointId], now_ms: int) -> int | None:
        """Return for how long none of some endpoints wants requests, None if all of them leave."""
        waits_ms = (self.wait_ms(key, now_ms) for key in endpoint_ids if not self.is_leaving(key))
        return min(waits_ms, default=None)

    def new_reports(self, now_ms: int) -> tuple[StatementReport, ...]:
        """Return what answers stated to this VM that no peer was told yet."""
        unsent, self._unsent = self._unsent, {}
        return tuple(_reports(unsent.values(), now_ms))

    def all_reports(self, now_ms: int) -> tuple[StatementReport, ...]:
        """Return which endpoints leave or are brittle, for a VM that is new."""
        return tuple(_reports(self._stated.values(), now_ms))

    def _find(self, endpoint_id: EndpointId, incarnation: int) -> _Endpoint | None:
        """Return an endpoint unless it is unknown or another incarnation."""
        endpoint = self._endpoints.get(endpoint_id)
        return endpoint if endpoint is not None and endpoint.incarnation == incarnation else None

    def _drop(self, endpoint_id: EndpointId) -> None:
        for endpoints in (self._endpoints, self._stated, self._unsent):
            endpoints.pop(endpoint_id, None)

    def _drop_if_idle(self, endpoint: _Endpoint) -> None:
        """Drop an endpoint of whose statements none holds any longer."""
        states = (endpoint.waits_until_ms, endpoint.leaving_ms, endpoint.brittle_ms)
        if all(state is None for state in states):
            self._stated.pop(endpoint.endpoint_id, None)
            self._on_change(StatementChange(endpoint_id=endpoint.endpoint_id, statement=None))

    def _report_change(
        self,
        endpoint: _Endpoint,
        statement: Statement,
        now_ms: int,
        *,
        wait_ms: int | None = None,
        told_by: VmId | None = None,
        answer_to: str = "",
    ) -> None:
        stated_ms = {
            Statement.LEAVING: endpoint.leaving_ms,
            Statement.WAITING: endpoint.stated_ms,
        }.get(statement, endpoint.brittle_ms)
        self._on_change(
            StatementChange(
                endpoint_id=endpoint.endpoint_id,
                incarnation=endpoint.incarnation,
                statement=statement,
                wait_ms=wait_ms,
                age_ms=now_ms - (now_ms if stated_ms is None else stated_ms),
                told_by=told_by,
                answer_to=answer_to,
            )
        )


def _reports(endpoints: Iterable[_Endpoint], now_ms: int) -> Iterable[StatementReport]:
    """Yield the reports of the endpoints that leave or are brittle."""
    for endpoint in endpoints:
        for statement, stated_ms in (
            (Statement.LEAVING, endpoint.leaving_ms),
            (Statement.BRITTLE, endpoint.brittle_ms),
        ):
            if stated_ms is not None:
                yield StatementReport(
                    endpoint_id=endpoint.endpoint_id,
                    incarnation=endpoint.incarnation,
                    statement=statement,
                    age_ms=now_ms - stated_ms,
                )
