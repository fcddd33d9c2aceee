"""Polls the load of engines: in turn, and when one may have restarted."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wagtailusher_core import EndpointId, callback
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.const import DOUBT_POLL_MS, DOUBT_POLL_PAUSE_MS, MS_PER_S
from wagtailusher_daemon.load_reports import LoadReportCache
from wagtailusher_daemon.node import RouterNode
from wagtailusher_integrations.engine import EngineCoordinator
from wagtailusher_placement import EndpointInfo, EndpointKind


class LoadPoll:
    """Polls engines and passes their reports and refusals to the node."""

    def __init__(
        self,
        node: RouterNode,
        engines: EngineCoordinator,
        cache: LoadReportCache,
        may_poll: Callable[[EndpointId], bool] = lambda endpoint_id: True,
    ) -> None:
        """Poll the engines for which `may_poll` returns true."""
        self._may_poll = may_poll
        self._node = node
        self._engines = engines
        self._cache = cache
        self._doubt_tasks: set[asyncio.Task[None]] = set()

    async def async_poll_due(self) -> None:
        """Poll the load of the engines that are due."""
        decider = self._node.decider
        engines = tuple(self._tracked_engines())
        stewards = {info.endpoint_id: decider.steward_id(info.endpoint_id) for info in engines}
        engines_to_poll = self._cache.engines_to_poll(engines, stewards, monotonic_ms())
        reports = await self._engines.async_poll_load(
            engines_to_poll, monotonic_ms, on_refused=self._node.observe_refused_connection
        )
        self._node.observe_reports(reports)

    @callback
    def observe_idle_end(self, address: str) -> None:
        """Poll an engine that closed an idle connection, and send it nothing before it answers.

        It may have crashed and be back cold, while leases from before are still valid.
        """
        for info in self._tracked_engines():
            if info.address == address and self._node.begin_doubt(info.endpoint_id):
                task = asyncio.get_running_loop().create_task(self._async_poll_doubted(info))
                self._doubt_tasks.add(task)
                task.add_done_callback(self._doubt_tasks.discard)

    async def async_has_crashed(self, endpoint_id: EndpointId) -> bool:
        """Return whether an engine that ended a kept connection is not the same process any more.

        It counts as crashed if that can't be found out.
        """
        found = [info for info in self._tracked_engines() if info.endpoint_id == endpoint_id]
        known = self._cache.latest(endpoint_id)
        reports = await self._engines.async_poll_load(
            found,
            monotonic_ms,
            on_refused=self._node.observe_refused_connection,
            new_connection=True,
        )
        self._node.observe_reports(reports)
        if not reports or known is None:
            return True
        return reports[0].incarnation != known.incarnation

    @callback
    def close(self) -> None:
        """Cancel the polls of engines that may have restarted."""
        for task in self._doubt_tasks:
            task.cancel()

    async def _async_poll_doubted(self, info: EndpointInfo) -> None:
        """Poll an engine until it answers, refuses or lets a poll time out."""
        refused: list[EndpointId] = []
        ends_ms = monotonic_ms() + DOUBT_POLL_MS
        try:
            while monotonic_ms() < ends_ms and self._may_poll(info.endpoint_id):
                reports = await self._engines.async_poll_load(
                    (info,), monotonic_ms, on_refused=refused.append, new_connection=True
                )
                self._node.observe_reports(reports)
                if refused:
                    self._node.observe_refused_connection(info.endpoint_id)
                if reports or refused:
                    return
                await asyncio.sleep(DOUBT_POLL_PAUSE_MS / MS_PER_S)
        finally:
            self._node.end_doubt(info.endpoint_id)

    def _tracked_engines(self) -> tuple[EndpointInfo, ...]:
        """Return the engines that this VM may send to."""
        tracked = self._node.decider.tracked_endpoints
        return tuple(
            info
            for info in tracked
            if info.kind is EndpointKind.ENGINE and self._may_poll(info.endpoint_id)
        )
