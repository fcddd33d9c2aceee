"""The current settings, entry VMs and endpoints."""

from __future__ import annotations

from collections.abc import Callable, Iterable
import logging

from wagtailusher_core import EndpointId, PublishedVm, VmId, callback
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.metrics import EntryMetrics
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.settings_validator import ApplyResult, SettingsValidator
from wagtailusher_placement import EndpointInfo
from wagtailusher_settings import Applied, FleetPolicy, Rejected, Settings, SettingsCache

_LOGGER = logging.getLogger(__name__)


class FleetView:
    """Holds the last valid settings and published lists, and passes changes to the decider."""

    def __init__(
        self, node: RouterNode, metrics: EntryMetrics, on_applied: Callable[[FleetPolicy], None]
    ) -> None:
        """Start empty; `on_applied` is called with the fleet policy of applied settings."""
        self._on_applied = on_applied
        self._node = node
        self._metrics = metrics
        self.settings_cache = SettingsCache()
        self.validator = SettingsValidator(self.settings_cache, self.handle_settings_result)
        self.published: tuple[PublishedVm, ...] = ()
        self.list_version = 0
        self.endpoints: dict[EndpointId, EndpointInfo] = {}

    @property
    def settings(self) -> Settings | None:
        """Return the current settings, or None before the first ones were applied."""
        return self.settings_cache.current

    @callback
    def handle_settings_result(self, result: ApplyResult) -> None:
        """Apply the result of a settings document; one rejected or not newer changes nothing."""
        if isinstance(result, Rejected):
            _LOGGER.warning("Settings: document rejected: %s", "; ".join(map(str, result.problems)))
        if not isinstance(result, Applied):
            return
        settings = result.settings
        _LOGGER.info("Settings: applied revision %s", settings.revision)
        self._metrics.revision.set({}, settings.revision.number)
        self._on_applied(settings.fleet)
        self._node.apply(
            self._node.decider.update_drained_domains(
                settings.fleet.drained_domains, monotonic_ms()
            )
        )

    @callback
    def apply_published(
        self, vms: Iterable[PublishedVm], endpoints: Iterable[EndpointInfo], version: int
    ) -> None:
        """Replace the entry VMs and endpoints with the platform's published lists."""
        now_ms = monotonic_ms()
        self.published = tuple(vms)
        self.list_version = version
        self.endpoints = {info.endpoint_id: info for info in endpoints}
        self._node.decider.update_published(self.published, now_ms, version)
        self._node.apply(self._node.decider.update_endpoints(self.endpoints.values(), now_ms))

    @callback
    def confirm_published(self, version: int, read_started_ms: int) -> None:
        """Record that a read started at a given time returned the current list version."""
        if version == self.list_version:
            self._node.decider.update_published(
                self.published, monotonic_ms(), version, read_started_ms
            )

    def address_of_vm(self, vm_id: VmId) -> str | None:
        """Return the address at which a listed VM serves callers, or None."""
        return next((vm.address for vm in self.published if vm.vm_id == vm_id), None)

    def peer_address_of(self, vm_id: VmId) -> str | None:
        """Return the address at which a listed VM receives datagrams, or None."""
        return next((vm.peer_address for vm in self.published if vm.vm_id == vm_id), None)
