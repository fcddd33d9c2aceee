"""Determines which VM is the home of an idempotency key, and since when."""

from __future__ import annotations

from collections.abc import Iterable
from uuid import UUID

from wagtailusher_core import (
    PublishedState,
    PublishedVm,
    VmId,
    WorkspaceId,
    first_by_rendezvous,
    rank_by_rendezvous,
)

_KEY_SEPARATOR = "\0"
_TIMED_UUID_VERSION = 7
_TIMED_UUID_SHIFT = 80


def placement_key_of(workspace_id: WorkspaceId, key: str) -> str:
    """Return the text that determines a key's home."""
    return f"{workspace_id}{_KEY_SEPARATOR}{key}"


def first_sent_in_uuid(key: str) -> int | None:
    """Return the wall time in milliseconds that a UUID of version 7 carries, or None."""
    try:
        parsed = UUID(key)
    except ValueError:
        return None
    return parsed.int >> _TIMED_UUID_SHIFT if parsed.version == _TIMED_UUID_VERSION else None


class KeyHomes:
    """Selects homes by rendezvous hashing over the live VMs of the published list."""

    def __init__(self, *, vm_id: VmId, departure_retention_ms: int, max_age_ms: int) -> None:
        """Keep departed VMs for as long as keys that they owned may still be retried."""
        self._vm_id = vm_id
        self._departure_retention_ms = departure_retention_ms
        self._max_age_ms = max_age_ms
        self._published: tuple[PublishedVm, ...] = ()
        self._live: frozenset[VmId] = frozenset()
        self._departed_ms: dict[VmId, int] = {}
        self._joined_ms: int | None = None
        self._observed_ms: int | None = None

    def observe(self, vms: Iterable[PublishedVm], now_ms: int, *, observed_ms: int | None) -> None:
        """Observe the published list; without the time of its read it proves no ownership.

        Between lists that were read too far apart another VM may have been the home unnoticed.
        """
        if observed_ms is not None:
            if self._observed_ms is not None and observed_ms < self._observed_ms:
                return
            self._record_read(observed_ms)
        published = tuple(vms)
        if published != self._published:
            self._published = published
            self._update_live(published, now_ms)
        if observed_ms is not None and self._joined_ms is None and self._vm_id in self._live:
            self._joined_ms = now_ms

    def _record_read(self, observed_ms: int) -> None:
        """Record the time of a read; after a gap the ownership starts again."""
        last_ms = self._observed_ms
        if last_ms is not None and observed_ms - last_ms > self._max_age_ms:
            self._joined_ms = None
        self._observed_ms = observed_ms

    def _update_live(self, published: tuple[PublishedVm, ...], now_ms: int) -> None:
        """Record which VMs left the list."""
        live = frozenset(vm.vm_id for vm in published if vm.state is PublishedState.LIVE)
        for vm_id in self._live - live:
            self._departed_ms[vm_id] = now_ms
        if self._vm_id not in live:
            self._joined_ms = None
        self._live = live
        self._remove_expired_departures(now_ms)

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the newest list was read within the maximum age."""
        if self._observed_ms is None:
            return False
        return now_ms - self._observed_ms <= self._max_age_ms

    def home_of(self, placement_key: str) -> VmId | None:
        """Return the home of a key under the newest list."""
        home = first_by_rendezvous(placement_key, self._live)
        return None if home is None else VmId(home)

    def home_since_ms(self, placement_key: str) -> int | None:
        """Return the time since which this VM, a key's home, has been its home, or None."""
        if self._joined_ms is None:
            return None
        ranked = rank_by_rendezvous(placement_key, [self._vm_id, *self._departed_ms])
        preferred = ranked[: ranked.index(self._vm_id)]
        left_ms = (self._departed_ms[VmId(vm_id)] for vm_id in preferred)
        return max((self._joined_ms, *left_ms))

    def _remove_expired_departures(self, now_ms: int) -> None:
        """Remove departed VMs whose keys can no longer be retried."""
        self._departed_ms = {
            vm_id: left_ms
            for vm_id, left_ms in self._departed_ms.items()
            if now_ms - left_ms < self._departure_retention_ms and vm_id not in self._live
        }
