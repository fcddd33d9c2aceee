"""Background tasks that run until the daemon stops."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
import logging

from wagtailusher_daemon.const import MS_PER_S

_LOGGER = logging.getLogger(__name__)


class PeriodicTasks:
    """Owns the daemon's background tasks."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def create_background_task(self, work: Coroutine[None, None, None]) -> None:
        """Start a task that is cancelled when the daemon stops."""
        self._tasks.append(asyncio.create_task(work))

    def add_periodic(self, interval_ms: int, action: Callable[[], None]) -> None:
        """Call a synchronous action at once, then `interval_ms` after the end of each call."""

        async def async_action() -> None:
            action()

        self.add_periodic_async(interval_ms, async_action)

    def add_periodic_async(self, interval_ms: int, action: Callable[[], Awaitable[None]]) -> None:
        """Await an action at once, then `interval_ms` after the end of each call."""
        self.create_background_task(_async_repeat(interval_ms, action))

    async def async_stop(self) -> None:
        """Cancel all tasks and wait for them."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _async_repeat(interval_ms: int, action: Callable[[], Awaitable[None]]) -> None:
    """Repeat an action; an unexpected error is logged and the next run goes ahead."""
    while True:
        try:
            await action()
        except Exception:
            _LOGGER.exception("Daemon: a periodic task failed; it will run again")
        await asyncio.sleep(interval_ms / MS_PER_S)
