"""Lets a VM that starts take over what its peers know before it believes the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from wagtailusher_core import VmId
from wagtailusher_gateway.const import (
    HEARTBEAT_INTERVAL_MS,
    MS_PER_S,
    START_FETCH_MS,
    START_WAIT_MS,
    TICK_MS,
)
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.models import Member
from wagtailusher_gateway.peers import all_started_together, best_informed
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_gateway.view_exchange import ViewExchange

_LOGGER = logging.getLogger(__name__)

MAX_ASKED_PEERS = 2
"""Most peers that are asked for their view; each may take `START_FETCH_MS`."""


class StartSync:
    """Fetches the view of one peer; the store may have come back from an older copy.

    VMs that all start together know nothing that the store does not, so none asks another.
    """

    def __init__(
        self,
        *,
        fleet: FleetDecider,
        view_cache: ViewCache,
        view_exchange: ViewExchange,
        clock_ms: Callable[[], int],
    ) -> None:
        self._fleet = fleet
        self._view_cache = view_cache
        self._view_exchange = view_exchange
        self._clock_ms = clock_ms
        self._asked_ids: set[VmId] = set()

    async def async_run(self) -> None:
        """Return once a peer's view was merged, or no peer has one or answers in time."""
        started_ms = self._clock_ms()
        while not self._view_cache.view.revision:
            now_ms = self._clock_ms()
            member = best_informed(
                self._fleet.live_peers(now_ms), self._fleet.own_member, self._asked_ids
            )
            if len(self._asked_ids) >= MAX_ASKED_PEERS:
                break
            if member is not None:
                await self._async_ask(member)
            elif self._has_waited(now_ms - started_ms, now_ms):
                break
            else:
                await asyncio.sleep(TICK_MS / MS_PER_S)
        view = self._view_cache.view
        _LOGGER.info(
            "View: starting with that of a peer" if view.revision else "View: starting alone",
            extra={
                "event": "start_view",
                "asked": sorted(self._asked_ids),
                "wait_ms": self._clock_ms() - started_ms,
                "version": self._view_cache.configuration_version or None,
                "revision": view.revision,
                "epoch": view.epoch,
            },
        )

    def _has_waited(self, waited_ms: int, now_ms: int) -> bool:
        """Return whether a peer that runs longer than this VM would have been heard.

        Where all others have just started, too, such a peer sends a heartbeat within an interval.
        """
        if waited_ms >= START_WAIT_MS or not self._fleet.awaits_peers():
            return True
        peers, own_member = self._fleet.live_peers(now_ms), self._fleet.own_member
        return waited_ms >= HEARTBEAT_INTERVAL_MS and all_started_together(peers, own_member)

    async def _async_ask(self, member: Member) -> None:
        """Fetch a peer's view; one that does not answer in time is not asked again."""
        self._asked_ids.add(member.vm_id)
        try:
            async with asyncio.timeout(START_FETCH_MS / MS_PER_S):
                await self._view_exchange.async_fetch(member)
        except TimeoutError:
            _LOGGER.info("View: peer %s did not send its view in time", member.vm_id)
