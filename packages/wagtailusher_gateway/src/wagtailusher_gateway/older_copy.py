"""Decides what is believed of a store that came back from an older copy of its content.

The copy shows endpoints that drain or are gone as they were before. Endpoints write their entries
every second or two, so an entry is believed once it is newer than the first list of the epoch.
"""

from __future__ import annotations

from dataclasses import replace

from wagtailusher_core import Revision
from wagtailusher_gateway.models import Endpoint, FleetView, Removal

REMEMBERED_MS = 30_000
"""How long removed endpoints are remembered; longer than a copy is old and its store was away."""


def with_removal(view: FleetView, endpoint: Endpoint, now_ms: int) -> FleetView:
    """Return a view that remembers the removal of an incarnation of an endpoint."""
    removals = {
        key: item for key, item in view.removals.items() if now_ms - item.removed_ms < REMEMBERED_MS
    }
    removals[endpoint.endpoint_id] = Removal(born_ms=endpoint.born_ms, removed_ms=now_ms)
    return replace(view, removals=removals)


def believed_entry(
    endpoint: Endpoint, view: FleetView, revision: Revision, now_ms: int
) -> Endpoint | None:
    """Return an entry as it is to be believed, or None if it is to be ignored.

    `revision` is that of the entry's last change. In an older copy an entry of an earlier start is
    outdated; behind it the revision tells which entry is newer.
    """
    if not view.first_list.number or revision > view.first_list:
        return endpoint
    known = view.endpoints.get(endpoint.endpoint_id)
    if known is None:
        return None if _is_removed(endpoint, view, now_ms) else endpoint
    if known.born_ms > endpoint.born_ms:
        return known
    if known.is_draining and known.born_ms == endpoint.born_ms:
        return replace(endpoint, is_draining=True)
    return endpoint


def _is_removed(endpoint: Endpoint, view: FleetView, now_ms: int) -> bool:
    removal = view.removals.get(endpoint.endpoint_id)
    return (
        removal is not None
        and endpoint.born_ms <= removal.born_ms
        and now_ms - removal.removed_ms < REMEMBERED_MS
    )
