"""Reads and watches settings in the platform's configuration service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from wagtailusher_core import WagtailusherError, callback
from wagtailusher_http import HttpClient
from wagtailusher_integrations.config_service.const import DEFAULT_KEY, MS_PER_S, PATH_VALUE
from wagtailusher_integrations.config_service.exceptions import (
    ChunkMismatchError,
    MalformedValueError,
)
from wagtailusher_integrations.config_service.long_poll import LongPoll
from wagtailusher_integrations.config_service.models import (
    LongPollLimits,
    PolledValue,
    PollStatus,
    ServiceContent,
)
from wagtailusher_settings import (
    ChunkAssembler,
    ChunkReference,
    SettingsError,
    canonical_bytes,
    is_json,
    parse_manifest,
    parse_revision,
)

_LOGGER = logging.getLogger(__name__)

ContentListener = Callable[[ServiceContent], None]


class ConfigServiceCoordinator:
    """Watches one key; keeps the last content while the service is unavailable or stale.

    Contents are passed to the listener as they are read. The listener decides whether one is valid
    and newer than the settings in force.
    """

    def __init__(
        self,
        client: HttpClient,
        address: str,
        *,
        seed: int,
        on_content: ContentListener | None = None,
        key: str = DEFAULT_KEY,
        limits: LongPollLimits | None = None,
    ) -> None:
        self._poll = LongPoll(client, address, seed=seed, limits=limits)
        self._path = PATH_VALUE.format(key=key)
        self._on_content = on_content
        self._assembler = ChunkAssembler()
        self._version: int | None = None
        self._last_content: ServiceContent | None = None
        self._stale_answers = 0
        self._active = asyncio.Event()
        self._active.set()

    @property
    def last_content(self) -> ServiceContent | None:
        """Return the content with the highest revision read so far."""
        return self._last_content

    @property
    def stale_answers(self) -> int:
        """Return how many answers had a lower revision than one read before."""
        return self._stale_answers

    @property
    def status(self) -> PollStatus:
        """Return the counters and the last problem of reading."""
        return self._poll.status

    @callback
    def set_active(self, active: bool) -> None:
        """Start or stop watching; a pending call is not aborted."""
        if active:
            self._active.set()
        else:
            self._active.clear()

    async def async_read(self) -> ServiceContent | None:
        """Read once without waiting for a change; None when the value has not changed."""
        return await self._async_step(None)

    async def async_wait_for_change(self) -> ServiceContent | None:
        """Wait for a change, at most `wait_ms` of the limits; None when there was none."""
        return await self._async_step(self._version)

    async def async_run(self) -> None:
        """Watch until cancelled."""
        while True:
            await self._active.wait()
            try:
                await self._async_step(self._version)
            except WagtailusherError as error:
                _LOGGER.warning(
                    "Config service: reading failed, the last settings stay in use: %s",
                    error.message,
                )
                await self._poll.async_pause()
                continue
            await asyncio.sleep(self._poll.limits.min_interval_ms / MS_PER_S)

    async def _async_step(self, version: int | None) -> ServiceContent | None:
        """Make one read or watch, and record a failure."""
        try:
            return await self._async_fetch_content(version)
        except WagtailusherError as error:
            self._poll.record_failure(error)
            raise

    async def _async_fetch_content(self, version: int | None) -> ServiceContent | None:
        """Make one read or watch; store its content and notify the listener."""
        value = await self._poll.async_fetch(self._path, version)
        if value is None:
            self._poll.record_unchanged(_now_ms())
            return None
        try:
            content = await self._async_read_document(value)
            revision = parse_revision(content)
        except SettingsError as error:
            self._version = value.version
            raise MalformedValueError(f"{self._path}: {error.message}", code=error.code) from error
        self._version = value.version
        now_ms = _now_ms()
        self._poll.record_success(now_ms)
        read_content = ServiceContent(revision=revision, content=content, read_ms=now_ms)
        self._store_and_notify(read_content)
        return read_content

    async def _async_read_document(self, value: PolledValue) -> bytes:
        """Return a value's document in canonical form; read a manifest's chunks first."""
        manifest = parse_manifest(value.content)
        if manifest is None:
            # A JSON text that is cut can't be parsed, a YAML text can.
            if value.ends_with_connection and not is_json(value.content):
                raise MalformedValueError(f"{self._path}: the service stated no length")
            return canonical_bytes(value.content)
        for chunk in self._assembler.set_manifest(manifest):
            await self._async_read_chunk(chunk)
        document = self._assembler.assemble()
        if document is None:
            raise ChunkMismatchError(f"{self._path}: a chunk is missing")
        return document

    async def _async_read_chunk(self, chunk: ChunkReference) -> None:
        """Read one chunk that the manifest lists."""
        value = await self._poll.async_fetch(PATH_VALUE.format(key=chunk.key))
        if value is None or not self._assembler.add_chunk(value.content):
            raise ChunkMismatchError(f"{chunk.key}: the value is not the chunk in the manifest")

    @callback
    def _store_and_notify(self, read_content: ServiceContent) -> None:
        """Store a content unless it is older, and notify the listener."""
        last = self._last_content
        if last is not None and read_content.revision < last.revision:
            self._stale_answers += 1
            _LOGGER.warning(
                "Config service: revision %s is older than %s, which was read before",
                read_content.revision,
                last.revision,
            )
        else:
            self._last_content = read_content
        if self._on_content is not None:
            self._on_content(read_content)


def _now_ms() -> int:
    """Return the event loop's time in milliseconds."""
    return int(asyncio.get_running_loop().time() * MS_PER_S)
