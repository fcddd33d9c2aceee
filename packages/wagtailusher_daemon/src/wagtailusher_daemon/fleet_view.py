"""What this process knows of the platform: settings, entry VMs and endpoints."""

from __future__ import annotations

from collections.abc import Callable, Iterable
import logging

from wagtailusher_core import EndpointId, PublishedVm, VmId, callback
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.metrics import EntryMetrics
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.settings_gate import SettingsGate, Taken
from wagtailusher_placement import EndpointInfo
from wagtailusher_settings import Applied, FleetPolicy, Rejected, Settings, SettingsCache

_LOGGER = logging.getLogger(__name__)


class FleetView:
    """Keeps the last good word of the platform and hands changes to the decider."""

    def __init__(
        self, node: RouterNode, metrics: EntryMetrics, applied: Callable[[FleetPolicy], None]
    ) -> None:
        """Start knowing nothing; `applied` is told of the fleet's values put in force."""
        self._applied = applied
        self._node = node
        self._metrics = metrics
        self.settings_cache = SettingsCache()
        self.gate = SettingsGate(self.settings_cache, self.take_settings)
        self.published: tuple[PublishedVm, ...] = ()
        self.list_version = 0
        self.endpoints: dict[EndpointId, EndpointInfo] = {}

    @property
    def settings(self) -> Settings | None:
        """Return the settings in force."""
        return self.settings_cache.current

    @callback
    def take_settings(self, result: Taken) -> None:
        """Take what became of a settings document; a bad or older one changes nothing."""
        if isinstance(result, Rejected):
            _LOGGER.warning("Settings: refused: %s", "; ".join(map(str, result.problems)))
        if not isinstance(result, Applied):
            return
        settings = result.settings
        _LOGGER.info("Settings: revision %s is in force", settings.revision)
        self._metrics.revision.set({}, settings.revision.number)
        self._applied(settings.fleet)
        self._node.apply(
            self._node.decider.update_drained_domains(
                settings.fleet.drained_domains, monotonic_ms()
            )
        )

    @callback
    def offer_published(
        self, vms: Iterable[PublishedVm], endpoints: Iterable[EndpointInfo], version: int
    ) -> None:
        """Take the platform's lists of entry VMs and endpoints."""
        now_ms = monotonic_ms()
        self.published = tuple(vms)
        self.list_version = version
        self.endpoints = {info.endpoint_id: info for info in endpoints}
        self._node.decider.update_published(self.published, now_ms, version)
        self._node.apply(self._node.decider.update_endpoints(self.endpoints.values(), now_ms))

    @callback
    def confirm_published(self, version: int, read_started_ms: int) -> None:
        """Note that a reading, begun at a time, gave the list at hand."""
        if version == self.list_version:
            self._node.decider.update_published(
                self.published, monotonic_ms(), version, read_started_ms
            )

    def address_of_vm(self, vm_id: VmId) -> str | None:
        """Return the address at which a VM serves callers."""
        return next((vm.address for vm in self.published if vm.vm_id == vm_id), None)

    def peer_address_of(self, vm_id: VmId) -> str | None:
        """Return the address at which a VM's process receives datagrams."""
        return next((vm.peer_address for vm in self.published if vm.vm_id == vm_id), None)
