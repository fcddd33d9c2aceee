"""Decides which endpoints are unresponsive, from this VM's connections and its peers' reports."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from wagtailusher_core import EndpointId, VmId
from wagtailusher_liveness.const import (
    MAX_REPORTS,
    MAX_TICK_GAP_MS,
    OTHERS_RECHECK_MS,
    RECHECK_MS,
    REPORT_INTERVAL_MS,
    SAME_SILENCE_MS,
    SUSPICION_PAUSE_MS,
    TOLD_MS,
)
from wagtailusher_liveness.limits import LivenessLimits
from wagtailusher_liveness.reports import Liveness, LivenessChange, LivenessReport


@dataclass(slots=True, kw_only=True)
class _Endpoint:
    """One incarnation of an endpoint."""

    endpoint_id: EndpointId
    incarnation: int
    heard_ms: int
    """Last sign of life: bytes of an answer or an accepted connection."""
    busy_since_ms: int = 0
    """Since when requests have been in flight without a break."""
    in_flight: int = 0
    begun: int = 0
    """Those in flight whose answers have begun."""
    state: Liveness = Liveness.RESPONSIVE
    told_by: VmId | None = None
    silent_since_ms: int = 0
    """Start of the silence that raised suspicion."""
    unanswered_ms: int = 0
    """When the endpoint was last suspected, or did not accept a connection."""
    is_checking: bool = False
    check_due_ms: int = 0
    suspectable_ms: int = 0
    """Time from which silence counts."""

    def silent_ms(self, now_ms: int) -> int:
        """Return for how long this VM has waited in vain for a sign of life."""
        return now_ms - max(self.heard_ms, self.busy_since_ms)


class LivenessDecider:
    """One VM's detection of endpoints that went silent.

    An endpoint is suspected when all its answers at this VM fall silent at once, or when a peer
    reports it; nothing is sent to it until a connection shows whether it is alive. A report is
    checked by the endpoint's checker and by VMs with requests there, unless they have heard from it
    since, so that a VM that is cut off from endpoints does not turn the fleet against them.
    """

    def __init__(
        self,
        *,
        limits: LivenessLimits | None = None,
        is_checker: Callable[[EndpointId, int], bool] = lambda endpoint_id, now_ms: True,
        on_change: Callable[[LivenessChange], None] = lambda change: None,
    ) -> None:
        """Start without endpoints.

        `is_checker` returns whether this VM is the one that checks an endpoint for all others.
        """
        self._limits = limits or LivenessLimits()
        self._is_checker = is_checker
        self._on_change = on_change
        self._endpoints: dict[EndpointId, _Endpoint] = {}
        self._doubtful: dict[EndpointId, _Endpoint] = {}
        """Endpoints that are not responsive."""
        self._unsent: list[LivenessReport] = []
        self._ticked_ms: int | None = None
        self._reported_ms = 0

    def update_endpoints(self, incarnations: Mapping[EndpointId, int], now_ms: int) -> None:
        """Replace the endpoints; those that are new or have restarted count as responsive."""
        for endpoint_id in self._endpoints.keys() - incarnations.keys():
            del self._endpoints[endpoint_id]
            self._doubtful.pop(endpoint_id, None)
        for endpoint_id, incarnation in incarnations.items():
            known = self._endpoints.get(endpoint_id)
            if known is None or known.incarnation != incarnation:
                self._doubtful.pop(endpoint_id, None)
                self._endpoints[endpoint_id] = _Endpoint(
                    endpoint_id=endpoint_id, incarnation=incarnation, heard_ms=now_ms
                )

    @property
    def has_doubts(self) -> bool:
        """Return whether any endpoint is not responsive."""
        return bool(self._doubtful)

    def state(self, endpoint_id: EndpointId) -> Liveness:
        """Return what this VM believes about an endpoint; an unknown one is responsive."""
        endpoint = self._endpoints.get(endpoint_id)
        return Liveness.RESPONSIVE if endpoint is None else endpoint.state

    def record_sent(self, endpoint_id: EndpointId, incarnation: int, now_ms: int) -> None:
        """Record that a request was sent to an endpoint."""
        endpoint = self._find(endpoint_id, incarnation)
        if endpoint is None:
            return
        if not endpoint.in_flight:
            endpoint.busy_since_ms = now_ms
        endpoint.in_flight += 1

    def record_begun(self, endpoint_id: EndpointId, incarnation: int, now_ms: int) -> None:
        """Record that the answer to a request has begun."""
        endpoint = self._find(endpoint_id, incarnation)
        if endpoint is not None:
            endpoint.begun += 1
            self._revive(endpoint, now_ms)

    def record_ended(self, endpoint_id: EndpointId, incarnation: int, *, had_begun: bool) -> None:
        """Record that a request is no longer in flight, for whatever reason."""
        endpoint = self._find(endpoint_id, incarnation)
        if endpoint is not None:
            endpoint.in_flight = max(0, endpoint.in_flight - 1)
            endpoint.begun = max(0, endpoint.begun - had_begun)

    def record_heard(self, endpoint_id: EndpointId, incarnation: int, heard_ms: int) -> None:
        """Record bytes of an answer, or the time of a load report, which may be in the past."""
        endpoint = self._find(endpoint_id, incarnation)
        if endpoint is not None and heard_ms > endpoint.unanswered_ms:
            self._revive(endpoint, heard_ms)

    def record_check(
        self, endpoint_id: EndpointId, incarnation: int, now_ms: int, *, is_answered: bool
    ) -> None:
        """Record whether an endpoint accepted a connection, of a check or of a request."""
        endpoint = self._find(endpoint_id, incarnation)
        if endpoint is None:
            return
        endpoint.is_checking = False
        is_checker = self._is_checker(endpoint_id, now_ms)
        if is_answered:
            if self.is_isolated:
                for other in self._doubtful.values():
                    other.check_due_ms = now_ms
            is_refuted = is_checker and endpoint.state is Liveness.SUSPECTED and endpoint.told_by
            endpoint.suspectable_ms = now_ms + SUSPICION_PAUSE_MS
            self._revive(endpoint, now_ms)
            if is_refuted:
                self._unsent.append(_report(endpoint, now_ms))
            return
        endpoint.unanswered_ms = now_ms
        endpoint.check_due_ms = now_ms + (RECHECK_MS if is_checker else OTHERS_RECHECK_MS)
        if endpoint.state is not Liveness.UNRESPONSIVE:
            self._set_state(endpoint, Liveness.UNRESPONSIVE, now_ms)
            if endpoint.told_by is None or is_checker:
                self._unsent.append(_report(endpoint, now_ms))

    def merge(self, report: LivenessReport, told_by: VmId, now_ms: int) -> None:
        """Apply a peer's report; what it says is checked before it is believed for long."""
        endpoint = self._find(report.endpoint_id, report.incarnation)
        if endpoint is None:
            return
        if report.is_responsive:
            endpoint.check_due_ms = now_ms
            if endpoint.state is Liveness.SUSPECTED and endpoint.told_by is not None:
                self._set_state(endpoint, Liveness.RESPONSIVE, now_ms)
            return
        if endpoint.heard_ms > now_ms - report.silent_ms + SAME_SILENCE_MS:
            return
        if endpoint.state is Liveness.RESPONSIVE:
            endpoint.told_by = told_by
            self._suspect(endpoint, now_ms)
        is_involved = endpoint.in_flight or self._is_checker(endpoint.endpoint_id, now_ms)
        if endpoint.state is Liveness.SUSPECTED and not is_involved:
            endpoint.check_due_ms = now_ms + TOLD_MS

    def tick(self, now_ms: int) -> None:
        """Suspect the endpoints that have been silent for too long."""
        was_paused = self._ticked_ms is None or now_ms - self._ticked_ms > MAX_TICK_GAP_MS
        self._ticked_ms = now_ms
        for endpoint in self._endpoints.values():
            if was_paused:
                endpoint.suspectable_ms = now_ms + self._limits.silence_ms
            if not endpoint.in_flight or endpoint.state is not Liveness.RESPONSIVE:
                continue
            if self._is_silent(endpoint, now_ms):
                endpoint.told_by = None
                self._suspect(endpoint, now_ms)

    def begin_checks(self, now_ms: int) -> tuple[tuple[EndpointId, int], ...]:
        """Return the endpoints, with their incarnations, to connect to now.

        Each needs a `record_check` before it is returned again.
        """
        due = [
            endpoint
            for endpoint in self._doubtful.values()
            if not endpoint.is_checking and endpoint.check_due_ms <= now_ms
        ]
        for endpoint in due:
            endpoint.is_checking = True
        return tuple((endpoint.endpoint_id, endpoint.incarnation) for endpoint in due)

    @property
    def is_isolated(self) -> bool:
        """Return whether this VM reaches no endpoint, which tells of itself more than of them."""
        return len(self._endpoints) > 1 and all(
            endpoint.state is Liveness.UNRESPONSIVE for endpoint in self._endpoints.values()
        )

    def new_reports(self) -> tuple[LivenessReport, ...]:
        """Return the reports that no peer got yet; none of unresponsive ones if it is isolated."""
        if self._unsent and self.is_isolated:
            self._unsent = [report for report in self._unsent if report.is_responsive]
        reports, self._unsent = tuple(self._unsent[:MAX_REPORTS]), self._unsent[MAX_REPORTS:]
        return reports

    def repeated_reports(self, now_ms: int) -> tuple[LivenessReport, ...]:
        """Return this VM's own findings if they are due to be repeated, otherwise nothing."""
        if now_ms - self._reported_ms < REPORT_INTERVAL_MS or self.is_isolated:
            return ()
        self._reported_ms = now_ms
        return tuple(self._own_findings(now_ms))[:MAX_REPORTS]

    def _own_findings(self, now_ms: int) -> Iterable[LivenessReport]:
        return (
            _report(endpoint, now_ms)
            for endpoint in self._doubtful.values()
            if endpoint.state is Liveness.UNRESPONSIVE and endpoint.told_by is None
        )

    def _find(self, endpoint_id: EndpointId, incarnation: int) -> _Endpoint | None:
        """Return an endpoint unless it is unknown or another incarnation."""
        endpoint = self._endpoints.get(endpoint_id)
        return endpoint if endpoint is not None and endpoint.incarnation == incarnation else None

    def _is_silent(self, endpoint: _Endpoint, now_ms: int) -> bool:
        """Return whether requests wait at an endpoint that has been silent for too long."""
        if now_ms < endpoint.suspectable_ms:
            return False
        limits = self._limits
        limit_ms = limits.silence_ms if endpoint.begun > 1 else limits.single_silence_ms
        if not endpoint.begun:
            limit_ms = limits.first_byte_ms
        return endpoint.silent_ms(now_ms) >= limit_ms

    def _suspect(self, endpoint: _Endpoint, now_ms: int) -> None:
        endpoint.check_due_ms = now_ms
        endpoint.unanswered_ms = now_ms
        self._set_state(endpoint, Liveness.SUSPECTED, now_ms)

    def _revive(self, endpoint: _Endpoint, now_ms: int) -> None:
        """Record a sign of life."""
        if endpoint.state is Liveness.RESPONSIVE:
            endpoint.heard_ms = max(endpoint.heard_ms, now_ms)
            return
        was_unresponsive = endpoint.state is Liveness.UNRESPONSIVE
        self._set_state(endpoint, Liveness.RESPONSIVE, now_ms)
        endpoint.heard_ms = now_ms
        endpoint.told_by = None
        if was_unresponsive:
            self._unsent.append(_report(endpoint, now_ms))

    def _set_state(self, endpoint: _Endpoint, state: Liveness, now_ms: int) -> None:
        if endpoint.state is Liveness.RESPONSIVE:
            silent_ms = endpoint.silent_ms(now_ms) if endpoint.in_flight else 0
            endpoint.silent_since_ms = now_ms - silent_ms
        endpoint.state = state
        if state is Liveness.RESPONSIVE:
            self._doubtful.pop(endpoint.endpoint_id, None)
        else:
            self._doubtful[endpoint.endpoint_id] = endpoint
        self._on_change(
            LivenessChange(
                endpoint_id=endpoint.endpoint_id,
                state=state,
                silent_ms=endpoint.silent_ms(now_ms),
                in_flight=endpoint.in_flight,
                told_by=endpoint.told_by,
            )
        )


def _report(endpoint: _Endpoint, now_ms: int) -> LivenessReport:
    """Return the report of an endpoint's present state."""
    return LivenessReport(
        endpoint_id=endpoint.endpoint_id,
        incarnation=endpoint.incarnation,
        is_responsive=endpoint.state is Liveness.RESPONSIVE,
        silent_ms=now_ms - endpoint.silent_since_ms,
    )
