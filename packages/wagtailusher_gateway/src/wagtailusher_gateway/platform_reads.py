"""Decides which VMs read the store and when, so that its load does not grow with the fleet."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wagtailusher_core import Revision
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_wire import NO_REVISION

UNCONFIRMED_READ_MS = 1_500
"""Age of the view at which a VM reads the store itself; covers the elected reader's watch, its
pause and one heartbeat interval."""


BEHIND_READ_MS = 600
"""How long a VM whose peers have a newer revision waits for its changes from the elected reader;
covers the pause between two watches and several of the reader's turns."""


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


PlatformReader = Callable[[ReaderContext], Awaitable[None]]
"""Coroutine function that keeps the context's view cache up to date until it is cancelled."""


class ReadSchedule:
    """Decides when this VM reads the store.

    One elected VM of each failure domain always does, and passes on what it reads. The others read
    once at their start, when they missed a change, or when their view was not confirmed for a
    while, so that the loss of the reader only causes a delay.
    """

    def __init__(self, fleet: FleetDecider, view_cache: ViewCache) -> None:
        """Decide by what the fleet and the view show."""
        self._fleet = fleet
        self._view_cache = view_cache
        self._needed_revision = NO_REVISION
        self._behind: tuple[Revision, int] | None = None
        """The view's revision since it was found to be behind peers, and the time of that."""

    def require(self, revision: Revision) -> None:
        """Read as soon as possible up to a revision that the reader can't pass on."""
        self._needed_revision = max(self._needed_revision, revision)

    def is_due(self, now_ms: int) -> bool:
        """Return whether this VM should read the store now."""
        view = self._view_cache.view
        if not view.confirmed_ms or self._fleet.is_reader(now_ms):
            return True
        if now_ms - view.confirmed_ms > UNCONFIRMED_READ_MS:
            return True
        if self._needed_revision > view.store_revision:
            return True
        if self._fleet.max_peer_revision <= view.store_revision:
            self._behind = None
            return False
        if self._behind is None or self._behind[0] != view.store_revision:
            self._behind = (view.store_revision, now_ms)
        return now_ms - self._behind[1] >= BEHIND_READ_MS
