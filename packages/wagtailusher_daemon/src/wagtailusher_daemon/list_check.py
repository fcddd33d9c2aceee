"""Notices pauses of this process and has the list of VMs read anew after one."""

from __future__ import annotations

import logging

from wagtailusher_core import WagtailusherError, callback
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.fleet_view import FleetView
from wagtailusher_integrations.vm_list import VmListCoordinator

_LOGGER = logging.getLogger(__name__)


class ListCheck:
    """Leases wait after a pause until a reading that began after it gave a list."""

    def __init__(
        self, coordinator: VmListCoordinator, view: FleetView, pause_tolerance_ms: int
    ) -> None:
        """Start awake."""
        self._coordinator = coordinator
        self._view = view
        self._pause_tolerance_ms = pause_tolerance_ms
        self._ticked_ms = monotonic_ms()
        self._is_due = False

    @callback
    def tick(self) -> None:
        """Note that the process runs."""
        now_ms = monotonic_ms()
        paused_ms = now_ms - self._ticked_ms
        self._ticked_ms = now_ms
        if paused_ms > self._pause_tolerance_ms:
            _LOGGER.info("Daemon: paused for %s ms", paused_ms)
            self._is_due = True

    async def async_read(self) -> None:
        """Read the list if that is due; after a failure the next turn tries again."""
        if not self._is_due:
            return
        read_started_ms = monotonic_ms()
        try:
            vm_list = await self._coordinator.async_read()
        except WagtailusherError as err:
            _LOGGER.info("VM list: not read after a pause: %s", err.code)
            return
        if vm_list is not None:
            self._is_due = False
            self._view.confirm_published(vm_list.version, read_started_ms)
