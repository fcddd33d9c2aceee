"""Which VMs read the platform, and when; answers fleets of any size before one store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.view_cache import ViewCache

READ_ALONE_MS = 1_500
"""Age of the view at which a VM reads by itself; a reader's wait, its pause and a beat."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReaderContext:
    """What a reader of the platform is given."""

    view_cache: ViewCache
    clock_ms: Callable[[], int]
    is_due: Callable[[], bool]
    """Tells whether to read now; otherwise peers keep the view current."""
    is_reader: Callable[[], bool]
    """Tells whether peers rely on this VM's reading, which must not pause for long."""


def is_reading_due(fleet: FleetDecider, view_cache: ViewCache, now_ms: int) -> bool:
    """Tell whether this VM should read the platform now.

    One VM of each failure domain always reads. The others read once at their start, when a peer
    has heard of news, or when nobody has confirmed their view for a while, so that a lost reader
    costs only time.
    """
    if not view_cache.view.confirmed_ms or fleet.is_reader(now_ms):
        return True
    if fleet.heard_revision > view_cache.view.revision:
        return True
    return now_ms - view_cache.view.confirmed_ms > READ_ALONE_MS
