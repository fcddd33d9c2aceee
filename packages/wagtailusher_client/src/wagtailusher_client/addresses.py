"""Cache of entry VM addresses with the lifetime that the entry VMs state."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from urllib.parse import quote

from pydantic import ValidationError

from wagtailusher_client.errors import NoAddressError
from wagtailusher_client.models import AddressesModel
from wagtailusher_core import WagtailusherError
from wagtailusher_http import Headers, HttpClient

PATH_ADDRESSES = "/v1/addresses"
QUERY_TIMEOUT_MS = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class _CachedAddresses:
    """An address answer and its expiry in event loop time."""

    addresses: tuple[str, ...]
    expires_ms: int


class AddressCache:
    """Queries entry VMs for the ones to use; avoids a failed VM until an answer lists it."""

    def __init__(
        self, http: HttpClient, seeds: tuple[str, ...], rng: Random, headers: Headers
    ) -> None:
        self._headers = headers
        self._http = http
        self._seeds = seeds
        self._rng = rng
        self._cached: dict[str, _CachedAddresses] = {}
        self._failed: set[str] = set()

    def mark_failed(self, address: str) -> None:
        """Avoid an address until an answer lists it again."""
        self._failed.add(address)

    async def async_pick(self, now_ms: int, route_id: str = "") -> str:
        """Return an address to use, for a route or for anything."""
        cached = self._cached.get(route_id)
        if cached is None or now_ms >= cached.expires_ms or not self._usable_addresses(cached):
            cached = await self._async_refresh(route_id, now_ms)
        usable = self._usable_addresses(cached) or list(cached.addresses) or list(self._seeds)
        if not usable:
            raise NoAddressError("no entry VM is known")
        return self._rng.choice(usable)

    def _usable_addresses(self, cached: _CachedAddresses) -> list[str]:
        """Return the cached addresses that have not failed."""
        return [item for item in cached.addresses if item not in self._failed]

    async def _async_refresh(self, route_id: str, now_ms: int) -> _CachedAddresses:
        """Query known VMs in random order, failed ones last, until one answers."""
        previous = self._cached.get(route_id, _CachedAddresses(addresses=(), expires_ms=0))
        candidates = list(dict.fromkeys((*previous.addresses, *self._seeds)))
        self._rng.shuffle(candidates)
        candidates.sort(key=lambda address: address in self._failed)
        for address in candidates:
            address_list = await self._async_query(address, route_id)
            if address_list is not None:
                addresses = tuple(item.address for item in address_list.addresses)
                cached = _CachedAddresses(
                    addresses=addresses, expires_ms=now_ms + address_list.lifetime_ms
                )
                self._cached[route_id] = cached
                self._failed.difference_update(addresses)
                return cached
        return previous

    async def _async_query(self, address: str, route_id: str) -> AddressesModel | None:
        """Return one VM's address answer, or None if the query failed."""
        target = f"{PATH_ADDRESSES}?route={quote(route_id)}" if route_id else PATH_ADDRESSES
        try:
            answer = await self._http.async_request(
                address, "GET", target, self._headers, head_timeout_ms=QUERY_TIMEOUT_MS
            )
            return AddressesModel.model_validate_json(await answer.async_read(QUERY_TIMEOUT_MS))
        except (WagtailusherError, ValidationError):
            return None
