"""Decides which VMs read the store and when, so that its load does not grow with the fleet."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.view_cache import ViewCache

UNCONFIRMED_READ_MS = 1_500
"""Age of the view at which a VM reads the store itself; covers the elected reader's watch, its
pause and one heartbeat interval."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReaderContext:
    """What the coroutine that reads the store works with."""

    view_cache: ViewCache
    clock_ms: Callable[[], int]
    is_due: Callable[[], bool]
    """Returns whether to read now; otherwise peers keep the view current."""
    is_reader: Callable[[], bool]
    """Returns whether this VM is the elected reader, whose reads peers depend on and whose pauses
    must therefore be short."""


def is_read_due(fleet: FleetDecider, view_cache: ViewCache, now_ms: int) -> bool:
    """Return whether this VM should read the store now.

    One elected VM of each failure domain always reads. The others read once at their start, when a
    peer has a newer revision, or when their view was not confirmed for a while, so that the loss
    of the reader only causes a delay.
    """
    if not view_cache.view.confirmed_ms or fleet.is_reader(now_ms):
        return True
    if fleet.max_peer_revision > view_cache.view.revision:
        return True
    return now_ms - view_cache.view.confirmed_ms > UNCONFIRMED_READ_MS
