"""Detection of process pauses, after which the published list has to be read again."""

from __future__ import annotations


class PauseDetector:
    """Detects pauses of the process, and whether the published list changed meanwhile.

    After a pause the list is unconfirmed until a read of it that began after the pause. Another VM
    can have become steward only under a list version other than the one used before the pause.
    """

    __slots__ = (
        "_last_check_ms",
        "_unconfirmed_since_ms",
        "_tolerance_ms",
        "_version_before_pause",
    )

    def __init__(self, tolerance_ms: int) -> None:
        """Treat longer gaps between checks than `tolerance_ms` as pauses."""
        self._tolerance_ms = tolerance_ms
        self._last_check_ms: int | None = None
        self._unconfirmed_since_ms: int | None = None
        self._version_before_pause = 0

    @property
    def needs_reread(self) -> bool:
        """Return whether the list must be read again before decisions rely on it."""
        return self._unconfirmed_since_ms is not None

    def check_pause(self, now_ms: int, version: int) -> None:
        """Check for a pause since the last call; `version` is that of the list in use."""
        last_check_ms = self._last_check_ms
        self._last_check_ms = now_ms
        if last_check_ms is None or now_ms - last_check_ms <= self._tolerance_ms:
            return
        if self._unconfirmed_since_ms is None:
            self._version_before_pause = version
        self._unconfirmed_since_ms = now_ms

    def confirm_list(self, version: int, read_started_ms: int) -> bool:
        """Apply a read of the list; return whether the list changed, or may have, during a pause.

        A read that began before the end of the pause confirms nothing. A version of 0 means that
        the list has no version, so it may have changed.
        """
        if self._unconfirmed_since_ms is None or read_started_ms < self._unconfirmed_since_ms:
            return False
        self._unconfirmed_since_ms = None
        return not version or version != self._version_before_pause
