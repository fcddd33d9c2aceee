"""The entry VMs that a client uses, kept for as long as the system said."""

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
ASK_TIMEOUT_MS = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class _Kept:
    """An address answer and until when it may be kept."""

    addresses: tuple[str, ...]
    until_ms: int


class AddressCache:
    """Asks any entry VM which ones to use; a VM that failed is avoided until the next answer."""

    def __init__(
        self, http: HttpClient, seeds: tuple[str, ...], generator: Random, headers: Headers
    ) -> None:
        """Start with the addresses that the caller was configured with."""
        self._headers = headers
        self._http = http
        self._seeds = seeds
        self._generator = generator
        self._kept: dict[str, _Kept] = {}
        self._failed: set[str] = set()

    def mark_failed(self, address: str) -> None:
        """Avoid an address for now."""
        self._failed.add(address)

    async def async_pick(self, now_ms: int, route_id: str = "") -> str:
        """Return an address to use, for a route or for anything."""
        kept = self._kept.get(route_id)
        if kept is None or now_ms >= kept.until_ms or not self._usable(kept):
            kept = await self._async_refresh(route_id, now_ms)
        usable = self._usable(kept) or list(kept.addresses) or list(self._seeds)
        if not usable:
            raise NoAddressError("no entry VM is known")
        return self._generator.choice(usable)

    def _usable(self, kept: _Kept) -> list[str]:
        """Return the kept addresses that did not fail."""
        return [item for item in kept.addresses if item not in self._failed]

    async def _async_refresh(self, route_id: str, now_ms: int) -> _Kept:
        """Ask the known VMs in random order until one answers."""
        old = self._kept.get(route_id, _Kept(addresses=(), until_ms=0))
        candidates = list(dict.fromkeys((*old.addresses, *self._seeds)))
        self._generator.shuffle(candidates)
        candidates.sort(key=lambda address: address in self._failed)
        for address in candidates:
            found = await self._async_ask(address, route_id)
            if found is not None:
                addresses = tuple(item.address for item in found.addresses)
                kept = _Kept(addresses=addresses, until_ms=now_ms + found.lifetime_ms)
                self._kept[route_id] = kept
                self._failed.difference_update(addresses)
                return kept
        return old

    async def _async_ask(self, address: str, route_id: str) -> AddressesModel | None:
        """Return one VM's address answer, or None."""
        target = f"{PATH_ADDRESSES}?route={quote(route_id)}" if route_id else PATH_ADDRESSES
        try:
            answer = await self._http.async_request(
                address, "GET", target, self._headers, head_timeout_ms=ASK_TIMEOUT_MS
            )
            return AddressesModel.model_validate_json(await answer.async_read(ASK_TIMEOUT_MS))
        except (WagtailusherError, ValidationError):
            return None
