"""The VM list in use, and the rule by which a lower version replaces it."""

from __future__ import annotations

from wagtailusher_integrations.vm_list.const import DEFAULT_RESET_AFTER_MS
from wagtailusher_integrations.vm_list.models import VmList


class VmListCache:
    """Accepts higher versions at once, and lower ones after they persist for a time."""

    def __init__(self, reset_after_ms: int = DEFAULT_RESET_AFTER_MS) -> None:
        self._reset_after_ms = reset_after_ms
        self._current: VmList | None = None
        self._lower_since_ms: int | None = None

    @property
    def current(self) -> VmList | None:
        """Return the list in use."""
        return self._current

    def update(self, candidate: VmList, now_ms: int) -> bool:
        """Use a list if its version allows; return whether the list in use changed."""
        current = self._current
        if current is None or candidate.version > current.version:
            self._lower_since_ms = None
            self._current = candidate
            return True
        if candidate.version == current.version:
            self._lower_since_ms = None
            return False
        if self._lower_since_ms is None:
            self._lower_since_ms = now_ms
        if now_ms - self._lower_since_ms < self._reset_after_ms:
            return False
        self._lower_since_ms = None
        self._current = candidate
        return True
