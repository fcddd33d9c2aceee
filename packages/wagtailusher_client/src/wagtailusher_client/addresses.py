"""The entry VMs that a client uses, kept for as long as the system said."""

from __future__ import annotations

from random import Random

from pydantic import ValidationError

from wagtailusher_client.errors import NoAddressError
from wagtailusher_client.models import AddressesModel
from wagtailusher_core import WagtailusherError
from wagtailusher_http import HttpClient

PATH_ADDRESSES = "/v1/addresses"
ASK_TIMEOUT_MS = 2_000


class AddressCache:
    """Asks any entry VM which ones to use; a VM that failed is avoided until the next answer."""

    def __init__(self, http: HttpClient, seeds: tuple[str, ...], generator: Random) -> None:
        """Start with the addresses that the caller was configured with."""
        self._http = http
        self._seeds = seeds
        self._generator = generator
        self._kept: list[str] = []
        self._failed: set[str] = set()
        self._kept_until_ms = 0

    def mark_failed(self, address: str) -> None:
        """Avoid an address for now."""
        self._failed.add(address)

    async def async_pick(self, now_ms: int, avoid: frozenset[str] = frozenset()) -> str:
        """Return an address to use."""
        if now_ms >= self._kept_until_ms or not self._usable(avoid):
            await self._async_refresh(now_ms)
        usable = self._usable(avoid) or self._kept or list(self._seeds)
        if not usable:
            raise NoAddressError("no entry VM is known")
        return self._generator.choice(usable)

    def _usable(self, avoid: frozenset[str]) -> list[str]:
        """Return the kept addresses that did not fail."""
        return [item for item in self._kept if item not in self._failed and item not in avoid]

    async def _async_refresh(self, now_ms: int) -> None:
        """Ask the known VMs in random order until one answers."""
        candidates = list(dict.fromkeys((*self._kept, *self._seeds)))
        self._generator.shuffle(candidates)
        candidates.sort(key=lambda address: address in self._failed)
        for address in candidates:
            found = await self._async_ask(address)
            if found is not None:
                self._kept = [item.address for item in found.addresses]
                self._kept_until_ms = now_ms + found.lifetime_ms
                self._failed.clear()
                return

    async def _async_ask(self, address: str) -> AddressesModel | None:
        """Return one VM's address answer, or None."""
        try:
            answer = await self._http.async_request(
                address, "GET", PATH_ADDRESSES, head_timeout_ms=ASK_TIMEOUT_MS
            )
            return AddressesModel.model_validate_json(await answer.async_read(ASK_TIMEOUT_MS))
        except (WagtailusherError, ValidationError):
            return None
