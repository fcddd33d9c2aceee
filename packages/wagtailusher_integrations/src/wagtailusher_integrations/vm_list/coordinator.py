"""Watches the platform's list of live and leaving VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from wagtailusher_core import WagtailusherError, callback
from wagtailusher_http import HttpClient
from wagtailusher_integrations.config_service import LongPoll, LongPollLimits, PollStatus
from wagtailusher_integrations.vm_list.const import PATH_LIST
from wagtailusher_integrations.vm_list.keeper import VmListKeeper
from wagtailusher_integrations.vm_list.models import VmList, parse_vm_list

_LOGGER = logging.getLogger(__name__)

_MS_PER_S = 1_000

ListListener = Callable[[VmList], None]


class VmListCoordinator:
    """Owns the watch on the list; the last good list stays while the platform is down or stale."""

    def __init__(
        self,
        client: HttpClient,
        address: str,
        *,
        seed: int,
        on_update: ListListener | None = None,
        limits: LongPollLimits | None = None,
        keeper: VmListKeeper | None = None,
    ) -> None:
        """Prepare a watch that `async_run` carries out."""
        self._poll = LongPoll(client, address, seed=seed, limits=limits)
        self._on_list = on_update
        self._keeper = keeper or VmListKeeper()
        self._version: int | None = None
        self._older: VmList | None = None

    @property
    def current(self) -> VmList | None:
        """Return the last good list."""
        return self._keeper.current

    @property
    def status(self) -> PollStatus:
        """Return how reading goes."""
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
                _LOGGER.warning("VM list: the last list stays: %s", error.message)
                await self._poll.async_pause()
                continue
            await asyncio.sleep(self._poll.limits.min_interval_ms / _MS_PER_S)

    async def _async_step(self, version: int | None) -> None:
        """Make one read or watch, and note how it went."""
        try:
            await self._async_take_one(version)
        except WagtailusherError as error:
            self._poll.failed(error)
            raise

    async def _async_take_one(self, version: int | None) -> None:
        """Make one read or watch and take over what it gave."""
        value = await self._poll.async_call(PATH_LIST, version)
        now_ms = int(asyncio.get_running_loop().time() * _MS_PER_S)
        if value is None:
            self._poll.unchanged(now_ms)
            if self._older is not None:
                self._take(self._older, now_ms)
            return
        self._version = value.version
        self._take(parse_vm_list(value.content), now_ms)
        self._poll.succeeded(now_ms)

    @callback
    def _take(self, offered: VmList, now_ms: int) -> None:
        """Offer a list to the keeper and tell the listener of a new one."""
        is_new = self._keeper.offer(offered, now_ms)
        current = self._keeper.current
        is_older = current is not None and offered.version < current.version
        if is_older and self._older is None:
            _LOGGER.warning("VM list: version %s is older than the one in use", offered.version)
        self._older = offered if is_older else None
        if is_new and self._on_list is not None:
            self._on_list(offered)
