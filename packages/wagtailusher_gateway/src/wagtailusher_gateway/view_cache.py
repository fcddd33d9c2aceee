"""Cache of the state read from the platform; never replaced by an older version."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Set
from dataclasses import replace
import logging

from wagtailusher_core import EndpointId, FailureDomainId, Revision
from wagtailusher_gateway.models import (
    Configuration,
    Endpoint,
    EntryChange,
    FleetView,
    ReadChanges,
)
from wagtailusher_gateway.older_copy import believed_entry, with_removal

_LOGGER = logging.getLogger(__name__)

EXPIRY_GRACE_MS = 2_000
"""Time after the store has recovered during which expired entries may reappear, as the platform
guarantees."""

EVACUATION_GRACE_MS = 10_000
"""Time for the operator to write an evacuation again that an older copy of the store lacks."""

EMPTY_VIEW = FleetView(
    revision=0, confirmed_ms=0, configuration=None, endpoints={}, evacuated=frozenset()
)

ViewListener = Callable[[FleetView, bool, int], None]
"""Called with the view, whether more than its age changed, and the time in ms."""


class ViewCache:
    """Holds the current view and merges updates from the store and from peers into it."""

    def __init__(
        self,
        listener: ViewListener,
        on_read: Callable[[ReadChanges, int], None] = lambda changes, now_ms: None,
    ) -> None:
        """Start with an empty view; the listener is called on each change and confirmation.

        `on_read` gets what a reading of the store changed, if its revision is newer, and the time.
        """
        self.view = EMPTY_VIEW
        self.is_gap = False
        """Set while the listener is called for a view that may not show every change before it."""
        self._listener = listener
        self._on_read = on_read
        self._unconfirmed: list[EntryChange] = []
        """Changes of entries since the view's revision."""
        self._entry_revisions: dict[EndpointId, Revision] = {}
        """Revision of the last change of each entry that this VM read itself."""
        self._previous_configuration: Configuration | None = None
        """The configuration of the view's revision, if there is a newer one since."""
        self._has_other_changes = False
        self._is_store_unavailable = False
        self._store_recovered_ms: int | None = None

    def is_newer_revision(self, revision: Revision) -> bool:
        """Return whether a revision is above the view's, whatever source the view came from."""
        return revision > self.view.store_revision

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force, 0 if there is none."""
        configuration = self.view.configuration
        return configuration.version if configuration is not None else 0

    def mark_store_unavailable(self) -> None:
        """Record that the store does not answer, so that entries may expire unnoticed."""
        self._is_store_unavailable = True

    def begin_epoch(self, first_list: Revision, now_ms: int) -> None:
        """Prepare for the first list of a store that came back from an older copy.

        What it lacks stays until it had time to be written again: endpoints for `EXPIRY_GRACE_MS`,
        evacuations for `EVACUATION_GRACE_MS`.
        """
        self._store_recovered_ms = now_ms
        lapsing_ms = dict.fromkeys(self.view.evacuated, now_ms + EVACUATION_GRACE_MS)
        self._apply(
            replace(self.view, first_list=first_list, lapsing_evacuations_ms=lapsing_ms), now_ms
        )

    def confirm_revision(self, revision: Revision, now_ms: int) -> None:
        """Record that the store answered and that the view is complete up to a revision."""
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            self._store_recovered_ms = now_ms
        is_newer = self.is_newer_revision(revision)
        changes = self._take_changes(revision)
        newest = max(revision, self.view.store_revision)
        self._apply(
            replace(
                self.view,
                epoch=newest.epoch,
                revision=newest.number,
                confirmed_ms=max(now_ms, self.view.confirmed_ms),
            ),
            now_ms,
        )
        if is_newer:
            self._on_read(changes, now_ms)

    def _take_changes(self, revision: Revision) -> ReadChanges:
        """Return the changes since the view's revision, which the view then contains."""
        previous = self._previous_configuration
        changes = ReadChanges(
            after_revision=self.view.store_revision,
            revision=revision,
            is_complete=not self._has_other_changes,
            entries=tuple(self._unconfirmed),
            configuration=self.view.configuration if previous is not None else None,
            previous_configuration=previous,
        )
        self._unconfirmed = []
        self._previous_configuration = None
        self._has_other_changes = False
        return changes

    def apply_changes(self, changes: ReadChanges, confirmed_ms: int, now_ms: int) -> bool:
        """Apply what a peer read; return False if the view would miss changes before it."""
        if changes.revision <= self.view.store_revision:
            return True
        if not changes.is_complete or self.view.store_revision < changes.after_revision:
            return False
        if changes.configuration is not None:
            self.set_configuration(changes.configuration, "reader", now_ms)
        for change in changes.entries:
            if change.endpoint is not None:
                self.set_endpoint(change.endpoint, now_ms)
            elif change.expires_ms is not None:
                self._schedule_removal(change.endpoint_id, change.expires_ms, now_ms)
            else:
                self._remove_now(change.endpoint_id, now_ms)
        self._take_changes(changes.revision)
        confirmed_ms = max(confirmed_ms, self.view.confirmed_ms)
        epoch, revision = changes.revision.epoch, changes.revision.number
        self._apply(
            replace(self.view, epoch=epoch, revision=revision, confirmed_ms=confirmed_ms), now_ms
        )
        return True

    def confirm_by_peer(self, revision: Revision, confirmed_ms: int, now_ms: int) -> None:
        """Record that a peer confirmed the same revision as current."""
        is_same = bool(revision.number) and revision == self.view.store_revision
        if is_same and confirmed_ms > self.view.confirmed_ms:
            self._apply(replace(self.view, confirmed_ms=confirmed_ms), now_ms)

    def set_configuration(self, configuration: Configuration, source: str, now_ms: int) -> None:
        """Apply a configuration unless its version is not above that of the current one."""
        current = self.view.configuration
        if current is not None and configuration.version <= current.version:
            return
        if current is None:
            self._has_other_changes = True
        elif self._previous_configuration is None:
            self._previous_configuration = current
        _LOGGER.info(
            "View: applied configuration version %s",
            configuration.version,
            extra={
                "event": "configuration",
                "version": configuration.version,
                "was": current.version if current is not None else None,
                "source": source,
                "revision": self.view.revision,
            },
        )
        self._apply(replace(self.view, configuration=configuration), now_ms)

    def set_listed_endpoint(self, endpoint: Endpoint, revision: Revision, now_ms: int) -> None:
        """Apply an entry as of its last change, unless a later one is known.

        Pages of a list may show changes that the watch behind it brings again, and an older copy
        of the store earlier ones. What endpoints state of their start does not tell which entry is
        newer, as their clocks may be set back.
        """
        known = self._entry_revisions.get(endpoint.endpoint_id)
        if known is not None and revision < known:
            return
        self._entry_revisions[endpoint.endpoint_id] = revision
        believed = believed_entry(endpoint, self.view, revision, now_ms)
        if believed is not None:
            self.set_endpoint(believed, now_ms)

    def set_endpoint(self, endpoint: Endpoint, now_ms: int) -> None:
        """Apply an endpoint's newest entry."""
        self._cancel_expiry(endpoint.endpoint_id, now_ms)
        previous = self.view.endpoints.get(endpoint.endpoint_id)
        self._unconfirmed.append(EntryChange(endpoint_id=endpoint.endpoint_id, endpoint=endpoint))
        if previous == endpoint:
            return
        self._log_endpoint(endpoint, "draining" if endpoint.is_draining else "ready", now_ms)
        endpoints = {**self.view.endpoints, endpoint.endpoint_id: endpoint}
        self._apply(replace(self.view, endpoints=endpoints), now_ms)

    def remove_endpoint(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Remove an endpoint.

        One whose entry may have expired while the store was unavailable stays for
        `EXPIRY_GRACE_MS` after the store's recovery, as its entry may reappear.
        """
        endpoint = self.view.endpoints.get(endpoint_id)
        recovered_ms = self._store_recovered_ms
        may_reappear = recovered_ms is not None and now_ms - recovered_ms < EXPIRY_GRACE_MS
        expires_ms = None
        if recovered_ms is not None and may_reappear and endpoint and not endpoint.is_draining:
            expires_ms = recovered_ms + EXPIRY_GRACE_MS
            self._schedule_removal(endpoint_id, expires_ms, now_ms)
        else:
            self._remove_now(endpoint_id, now_ms)
        self._unconfirmed.append(
            EntryChange(endpoint_id=endpoint_id, endpoint=None, expires_ms=expires_ms)
        )

    def _schedule_removal(self, endpoint_id: EndpointId, until_ms: int, now_ms: int) -> None:
        """Remove an endpoint later, unless its entry reappears or it is to be removed already."""
        endpoint = self.view.endpoints.get(endpoint_id)
        if endpoint is not None and endpoint_id not in self.view.lapsing_ms:
            lapsing_ms = {**self.view.lapsing_ms, endpoint_id: until_ms}
            self._apply(replace(self.view, lapsing_ms=lapsing_ms), now_ms)
            self._log_endpoint(endpoint, "lapsed", now_ms)

    def _remove_now(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Remove an endpoint; an unknown one shows that its entry was missed."""
        if endpoint_id in self.view.endpoints:
            self._remove(endpoint_id, now_ms)
        else:
            self._apply_after_gap(self.view, now_ms)

    def retain_endpoints(self, endpoint_ids: frozenset[EndpointId], now_ms: int) -> None:
        """Remove all endpoints but these, after a read of the complete list."""
        self._has_other_changes = True
        for endpoint_id in self._entry_revisions.keys() - endpoint_ids:
            del self._entry_revisions[endpoint_id]
        for endpoint_id in tuple(self.view.endpoints.keys() - endpoint_ids):
            self.remove_endpoint(endpoint_id, now_ms)
        self._apply_after_gap(self.view, now_ms)

    def set_evacuated(self, failure_domain_ids: frozenset[FailureDomainId], now_ms: int) -> None:
        """Set the failure domains that get no requests."""
        if failure_domain_ids == self.view.evacuated:
            return
        self._has_other_changes = True
        _LOGGER.info(
            "View: evacuated failure domains are %s",
            sorted(failure_domain_ids),
            extra={"event": "evacuation", "domains": sorted(failure_domain_ids)},
        )
        self._apply(replace(self.view, evacuated=failure_domain_ids), now_ms)

    def set_evacuation(
        self, failure_domain_id: FailureDomainId, is_evacuated: bool, now_ms: int
    ) -> None:
        """Apply a change of one failure domain's evacuation."""
        self._end_evacuation_grace({failure_domain_id}, now_ms)
        others = self.view.evacuated - {failure_domain_id}
        self.set_evacuated(others | {failure_domain_id} if is_evacuated else others, now_ms)

    def retain_evacuated(self, failure_domain_ids: frozenset[FailureDomainId], now_ms: int) -> None:
        """Set the evacuated failure domains to these and those in their grace, after a list."""
        self._end_evacuation_grace(failure_domain_ids, now_ms)
        self.set_evacuated(failure_domain_ids | set(self.view.lapsing_evacuations_ms), now_ms)

    def _end_evacuation_grace(self, failure_domain_ids: Set[FailureDomainId], now_ms: int) -> None:
        lapsing_ms = self.view.lapsing_evacuations_ms
        if failure_domain_ids & lapsing_ms.keys():
            left_ms = {key: at for key, at in lapsing_ms.items() if key not in failure_domain_ids}
            self._apply(replace(self.view, lapsing_evacuations_ms=left_ms), now_ms)

    def tick(self, now_ms: int) -> None:
        """Remove expired endpoints and evacuations that did not reappear in time."""
        for domain_id, until_ms in tuple(self.view.lapsing_evacuations_ms.items()):
            if until_ms <= now_ms:
                self.set_evacuation(domain_id, False, now_ms)
        for endpoint_id, until_ms in tuple(self.view.lapsing_ms.items()):
            if until_ms <= now_ms:
                self._remove(endpoint_id, now_ms)

    def merge_peer_view(self, view: FleetView, source: str, now_ms: int) -> None:
        """Replace the view by a peer's if it was confirmed later and has no lower revision.

        The configuration is taken if its version is newer, whatever the rest of the view is: a
        store that came back from an older copy may show an older version under a later revision.
        """
        if view.configuration is not None:
            self.set_configuration(view.configuration, source, now_ms)
        if self.view.revision and (
            view.confirmed_ms <= self.view.confirmed_ms
            or view.store_revision < self.view.store_revision
        ):
            return
        self._log_differences(view, now_ms)
        endpoints = _with_known_versions(view.endpoints, self.view.endpoints)
        for endpoint_id in self._entry_revisions.keys() - endpoints.keys():
            del self._entry_revisions[endpoint_id]
        self._take_changes(view.store_revision)
        self._apply_after_gap(
            replace(
                view,
                configuration=self.view.configuration,
                endpoints=endpoints,
                first_list=max(view.first_list, self.view.first_list),
                removals={**self.view.removals, **view.removals},
            ),
            now_ms,
        )

    def _log_differences(self, view: FleetView, now_ms: int) -> None:
        """Log the endpoints that a peer's view changes."""
        for endpoint_id, endpoint in view.endpoints.items():
            if self.view.endpoints.get(endpoint_id) != endpoint:
                state = "draining" if endpoint.is_draining else "ready"
                self._log_endpoint(endpoint, state, now_ms)
        for endpoint_id in self.view.endpoints.keys() - view.endpoints.keys():
            self._log_endpoint(self.view.endpoints[endpoint_id], "gone", now_ms)

    def _cancel_expiry(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Cancel the scheduled removal of an endpoint."""
        if endpoint_id in self.view.lapsing_ms:
            lapsing_ms = {
                key: until_ms
                for key, until_ms in self.view.lapsing_ms.items()
                if key != endpoint_id
            }
            self._apply(replace(self.view, lapsing_ms=lapsing_ms), now_ms)

    def _remove(self, endpoint_id: EndpointId, now_ms: int) -> None:
        self._cancel_expiry(endpoint_id, now_ms)
        self._entry_revisions.pop(endpoint_id, None)
        endpoint = self.view.endpoints.get(endpoint_id)
        if endpoint is None:
            return
        self._log_endpoint(endpoint, "gone", now_ms)
        endpoints = {key: item for key, item in self.view.endpoints.items() if key != endpoint_id}
        view = with_removal(self.view, endpoint, now_ms)
        self._apply(replace(view, endpoints=endpoints), now_ms)

    def _apply(self, view: FleetView, now_ms: int) -> None:
        """Set the view and call the listener."""
        previous, self.view = self.view, view
        changed = (
            previous.configuration is not view.configuration
            or previous.endpoints is not view.endpoints
            or previous.evacuated != view.evacuated
            or self.is_gap
        )
        self._listener(view, changed, now_ms)

    def _apply_after_gap(self, view: FleetView, now_ms: int) -> None:
        """Set a view between which and the one before changes may have been missed."""
        self.is_gap = True
        try:
            self._apply(view, now_ms)
        finally:
            self.is_gap = False

    def _log_endpoint(self, endpoint: Endpoint, state: str, now_ms: int) -> None:
        _LOGGER.info(
            "View: endpoint %s is %s",
            endpoint.endpoint_id,
            state,
            extra={
                "event": "endpoint",
                "endpoint": endpoint.endpoint_id,
                "service": endpoint.service,
                "software_version": endpoint.software_version,
                "state": state,
                "cold_ms": max(0, endpoint.cold_until_ms - now_ms),
                "revision": self.view.revision,
                "view_age_ms": now_ms - self.view.confirmed_ms,
            },
        )


def _with_known_versions(
    endpoints: Mapping[EndpointId, Endpoint], known: Mapping[EndpointId, Endpoint]
) -> dict[EndpointId, Endpoint]:
    """Return endpoints with the software versions that a peer of an older build left out."""

    def with_version(endpoint: Endpoint) -> Endpoint:
        previous = known.get(endpoint.endpoint_id)
        if endpoint.software_version or previous is None or previous.born_ms != endpoint.born_ms:
            return endpoint
        return replace(endpoint, software_version=previous.software_version)

    return {key: with_version(endpoint) for key, endpoint in endpoints.items()}
