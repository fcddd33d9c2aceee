"""Finds out whether an endpoint crashed when it ended the connections of requests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field
import logging
from random import Random

from wagtailusher_core import EndpointId
from wagtailusher_gateway.const import (
    CRASH_CHECK_DELAY_MS,
    CRASH_REFERENCES,
    MS_PER_S,
    SAME_CRASH_MS,
)
from wagtailusher_gateway.models import Endpoint, FleetView
from wagtailusher_quarantine import Suspect

_LOGGER = logging.getLogger(__name__)

_Incarnation = tuple[EndpointId, int]


@dataclass(slots=True, kw_only=True)
class _Suspicion:
    """An incarnation of an endpoint that may have crashed, and what was in flight there."""

    endpoint: Endpoint
    began_ms: int
    suspects: list[Suspect] = field(default_factory=list)
    has_crashed: bool = False
    check: asyncio.Task[None] | None = None


class CrashWatch:
    """Tells a crash from a reset of single connections: after it the address refuses new ones.

    Where other endpoints refuse them, too, this VM is cut off. An endpoint that leaves by plan is
    not suspected.
    """

    def __init__(
        self,
        *,
        is_refused: Callable[[str], Awaitable[bool]],
        other_addresses: Callable[[Endpoint], Sequence[str]] = lambda endpoint: (),
        on_crash: Callable[[Endpoint, Iterable[Suspect]], None],
        clock_ms: Callable[[], int],
        on_lost: Callable[[EndpointId, int], None] = lambda endpoint_id, now_ms: None,
    ) -> None:
        """`is_refused` tells whether an address refuses a connection.

        `other_addresses` returns those of some other endpoints. `on_crash` gets what was in flight,
        and `on_lost` the time, once for each crash.
        """
        self._on_lost = on_lost
        self._other_addresses = other_addresses
        self._is_refused = is_refused
        self._on_crash = on_crash
        self._clock_ms = clock_ms
        self._suspicions: dict[_Incarnation, _Suspicion] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_break(self, endpoint: Endpoint, suspects: Iterable[Suspect]) -> None:
        """Record that an endpoint ended a request's connection before its answer was complete."""
        key = (endpoint.endpoint_id, endpoint.born_ms)
        suspicion = self._suspicions.get(key)
        if suspicion is None:
            suspicion = _Suspicion(endpoint=endpoint, began_ms=self._clock_ms())
            self._suspicions[key] = suspicion
            self._start_check(key, suspicion)
        if suspicion.has_crashed:
            self._on_crash(endpoint, suspects)
        else:
            suspicion.suspects.extend(suspects)

    async def async_wait(self, endpoint: Endpoint) -> None:
        """Wait until it is known whether an endpoint that ended a connection has crashed."""
        suspicion = self._suspicions.get((endpoint.endpoint_id, endpoint.born_ms))
        if suspicion is not None and suspicion.check is not None:
            await asyncio.wait((suspicion.check,))

    def _start_check(self, key: _Incarnation, suspicion: _Suspicion) -> None:
        suspicion.check = asyncio.get_running_loop().create_task(self._async_check(key, suspicion))
        self._tasks.add(suspicion.check)
        suspicion.check.add_done_callback(self._tasks.discard)

    async def _async_check(self, key: _Incarnation, suspicion: _Suspicion) -> None:
        """Check whether an endpoint crashed, once the connections that end with it have ended."""
        await asyncio.sleep(CRASH_CHECK_DELAY_MS / MS_PER_S)
        endpoint = suspicion.endpoint
        if not await self._is_refused(endpoint.address) or await self._is_cut_off(endpoint):
            del self._suspicions[key]
            return
        _LOGGER.info(
            "Endpoint: %s crashed with %s requests that had not begun",
            endpoint.endpoint_id,
            len({item.carrier or item.fingerprint for item in suspicion.suspects}),
            extra={"event": "endpoint_crashed", "endpoint": endpoint.endpoint_id},
        )
        suspicion.has_crashed = True
        self._on_lost(endpoint.endpoint_id, self._clock_ms())
        self._on_crash(endpoint, suspicion.suspects)

    async def _is_cut_off(self, endpoint: Endpoint) -> bool:
        """Return whether some other endpoints refuse connections as well."""
        addresses = self._other_addresses(endpoint)
        refused = await asyncio.gather(*(self._is_refused(address) for address in addresses))
        return bool(refused) and all(refused)

    def tick(self, now_ms: int) -> None:
        """Forget the crashes whose connections have all ended."""
        for key, suspicion in tuple(self._suspicions.items()):
            if suspicion.has_crashed and now_ms - suspicion.began_ms > SAME_CRASH_MS:
                del self._suspicions[key]

    def close(self) -> None:
        """Cancel the checks."""
        for task in self._tasks:
            task.cancel()


def choose_references(view: FleetView, endpoint: Endpoint, generator: Random) -> list[str]:
    """Return the addresses of a few other endpoints, in other failure domains if there are any."""
    others = [
        item
        for item in view.endpoints.values()
        if item.endpoint_id != endpoint.endpoint_id and not item.is_draining
    ]
    domain_id = endpoint.failure_domain_id
    chosen_from = [item for item in others if item.failure_domain_id != domain_id] or others
    chosen = generator.sample(chosen_from, min(CRASH_REFERENCES, len(chosen_from)))
    return [item.address for item in chosen]
