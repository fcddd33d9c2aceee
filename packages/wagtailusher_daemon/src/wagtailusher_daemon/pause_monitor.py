"""Detects pauses of this process and rereads the VM list after one."""

from __future__ import annotations

import logging

from wagtailusher_core import WagtailusherError, callback
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.fleet_view import FleetView
from wagtailusher_integrations.vm_list import VmListCoordinator

_LOGGER = logging.getLogger(__name__)


class PauseMonitor:
    """After a pause, leases are suspended until a read of the list begun after it succeeds."""

    def __init__(
        self, coordinator: VmListCoordinator, view: FleetView, pause_tolerance_ms: int
    ) -> None:
        self._coordinator = coordinator
        self._view = view
        self._pause_tolerance_ms = pause_tolerance_ms
        self._last_tick_ms = monotonic_ms()
        self._is_read_due = False

    @callback
    def tick(self) -> None:
        """Check for a pause since the last tick and schedule a read of the list after one."""
        now_ms = monotonic_ms()
        paused_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if paused_ms > self._pause_tolerance_ms:
            _LOGGER.info("Daemon: process was paused for %s ms; rereading the VM list", paused_ms)
            self._is_read_due = True

    async def async_read(self) -> None:
        """Read the list if a read is due; a failed read is retried at the next call."""
        if not self._is_read_due:
            return
        read_started_ms = monotonic_ms()
        try:
            vm_list = await self._coordinator.async_read()
        except WagtailusherError as err:
            _LOGGER.info("VM list: could not be read after a pause, retrying: %s", err.code)
            return
        if vm_list is not None:
            self._is_read_due = False
            self._view.confirm_published(vm_list.version, read_started_ms)
