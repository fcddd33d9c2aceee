"""Tasks that repeat an action until the daemon stops."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
import logging

from wagtailusher_daemon.const import MS_PER_S

_LOGGER = logging.getLogger(__name__)


class PeriodicTasks:
    """Owns the daemon's background tasks."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: list[asyncio.Task[None]] = []

    def run(self, work: Coroutine[None, None, None]) -> None:
        """Run a task that lasts as long as the daemon."""
        self._tasks.append(asyncio.create_task(work))

    def add_periodic(self, interval_ms: int, action: Callable[[], None]) -> None:
        """Repeat a synchronous action."""

        async def async_action() -> None:
            action()

        self.add_periodic_async(interval_ms, async_action)

    def add_periodic_async(self, interval_ms: int, action: Callable[[], Awaitable[None]]) -> None:
        """Repeat an action that awaits."""
        self.run(_async_repeat(interval_ms, action))

    async def async_stop(self) -> None:
        """End all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _async_repeat(interval_ms: int, action: Callable[[], Awaitable[None]]) -> None:
    """Repeat an action; an unforeseen error is logged and the next turn is tried."""
    while True:
        try:
            await action()
        except Exception:
            _LOGGER.exception("Daemon: a periodic task failed")
        await asyncio.sleep(interval_ms / MS_PER_S)
