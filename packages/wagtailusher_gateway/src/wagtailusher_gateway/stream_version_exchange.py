"""Tells peers at which software version streams began, and asks them for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
import logging

from wagtailusher_core import VmId
from wagtailusher_gateway.const import (
    HOLDER_REPEAT_MS,
    HOLDER_WAIT_MS,
    HOLDERS_ASKED,
    MAX_PEER_VIEW_AGE_MS,
    MS_PER_S,
    TICK_MS,
    VIEW_DELAY_MS,
    VIEW_WAIT_MS,
)
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.models import FleetView, Member
from wagtailusher_gateway.stream_versions import (
    SingleVersions,
    StreamVersion,
    StreamVersionRecords,
    choose_holders,
    choose_spare_holder,
    is_valid_id,
)
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_wire import (
    AuthenticatedMessage,
    Message,
    StreamVersionAnswer,
    StreamVersionQuery,
    StreamVersionRecord,
    fits_datagram,
)

_LOGGER = logging.getLogger(__name__)

TOLD_BY_SINGLE_VERSION = "single version"
"""Source of a version that is known because it was the service's only one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownVersion:
    """The service and version at which a stream began, who told it, and its age in ms."""

    service: str
    software_version: str
    told_by: str
    age_ms: int


@dataclass(slots=True, kw_only=True, eq=False)
class _Query:
    """A question that holders have not answered yet."""

    stream_id: str
    unanswered: dict[VmId, Member]
    future: asyncio.Future[StreamVersion | None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class StreamVersionExchange:
    """Keeps this VM's records of streams, and exchanges them with the holders among its peers."""

    def __init__(
        self,
        *,
        fleet: FleetDecider,
        view_cache: ViewCache,
        send: Callable[[str, Message], None],
        clock_ms: Callable[[], int],
        count_event: Callable[[str], None] = lambda event: None,
    ) -> None:
        """Start without records; `count_event` gets "kept", "dropped", "asked" or "unknown"."""
        self._fleet = fleet
        self._view_cache = view_cache
        self._send = send
        self._clock_ms = clock_ms
        self._count_event = count_event
        self._records = StreamVersionRecords()
        self._single_versions = SingleVersions()
        self._queries: dict[int, _Query] = {}
        self._sequences = count(1)
        self._ticked_ms = clock_ms()

    def tick(self, now_ms: int) -> None:
        """Restart the proof of single versions while any VM may use an old view.

        After a pause of this process, delayed heartbeats look newer than they are.
        """
        was_paused = now_ms - self._ticked_ms > VIEW_DELAY_MS
        self._ticked_ms = now_ms
        if was_paused or not self._fleet.has_current_views(now_ms, MAX_PEER_VIEW_AGE_MS):
            self._single_versions.restart(now_ms)

    def observe(self, view: FleetView, now_ms: int) -> None:
        """Apply a changed view."""
        if self._view_cache.is_gap:
            self._single_versions.restart(now_ms)
        self._single_versions.observe(view, now_ms)

    def record_begin(
        self,
        stream_id: str,
        service: str,
        software_version: str,
        life_ms: int,
        *,
        is_spare: bool = False,
    ) -> None:
        """Keep the record of a stream whose first event arrived, and send it to its holders.

        A spare record, for callers that name no attempt, has one holder in another failure domain.
        """
        now_ms = self._clock_ms()
        if not software_version or not is_valid_id(stream_id):
            self._count_event("dropped")
            return
        record = StreamVersionRecord(
            stream_id=stream_id,
            service=service,
            software_version=software_version,
            age_ms=0,
            lifetime_ms=life_ms,
        )
        self._keep(record, self._fleet.own_member.vm_id, now_ms)
        holders = choose_holders(stream_id, self._fleet.live_members(now_ms), 1)
        if is_spare:
            own_domain_id = self._fleet.own_member.failure_domain_id
            holders = choose_spare_holder(stream_id, holders, own_domain_id)
        for holder in holders:
            self._try_send(holder.peer_address, record)

    async def async_find(
        self, stream_id: str | None, service: str, ends_ms: int
    ) -> KnownVersion | None:
        """Return the version at which a stream began, or None if it is unknown.

        `service` is the one that a new stream would get. Waits until `ends_ms` at most.
        """
        arrived_ms = self._clock_ms()
        version: StreamVersion | None = None
        if stream_id is not None and is_valid_id(stream_id):
            version = self._records.get(stream_id, arrived_ms)
            if version is None:
                version = await self._async_ask(
                    stream_id, min(ends_ms, arrived_ms + HOLDER_WAIT_MS)
                )
        known: KnownVersion | None
        if version is not None:
            known = _known(version, self._clock_ms()) if version.software_version else None
        else:
            known = await self._async_single_version(service, arrived_ms, ends_ms)
        if known is None:
            self._count_event("unknown")
        return known

    def receive(
        self, message: Message, authenticated: AuthenticatedMessage, address: str, now_ms: int
    ) -> None:
        """Process a peer's message; those of other kinds are ignored."""
        if isinstance(message, StreamVersionRecord):
            self._keep(message, authenticated.vm_id, now_ms)
        elif isinstance(message, StreamVersionQuery):
            self._try_send(address, self._answer(message, now_ms))
        elif isinstance(message, StreamVersionAnswer):
            self._receive_answer(message, authenticated.vm_id, now_ms)

    def _keep(
        self, message: StreamVersionRecord | StreamVersionAnswer, vm_id: VmId, now_ms: int
    ) -> None:
        dropped = self._records.dropped
        is_kept = self._records.put(message.stream_id, _version(message, vm_id, now_ms), now_ms)
        if is_kept:
            self._count_event("kept")
        if not is_kept or self._records.dropped > dropped:
            self._count_event("dropped")

    def _answer(self, query: StreamVersionQuery, now_ms: int) -> StreamVersionAnswer:
        """Return the answer to a peer's question; an unknown version is empty."""
        version = self._records.get(query.stream_id, now_ms)
        if version is None:
            return StreamVersionAnswer(sequence=query.sequence, stream_id=query.stream_id)
        return StreamVersionAnswer(
            sequence=query.sequence,
            stream_id=query.stream_id,
            service=version.service,
            software_version=version.software_version,
            age_ms=max(0, now_ms - version.began_ms),
            lifetime_ms=version.expires_ms - now_ms,
        )

    def _receive_answer(self, answer: StreamVersionAnswer, vm_id: VmId, now_ms: int) -> None:
        """Settle a question with the first record, or once all have answered that they have none.

        A record without a version states that it is contradictory, which settles it too.
        """
        query = self._queries.get(answer.sequence)
        if query is None or query.stream_id != answer.stream_id or query.future.done():
            return
        if query.unanswered.pop(vm_id, None) is None:
            return
        if answer.service:
            query.future.set_result(_version(answer, vm_id, now_ms))
        elif not query.unanswered:
            query.future.set_result(None)

    async def _async_ask(self, stream_id: str, until_ms: int) -> StreamVersion | None:
        """Ask all VMs that may hold a stream's record; return the first record."""
        members = choose_holders(
            stream_id, self._fleet.live_members(self._clock_ms()), HOLDERS_ASKED
        )
        if not members:
            return None
        self._count_event("asked")
        query = _Query(stream_id=stream_id, unanswered={member.vm_id: member for member in members})
        sequence = next(self._sequences)
        self._queries[sequence] = query
        try:
            for wait_ms in (HOLDER_REPEAT_MS, HOLDER_WAIT_MS - HOLDER_REPEAT_MS):
                for member in tuple(query.unanswered.values()):
                    message = StreamVersionQuery(sequence=sequence, stream_id=stream_id)
                    self._try_send(member.peer_address, message)
                left_ms = max(0, min(wait_ms, until_ms - self._clock_ms()))
                done, _ = await asyncio.wait((query.future,), timeout=left_ms / MS_PER_S)
                if done:
                    return query.future.result()
            return None
        finally:
            query.future.cancel()
            del self._queries[sequence]

    async def _async_single_version(
        self, service: str, arrived_ms: int, ends_ms: int
    ) -> KnownVersion | None:
        """Return a service's only version if a view confirmed after the arrival still shows it."""
        until_ms = min(ends_ms, arrived_ms + VIEW_WAIT_MS)
        while (found := self._find_single(service)) is not None:
            if self._view_cache.view.confirmed_ms >= arrived_ms + VIEW_DELAY_MS:
                return found
            if self._clock_ms() >= until_ms:
                return None
            await asyncio.sleep(TICK_MS / MS_PER_S)
        return None

    def _find_single(self, service: str) -> KnownVersion | None:
        found = self._single_versions.find(service, MAX_PEER_VIEW_AGE_MS, self._clock_ms())
        if found is None:
            return None
        return KnownVersion(
            service=service,
            software_version=found[0],
            told_by=TOLD_BY_SINGLE_VERSION,
            age_ms=found[1],
        )

    def _try_send(self, address: str, message: Message) -> None:
        """Send a message; one that does not fit into a datagram is dropped and counted."""
        if fits_datagram(message):
            self._send(address, message)
        else:
            self._count_event("dropped")


def _version(
    message: StreamVersionRecord | StreamVersionAnswer, vm_id: VmId, now_ms: int
) -> StreamVersion:
    """Return a message's record on this VM's clock."""
    return StreamVersion(
        service=message.service,
        software_version=message.software_version,
        began_ms=now_ms - message.age_ms,
        expires_ms=now_ms + message.lifetime_ms,
        told_by=vm_id,
    )


def _known(version: StreamVersion, now_ms: int) -> KnownVersion:
    return KnownVersion(
        service=version.service,
        software_version=version.software_version,
        told_by=version.told_by,
        age_ms=now_ms - version.began_ms,
    )
