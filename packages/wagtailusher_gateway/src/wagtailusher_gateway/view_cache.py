"""Keeps what was read from the platform; never goes back to an older version."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
import logging

from wagtailusher_core import EndpointId, FailureDomainId
from wagtailusher_gateway.models import Configuration, Endpoint, FleetView

_LOGGER = logging.getLogger(__name__)

LAPSE_GRACE_MS = 2_000
"""Time after the platform's return in which lapsed entries may come back, as it promises."""

EMPTY_VIEW = FleetView(
    revision=0, confirmed_ms=0, configuration=None, endpoints={}, evacuated=frozenset()
)

Listener = Callable[[FleetView, bool, int], None]
"""Is told of a view, whether more changed in it than its age, and the time."""


class ViewCache:
    """The view in force and what is taken into it."""

    def __init__(self, listener: Listener) -> None:
        """Start with nothing known; the listener is told of each change and confirmation."""
        self.view = EMPTY_VIEW
        self._listener = listener
        self._is_away = False
        self._regained_ms: int | None = None

    def is_newer_revision(self, revision: int) -> bool:
        """Tell whether a change is later than what the view already holds, whoever brought it."""
        return revision > self.view.revision

    def mark_store_unavailable(self) -> None:
        """Note that the platform does not answer, so that entries may lapse unseen."""
        self._is_away = True

    def confirm_revision(self, revision: int, now_ms: int) -> None:
        """Note that the platform answered, and that the view is complete up to a revision."""
        if self._is_away:
            self._is_away = False
            self._regained_ms = now_ms
        self._set(
            replace(
                self.view,
                revision=max(revision, self.view.revision),
                confirmed_ms=max(now_ms, self.view.confirmed_ms),
            ),
            now_ms,
        )

    def confirm_by_peer(self, revision: int, confirmed_ms: int, now_ms: int) -> None:
        """Note that a peer found the same revision to be current."""
        if revision == self.view.revision and confirmed_ms > self.view.confirmed_ms:
            self._set(replace(self.view, confirmed_ms=confirmed_ms), now_ms)

    def set_configuration(self, configuration: Configuration, source: str, now_ms: int) -> None:
        """Take a configuration over unless it is older than the one in force."""
        current = self.view.configuration
        if current is not None and configuration.version <= current.version:
            return
        _LOGGER.info(
            "View: configuration %s in force",
            configuration.version,
            extra={
                "event": "configuration",
                "version": configuration.version,
                "was": current.version if current is not None else None,
                "source": source,
                "revision": self.view.revision,
            },
        )
        self._set(replace(self.view, configuration=configuration), now_ms)

    def set_endpoint(self, endpoint: Endpoint, now_ms: int) -> None:
        """Take an endpoint's entry over."""
        self._keep(endpoint.endpoint_id, now_ms)
        before = self.view.endpoints.get(endpoint.endpoint_id)
        if before is not None and before.born_ms > endpoint.born_ms:
            return
        if before == endpoint:
            return
        self._log_endpoint(endpoint, "draining" if endpoint.is_draining else "ready", now_ms)
        endpoints = {**self.view.endpoints, endpoint.endpoint_id: endpoint}
        self._set(replace(self.view, endpoints=endpoints), now_ms)

    def remove_endpoint(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Drop an endpoint; one that may have lapsed while the platform was away waits a while."""
        endpoint = self.view.endpoints.get(endpoint_id)
        if endpoint is None:
            return
        regained_ms = self._regained_ms
        may_return = regained_ms is not None and now_ms - regained_ms < LAPSE_GRACE_MS
        if regained_ms is not None and may_return and not endpoint.is_draining:
            if endpoint_id not in self.view.lapsing_ms:
                lapsing_ms = {**self.view.lapsing_ms, endpoint_id: regained_ms + LAPSE_GRACE_MS}
                self._set(replace(self.view, lapsing_ms=lapsing_ms), now_ms)
                self._log_endpoint(endpoint, "lapsed", now_ms)
            return
        self._drop(endpoint_id, now_ms)

    def retain_endpoints(self, endpoint_ids: frozenset[EndpointId], now_ms: int) -> None:
        """Drop all endpoints but these, after a reading of the whole list."""
        for endpoint_id in tuple(self.view.endpoints.keys() - endpoint_ids):
            self.remove_endpoint(endpoint_id, now_ms)

    def set_evacuated(self, failure_domain_ids: frozenset[FailureDomainId], now_ms: int) -> None:
        """Take over which failure domains get nothing."""
        if failure_domain_ids == self.view.evacuated:
            return
        _LOGGER.info(
            "View: evacuated failure domains are %s",
            sorted(failure_domain_ids),
            extra={"event": "evacuation", "domains": sorted(failure_domain_ids)},
        )
        self._set(replace(self.view, evacuated=failure_domain_ids), now_ms)

    def tick(self, now_ms: int) -> None:
        """Drop the endpoints that did not come back."""
        for endpoint_id, until_ms in tuple(self.view.lapsing_ms.items()):
            if until_ms <= now_ms:
                self._drop(endpoint_id, now_ms)

    def adopt(self, view: FleetView, source: str, now_ms: int) -> None:
        """Take over a peer's view that was confirmed later than this one."""
        if view.confirmed_ms <= self.view.confirmed_ms or view.revision < self.view.revision:
            return
        if view.configuration is not None:
            self.set_configuration(view.configuration, source, now_ms)
        self._log_differences(view, now_ms)
        self._set(replace(view, configuration=self.view.configuration), now_ms)

    def _log_differences(self, view: FleetView, now_ms: int) -> None:
        """Log what a peer's view changes."""
        for endpoint_id, endpoint in view.endpoints.items():
            if self.view.endpoints.get(endpoint_id) != endpoint:
                state = "draining" if endpoint.is_draining else "ready"
                self._log_endpoint(endpoint, state, now_ms)
        for endpoint_id in self.view.endpoints.keys() - view.endpoints.keys():
            self._log_endpoint(self.view.endpoints[endpoint_id], "gone", now_ms)

    def _keep(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Take back that an endpoint is to be dropped."""
        if endpoint_id in self.view.lapsing_ms:
            lapsing_ms = {
                key: until_ms
                for key, until_ms in self.view.lapsing_ms.items()
                if key != endpoint_id
            }
            self._set(replace(self.view, lapsing_ms=lapsing_ms), now_ms)

    def _drop(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Remove an endpoint from the view."""
        self._keep(endpoint_id, now_ms)
        endpoint = self.view.endpoints.get(endpoint_id)
        if endpoint is None:
            return
        self._log_endpoint(endpoint, "gone", now_ms)
        endpoints = {key: item for key, item in self.view.endpoints.items() if key != endpoint_id}
        self._set(replace(self.view, endpoints=endpoints), now_ms)

    def _set(self, view: FleetView, now_ms: int) -> None:
        """Put a view in force."""
        before, self.view = self.view, view
        changed = (
            before.configuration is not view.configuration
            or before.endpoints is not view.endpoints
            or before.evacuated != view.evacuated
        )
        self._listener(view, changed, now_ms)

    def _log_endpoint(self, endpoint: Endpoint, state: str, now_ms: int) -> None:
        """Log what is believed of an endpoint."""
        _LOGGER.info(
            "View: endpoint %s is %s",
            endpoint.endpoint_id,
            state,
            extra={
                "event": "endpoint",
                "endpoint": endpoint.endpoint_id,
                "service": endpoint.service,
                "state": state,
                "cold_ms": max(0, endpoint.cold_until_ms - now_ms),
                "revision": self.view.revision,
                "view_age_ms": now_ms - self.view.confirmed_ms,
            },
        )
