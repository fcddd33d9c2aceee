"""Reads and watches the settings that the platform's configuration service holds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from wagtailusher_core import WagtailusherError, callback
from wagtailusher_http import HttpClient
from wagtailusher_integrations.config_service.const import DEFAULT_KEY, MS_PER_S, PATH_VALUE
from wagtailusher_integrations.config_service.exceptions import GarbledValueError, TornValueError
from wagtailusher_integrations.config_service.long_poll import LongPoll
from wagtailusher_integrations.config_service.models import (
    LongPollLimits,
    PollStatus,
    ServiceContent,
)
from wagtailusher_settings import (
    ChunkAssembler,
    ChunkReference,
    SettingsError,
    canonical_bytes,
    parse_manifest,
    parse_revision,
)

_LOGGER = logging.getLogger(__name__)

ContentListener = Callable[[ServiceContent], None]


class ConfigServiceCoordinator:
    """Owns the watch on one key; the last good content stays while the service is down or stale.

    Contents go to the listener as they are read. Whether one is valid and newer than what is in
    force is decided by the listener.
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
        """Prepare a watch that `async_run` carries out."""
        self._poll = LongPoll(client, address, seed=seed, limits=limits)
        self._path = PATH_VALUE.format(key=key)
        self._on_content = on_content
        self._assembler = ChunkAssembler()
        self._version: int | None = None
        self._last: ServiceContent | None = None
        self._stale_answers = 0
        self._active = asyncio.Event()
        self._active.set()

    @property
    def last_content(self) -> ServiceContent | None:
        """Return the content with the highest revision read so far."""
        return self._last

    @property
    def stale_answers(self) -> int:
        """Return how many answers had a lower revision than one read before."""
        return self._stale_answers

    @property
    def status(self) -> PollStatus:
        """Return how reading goes."""
        return self._poll.status

    @callback
    def set_active(self, active: bool) -> None:
        """Start or stop watching; a call that waits already is not broken off."""
        if active:
            self._active.set()
        else:
            self._active.clear()

    async def async_read(self) -> ServiceContent | None:
        """Read once without waiting for a change; None when the value has not changed."""
        return await self._async_step(None)

    async def async_wait_for_change(self) -> ServiceContent | None:
        """Wait once for a change, up to the wait of a call; None when there was none."""
        return await self._async_step(self._version)

    async def async_run(self) -> None:
        """Watch until cancelled."""
        while True:
            await self._active.wait()
            try:
                await self._async_step(self._version)
            except WagtailusherError as error:
                _LOGGER.warning("Config service: no new settings: %s", error.message)
                await self._poll.async_pause()
                continue
            await asyncio.sleep(self._poll.limits.min_interval_ms / MS_PER_S)

    async def _async_step(self, version: int | None) -> ServiceContent | None:
        """Make one read or watch, and note how it went."""
        try:
            return await self._async_take(version)
        except WagtailusherError as error:
            self._poll.failed(error)
            raise

    async def _async_take(self, version: int | None) -> ServiceContent | None:
        """Make one read or watch and pass on what it gave."""
        value = await self._poll.async_call(self._path, version)
        if value is None:
            self._poll.unchanged(_now_ms())
            return None
        try:
            content = await self._async_whole(value.content)
            revision = parse_revision(content)
        except SettingsError as error:
            self._version = value.version
            raise GarbledValueError(f"{self._path}: {error.message}", code=error.code) from error
        self._version = value.version
        now_ms = _now_ms()
        self._poll.succeeded(now_ms)
        found = ServiceContent(revision=revision, content=content, read_ms=now_ms)
        self._keep(found)
        return found

    async def _async_whole(self, content: bytes) -> bytes:
        """Return a whole document in canonical form; a manifest's chunks are read first."""
        manifest = parse_manifest(content)
        if manifest is None:
            return canonical_bytes(content)
        for chunk in self._assembler.set_manifest(manifest):
            await self._async_read_chunk(chunk)
        whole = self._assembler.assemble()
        if whole is None:
            raise TornValueError(f"{self._path}: a chunk is missing")
        return whole

    async def _async_read_chunk(self, chunk: ChunkReference) -> None:
        """Read one chunk that the manifest names."""
        value = await self._poll.async_call(PATH_VALUE.format(key=chunk.key))
        if value is None or not self._assembler.add_chunk(value.content):
            raise TornValueError(f"{chunk.key}: not the chunk that the manifest names")

    @callback
    def _keep(self, found: ServiceContent) -> None:
        """Keep a content unless it is older, and tell the listener."""
        last = self._last
        if last is not None and found.revision < last.revision:
            self._stale_answers += 1
            _LOGGER.warning(
                "Config service: revision %s is older than %s", found.revision, last.revision
            )
        else:
            self._last = found
        if self._on_content is not None:
            self._on_content(found)


def _now_ms() -> int:
    """Return the event loop's time."""
    return int(asyncio.get_running_loop().time() * MS_PER_S)
