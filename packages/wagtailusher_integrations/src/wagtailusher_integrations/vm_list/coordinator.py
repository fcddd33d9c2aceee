"""Watches the platform's list of live and leaving VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from wagtailusher_core import WagtailusherError, callback
from wagtailusher_http import HttpClient
from wagtailusher_integrations.config_service import LongPoll, LongPollLimits, PollStatus
from wagtailusher_integrations.vm_list.const import PATH_LIST
from wagtailusher_integrations.vm_list.models import VmList, parse_vm_list
from wagtailusher_integrations.vm_list.vm_list_cache import VmListCache

_LOGGER = logging.getLogger(__name__)

_MS_PER_S = 1_000

ListListener = Callable[[VmList], None]


class VmListCoordinator:
    """Watches the list; keeps the last valid one while the platform is unavailable or stale."""

    def __init__(
        self,
        client: HttpClient,
        address: str,
        *,
        seed: int,
        on_update: ListListener | None = None,
        limits: LongPollLimits | None = None,
        vm_list_cache: VmListCache | None = None,
    ) -> None:
        self._poll = LongPoll(client, address, seed=seed, limits=limits)
        self._on_update = on_update
        self._vm_list_cache = vm_list_cache or VmListCache()
        self._version: int | None = None
        self._older_list: VmList | None = None

    @property
    def current(self) -> VmList | None:
        """Return the list in use."""
        return self._vm_list_cache.current

    @property
    def status(self) -> PollStatus:
        """Return the counters and the last problem of reading."""
        return self._poll.status

    async def async_read(self) -> VmList | None:
        """Read once without waiting for a change, and return the list in use."""
        await self._async_step(None)
        return self.current

    async def async_run(self) -> None:
        """Watch until cancelled."""
        while True:
            try:
                await self._async_step(self._version)
            except WagtailusherError as error:
                _LOGGER.warning(
                    "VM list: reading failed, the last list stays in use: %s", error.message
                )
                await self._poll.async_pause()
                continue
            await asyncio.sleep(self._poll.limits.min_interval_ms / _MS_PER_S)

    async def _async_step(self, version: int | None) -> None:
        """Make one read or watch, and record a failure."""
        try:
            await self._async_fetch_list(version)
        except WagtailusherError as error:
            self._poll.record_failure(error)
            raise

    async def _async_fetch_list(self, version: int | None) -> None:
        """Make one read or watch and update the cache with its list.

        An answer without a change repeats an older list, so that it is accepted once it persists.
        """
        value = await self._poll.async_fetch(PATH_LIST, version)
        now_ms = int(asyncio.get_running_loop().time() * _MS_PER_S)
        if value is None:
            self._poll.record_unchanged(now_ms)
            if self._older_list is not None:
                self._update_and_notify(self._older_list, now_ms)
            return
        self._version = value.version
        self._update_and_notify(parse_vm_list(value.content), now_ms)
        self._poll.record_success(now_ms)

    @callback
    def _update_and_notify(self, candidate: VmList, now_ms: int) -> None:
        """Update the cache with a list, and notify the listener if it is now in use."""
        is_new = self._vm_list_cache.update(candidate, now_ms)
        current = self._vm_list_cache.current
        is_older = current is not None and candidate.version < current.version
        if is_older and self._older_list is None:
            _LOGGER.warning("VM list: version %s is older than the one in use", candidate.version)
        self._older_list = candidate if is_older else None
        if is_new and self._on_update is not None:
            self._on_update(candidate)
