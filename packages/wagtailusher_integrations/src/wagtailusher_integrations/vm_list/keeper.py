"""The last good list, and when a lower version replaces it."""

from __future__ import annotations

from wagtailusher_integrations.vm_list.const import DEFAULT_RESET_AFTER_MS
from wagtailusher_integrations.vm_list.models import VmList


class VmListKeeper:
    """Takes higher versions at once, and lower ones when they last."""

    def __init__(self, reset_after_ms: int = DEFAULT_RESET_AFTER_MS) -> None:
        """Start without a list."""
        self._reset_after_ms = reset_after_ms
        self._current: VmList | None = None
        self._lower_since_ms: int | None = None

    @property
    def current(self) -> VmList | None:
        """Return the list in use."""
        return self._current

    def offer(self, offered: VmList, now_ms: int) -> bool:
        """Return whether a list is now the one in use and was not before."""
        current = self._current
        if current is None or offered.version > current.version:
            self._lower_since_ms = None
            self._current = offered
            return True
        if offered.version == current.version:
            self._lower_since_ms = None
            return False
        if self._lower_since_ms is None:
            self._lower_since_ms = now_ms
        if now_ms - self._lower_since_ms < self._reset_after_ms:
            return False
        self._lower_since_ms = None
        self._current = offered
        return True
