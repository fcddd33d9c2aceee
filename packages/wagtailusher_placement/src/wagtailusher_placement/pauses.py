"""Doubt in the published list after a pause of the process."""

from __future__ import annotations


class PauseWatch:
    """Notices pauses, and whether the list changed meanwhile.

    The doubt ends with a reading that began after the pause. Another VM may have come to rights
    only under a version of the list other than the one at hand before the pause.
    """

    __slots__ = ("_awake_at_ms", "_doubts_from_ms", "_tolerance_ms", "_version")

    def __init__(self, tolerance_ms: int) -> None:
        """Start awake and without doubt."""
        self._tolerance_ms = tolerance_ms
        self._awake_at_ms: int | None = None
        self._doubts_from_ms: int | None = None
        self._version = 0

    @property
    def has_doubt(self) -> bool:
        """Return whether the list is to be read before anything is based on it."""
        return self._doubts_from_ms is not None

    def wake(self, now_ms: int, version: int) -> None:
        """Note that the process runs, going by a version of the list."""
        before_ms = self._awake_at_ms
        self._awake_at_ms = now_ms
        if before_ms is None or now_ms - before_ms <= self._tolerance_ms:
            return
        if self._doubts_from_ms is None:
            self._version = version
        self._doubts_from_ms = now_ms

    def end_doubt(self, version: int, read_started_ms: int) -> bool:
        """Take a reading in; return whether it ends a doubt with another version, or with none."""
        if self._doubts_from_ms is None or read_started_ms < self._doubts_from_ms:
            return False
        self._doubts_from_ms = None
        return not version or version != self._version
