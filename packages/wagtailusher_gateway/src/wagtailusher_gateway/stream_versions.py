"""Remembers at which software version of a service each stream began.

What two versions write doesn't fit together, so a stream may only go on at the version that began
it. Each stream's record is kept by the VM that relays its first event and by one holder in each
failure domain, chosen by rendezvous hashing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from wagtailusher_core import (
    FailureDomainId,
    VmId,
    first_by_rendezvous,
    rank_by_rendezvous,
)
from wagtailusher_gateway.const import (
    DEFAULT_DEADLINE_MS,
    MAX_STREAM_ID_BYTES,
    MAX_STREAM_RECORD_MS,
    MAX_STREAM_RECORDS,
    MIN_STREAM_RECORD_MS,
    STREAM_RECORD_TIMEOUTS,
)
from wagtailusher_gateway.models import Configuration, FleetView, Member


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamVersion:
    """The service and the software version at which a stream began."""

    service: str
    software_version: str
    """Empty if peers stated different ones, which leaves it unknown."""
    began_ms: int
    expires_ms: int
    told_by: str
    """Identifier of the VM that stated it."""


class StreamVersionRecords:
    """The records that one VM keeps, bounded in number, size and time.

    A record of a full memory replaces the oldest one; `dropped` counts those that had not expired.
    """

    def __init__(self, max_records: int = MAX_STREAM_RECORDS) -> None:
        self._max_records = max_records
        self._records: dict[str, StreamVersion] = {}
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._records)

    def put(self, stream_id: str, version: StreamVersion, now_ms: int) -> bool:
        """Keep a record; return False if it is not worth keeping or too large.

        A record that contradicts one that has not expired makes the stream's version unknown.
        """
        if not is_valid_id(stream_id) or version.expires_ms <= now_ms:
            return False
        expires_ms = min(version.expires_ms, now_ms + MAX_STREAM_RECORD_MS)
        existing = self.get(stream_id, now_ms)
        self._records.pop(stream_id, None)
        if existing is not None:
            expires_ms = max(expires_ms, existing.expires_ms)
            is_same = _origin(existing) == _origin(version)
            version = existing if is_same else replace(existing, software_version="")
        self._make_room(now_ms)
        self._records[stream_id] = replace(version, expires_ms=expires_ms)
        return True

    def get(self, stream_id: str, now_ms: int) -> StreamVersion | None:
        """Return a stream's record, or None if there is none that has not expired."""
        version = self._records.get(stream_id)
        return version if version is not None and version.expires_ms > now_ms else None

    def _make_room(self, now_ms: int) -> None:
        """Remove the oldest records that have expired, and one that has not if there is no room."""
        while self._records:
            oldest_id = next(iter(self._records))
            has_expired = self._records[oldest_id].expires_ms <= now_ms
            if not has_expired and len(self._records) < self._max_records:
                return
            del self._records[oldest_id]
            self.dropped += not has_expired


class SingleVersions:
    """Since when each service has shown a single software version, without a gap in the view."""

    def __init__(self) -> None:
        self._since_ms: dict[str, tuple[str, int]] = {}
        self._services_by_route: dict[tuple[str, str], frozenset[str]] = {}
        self._broken_ms = 0
        self._longest_life_ms = MIN_STREAM_RECORD_MS

    def restart(self, now_ms: int) -> None:
        """Restart all services: something may have been missed until now."""
        self._broken_ms = now_ms

    def observe(self, view: FleetView, now_ms: int) -> None:
        """Apply a view that follows on the one before without a gap."""
        if view.configuration is not None:
            self._observe_routes(view.configuration, now_ms)
        versions: dict[str, set[str]] = {}
        for endpoint in view.endpoints.values():
            versions.setdefault(endpoint.service, set()).add(endpoint.software_version)
        previous, self._since_ms = self._since_ms, {}
        for service, found in versions.items():
            version = next(iter(found))
            if len(found) > 1 or not version:
                continue
            before = previous.get(service)
            is_unchanged = before is not None and before[0] == version
            since_ms = before[1] if before is not None and is_unchanged else now_ms
            self._since_ms[service] = (version, since_ms)

    def _observe_routes(self, configuration: Configuration, now_ms: int) -> None:
        """Restart all services if streams of a route may have begun at another service."""
        services_by_route = {
            (route.host, route.prefix): frozenset(split.service for split in route.splits)
            for route in configuration.routes
            if route.may_resume
        }
        if services_by_route != self._services_by_route:
            self._services_by_route = services_by_route
            self._broken_ms = now_ms
        for route in configuration.routes:
            if route.may_resume:
                life_ms = record_life_ms(route.timeout_ms)
                self._longest_life_ms = max(self._longest_life_ms, life_ms)

    def find(self, service: str, margin_ms: int, now_ms: int) -> tuple[str, int] | None:
        """Return a service's only version and for how long, in ms, it has been the only one.

        Returns None if that is no longer than the longest life of a record and `margin_ms`.
        """
        found = self._since_ms.get(service)
        if found is None:
            return None
        version, since_ms = found
        age_ms = now_ms - max(since_ms, self._broken_ms)
        return (version, age_ms) if age_ms > self._longest_life_ms + margin_ms else None


def record_life_ms(timeout_ms: int) -> int:
    """Return how long, in ms, to keep the record of a stream on a route with a timeout.

    A stream breaks within one timeout of its first event, and callers take it up soon after.
    """
    life_ms = STREAM_RECORD_TIMEOUTS * (timeout_ms or DEFAULT_DEADLINE_MS)
    return min(MAX_STREAM_RECORD_MS, max(MIN_STREAM_RECORD_MS, life_ms))


def is_valid_id(stream_id: str | None) -> bool:
    """Return whether a record may be kept for an identifier."""
    return bool(stream_id) and len((stream_id or "").encode()) <= MAX_STREAM_ID_BYTES


def choose_holders(stream_id: str, peers: Iterable[Member], per_domain: int) -> list[Member]:
    """Return the first live peers of each failure domain by rendezvous hashing of a stream's ID.

    Leaving peers are chosen only where there is no other one, as they soon forget.
    """
    by_domain: dict[FailureDomainId, dict[VmId, Member]] = {}
    for member in peers:
        by_domain.setdefault(member.failure_domain_id, {})[member.vm_id] = member
    chosen = []
    for members in by_domain.values():
        ranked = [members[VmId(vm_id)] for vm_id in rank_by_rendezvous(stream_id, members)]
        ranked.sort(key=lambda member: member.is_leaving)
        chosen.extend(ranked[:per_domain])
    return chosen


def choose_spare_holder(
    stream_id: str, holders: list[Member], own_domain_id: FailureDomainId
) -> list[Member]:
    """Return the holder that survives the loss of a failure domain, if there is one."""
    by_domain = {holder.failure_domain_id: holder for holder in holders}
    others = by_domain.keys() - {own_domain_id} or by_domain.keys()
    domain_id = first_by_rendezvous(stream_id, others)
    return [by_domain[FailureDomainId(domain_id)]] if domain_id is not None else []


def _origin(version: StreamVersion) -> tuple[str, str]:
    return version.service, version.software_version
