"""Parses each settings document once, off the event loop where it is read from the service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wagtailusher_core import Revision, callback
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_settings import (
    Applied,
    NotNewer,
    ParsedDocument,
    Rejected,
    Settings,
    SettingsCache,
)

Taken = Applied | Rejected | NotNewer


class SettingsGate:
    """Validates documents for the configuration decider and hands those in force on."""

    def __init__(self, settings_cache: SettingsCache, take: Callable[[Taken], None]) -> None:
        """Hand what the keeper decides to a function."""
        self._settings_cache = settings_cache
        self._take = take
        self._content = b""
        self._prepared: ParsedDocument | None = None

    async def async_prepare(self, content: bytes) -> None:
        """Parse a document in a thread, ahead of its validation."""
        prepared = await asyncio.to_thread(self._settings_cache.prepare, content)
        self._content, self._prepared = content, prepared

    @callback
    def validate(self, revision: Revision, content: bytes) -> str | None:
        """Return why a document is not valid, or None; a refusal is kept for operators."""
        prepared = self._parsed(content)
        if prepared.error is not None:
            self._take(self._settings_cache.apply(prepared, monotonic_ms()))
            return prepared.error.message
        found = prepared.settings or self._in_force(prepared)
        if found is None:
            return "the document was refused before"
        if found.revision != revision:
            return f"the document says revision {found.revision}, not {revision}"
        return None

    def _in_force(self, prepared: ParsedDocument) -> Settings | None:
        """Return the settings in force when a document is what they were read from."""
        current = self._settings_cache.current
        if current is None or current.content_digest != prepared.digest:
            return None
        return current

    @callback
    def apply(self, content: bytes) -> None:
        """Put a validated document in force."""
        self._take(self._settings_cache.apply(self._parsed(content), monotonic_ms()))

    def _parsed(self, content: bytes) -> ParsedDocument:
        """Return a parsed document, the last one without parsing it again."""
        if self._prepared is None or content != self._content:
            self._content, self._prepared = content, self._settings_cache.prepare(content)
        return self._prepared
