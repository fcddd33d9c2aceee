"""Serves this VM's view to peers, and fetches theirs where it is newer than what this VM reads."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
import logging

import msgspec

from wagtailusher_core import Incarnation, VmId, WagtailusherError
from wagtailusher_gateway.const import (
    BEHIND_PULL_MS,
    VIEW_BODY_TIMEOUT_MS,
    VIEW_PULL_AGE_MS,
    VIEW_PULL_TIMEOUT_MS,
)
from wagtailusher_gateway.exceptions import ViewError
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.models import FleetView, Member
from wagtailusher_gateway.peers import freshest_view, newest_configuration
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_http import HttpClient, Request, Response
from wagtailusher_wire import MAX_STREAM_MESSAGE_BYTES, MessageAuthenticator

_LOGGER = logging.getLogger(__name__)

PATH_VIEW = "/view"

_DECODER = msgspec.msgpack.Decoder(FleetView)
_MIN_FRESHER_MS = 200
"""By how much later a peer's view must be confirmed to be fetched; one heartbeat interval."""


class ViewExchange:
    """Server and client side of the exchange of views between peers."""

    def __init__(
        self,
        *,
        client: HttpClient,
        fleet: FleetDecider,
        view_cache: ViewCache,
        secret: bytes,
        clock_ms: Callable[[], int],
    ) -> None:
        self._client = client
        self._fleet = fleet
        self._view_cache = view_cache
        self._authenticator = MessageAuthenticator(secret, max_bytes=MAX_STREAM_MESSAGE_BYTES)
        self._clock_ms = clock_ms
        self._logged_version = 0
        self._behind_since_ms: int | None = None

    def answer(self, request: Request) -> Response:
        """Return this VM's view as an authenticated message."""
        view = shift_times(self._view_cache.view, -self._clock_ms())
        payload = msgspec.msgpack.encode(view)
        own_member = self._fleet.own_member
        return Response(
            body=self._authenticator.sign(
                own_member.vm_id, Incarnation(own_member.incarnation), payload
            )
        )

    async def async_pull(self) -> None:
        """Fetch a peer's view if this VM's own is old, or has an older configuration."""
        now_ms = self._clock_ms()
        member = self._find_newer_configuration(now_ms) or self._find_fresher_view(now_ms)
        if member is not None:
            await self.async_fetch(member)

    def _find_fresher_view(self, now_ms: int) -> Member | None:
        """Return the peer whose view was confirmed last, if this VM's own is old."""
        own_confirmed_ms = self._view_cache.view.confirmed_ms
        if now_ms - own_confirmed_ms < VIEW_PULL_AGE_MS:
            return None
        freshest = freshest_view(self._fleet.live_peers(now_ms))
        if freshest is None:
            return None
        member, revision, confirmed_ms = freshest
        is_fresher = confirmed_ms > own_confirmed_ms + _MIN_FRESHER_MS
        return member if is_fresher and revision.number else None

    def _find_newer_configuration(self, now_ms: int) -> Member | None:
        """Return the peer with the newest configuration, if this VM has been behind it too long."""
        own_id = self._fleet.own_member.vm_id
        newest = newest_configuration(self._fleet.live_peers(now_ms), own_id)
        own_version = self._view_cache.configuration_version
        if newest is None or newest.configuration_version <= own_version:
            self._behind_since_ms = None
            return None
        self._log_behind(newest, own_version, now_ms)
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        return newest if now_ms - self._behind_since_ms >= BEHIND_PULL_MS else None

    async def async_fetch(self, member: Member) -> bool:
        """Fetch one peer's view and merge it; return whether that succeeded."""
        try:
            await self._async_fetch(member.vm_id, member.view_address)
        except WagtailusherError as err:
            _LOGGER.info(
                "View: fetching the view from peer %s failed: %s",
                member.vm_id,
                err.message,
                extra={"event": "view_pull_failed", "peer": member.vm_id, "code": str(err.code)},
            )
            return False
        return True

    def _log_behind(self, newest: Member, own_version: int, now_ms: int) -> None:
        """Log each configuration that a peer has before this VM."""
        if newest.configuration_version <= self._logged_version:
            return
        self._logged_version = newest.configuration_version
        view = self._view_cache.view
        _LOGGER.info(
            "View: peer %s has configuration version %s, this VM %s",
            newest.vm_id,
            newest.configuration_version,
            own_version or None,
            extra={
                "event": "configuration_behind",
                "peer": newest.vm_id,
                "version": newest.configuration_version,
                "was": own_version or None,
                "revision": view.revision,
                "epoch": view.epoch,
                "view_age_ms": now_ms - view.confirmed_ms,
            },
        )

    async def _async_fetch(self, vm_id: VmId, address: str) -> None:
        """Fetch one peer's view and merge it."""
        answer = await self._client.async_request(
            address, "GET", PATH_VIEW, head_timeout_ms=VIEW_PULL_TIMEOUT_MS
        )
        body = await answer.async_read(
            VIEW_PULL_TIMEOUT_MS,
            max_bytes=MAX_STREAM_MESSAGE_BYTES,
            timeout_ms=VIEW_BODY_TIMEOUT_MS,
        )
        view = decode_view(self._authenticator.verify(body).payload, self._clock_ms())
        age_ms = self._clock_ms() - view.confirmed_ms
        _LOGGER.info(
            "View: fetched from peer %s",
            vm_id,
            extra={
                "event": "view_pull",
                "peer": vm_id,
                "revision": view.revision,
                "epoch": view.epoch,
                "view_age_ms": age_ms,
            },
        )
        self._view_cache.merge_peer_view(view, f"peer {vm_id}", self._clock_ms())


def decode_view(payload: bytes, now_ms: int) -> FleetView:
    """Decode a peer's view and convert its ages to times on this VM's clock, or raise ViewError."""
    try:
        view = _DECODER.decode(payload)
    except msgspec.MsgspecError as err:
        raise ViewError(f"the peer's view can't be decoded: {err}") from err
    return shift_times(view, now_ms)


def shift_times(view: FleetView, by_ms: int) -> FleetView:
    """Return a view with `by_ms` added to its times, to convert them to or from ages."""
    endpoints = {
        key: replace(endpoint, cold_until_ms=endpoint.cold_until_ms + by_ms)
        for key, endpoint in view.endpoints.items()
    }
    return replace(
        view,
        confirmed_ms=view.confirmed_ms + by_ms,
        endpoints=endpoints,
        lapsing_ms={key: until_ms + by_ms for key, until_ms in view.lapsing_ms.items()},
        lapsing_evacuations_ms={
            key: until_ms + by_ms for key, until_ms in view.lapsing_evacuations_ms.items()
        },
        removals={
            key: replace(item, removed_ms=item.removed_ms + by_ms)
            for key, item in view.removals.items()
        },
    )
