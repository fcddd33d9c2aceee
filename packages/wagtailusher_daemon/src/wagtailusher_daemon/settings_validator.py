"""Parses each settings document once, in a thread when it comes from the service."""

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

ApplyResult = Applied | Rejected | NotNewer


class SettingsValidator:
    """Validates settings documents for the configuration decider and applies valid ones."""

    def __init__(
        self, settings_cache: SettingsCache, on_result: Callable[[ApplyResult], None]
    ) -> None:
        """Call `on_result` with the cache's result for each rejected or applied document."""
        self._settings_cache = settings_cache
        self._on_result = on_result
        self._content = b""
        self._prepared: ParsedDocument | None = None

    async def async_prepare(self, content: bytes) -> None:
        """Parse a document in a thread before it is validated."""
        prepared = await asyncio.to_thread(self._settings_cache.prepare, content)
        self._content, self._prepared = content, prepared

    @callback
    def validate(self, revision: Revision, content: bytes) -> str | None:
        """Return why a document is invalid, or None; a parse error is kept for operators."""
        prepared = self._parse(content)
        if prepared.error is not None:
            self._on_result(self._settings_cache.apply(prepared, monotonic_ms()))
            return prepared.error.message
        parsed_settings = prepared.settings or self._matching_current(prepared)
        if parsed_settings is None:
            return "this document was rejected before"
        if parsed_settings.revision != revision:
            return f"the document has revision {parsed_settings.revision}, expected {revision}"
        return None

    def _matching_current(self, prepared: ParsedDocument) -> Settings | None:
        """Return the current settings if they were read from the same document."""
        current = self._settings_cache.current
        if current is None or current.content_digest != prepared.digest:
            return None
        return current

    @callback
    def apply(self, content: bytes) -> None:
        """Apply a validated document."""
        self._on_result(self._settings_cache.apply(self._parse(content), monotonic_ms()))

    def _parse(self, content: bytes) -> ParsedDocument:
        """Return a parsed document; the last one is not parsed again."""
        if self._prepared is None or content != self._content:
            self._content, self._prepared = content, self._settings_cache.prepare(content)
        return self._prepared
