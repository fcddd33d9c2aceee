"""Hands out places: joins the view, the fleet, the queues and the endpoints' load."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from wagtailusher_core import EndpointId, ErrorCode, VmId
from wagtailusher_gateway.admission import Admission, Waiting, place_wait_ms
from wagtailusher_gateway.budget import RetryBudget
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.lanes import is_prompt_heavy
from wagtailusher_gateway.models import FleetView, RequestTerms, Route, Service
from wagtailusher_gateway.placement import Placed, Placement
from wagtailusher_gateway.routes import RouteTable
from wagtailusher_gateway.view_cache import EMPTY_VIEW


@dataclass(frozen=True, slots=True, kw_only=True)
class Wanted:
    """A request that needs a place."""

    terms: RequestTerms
    route: Route
    service: Service
    rank: int
    ends_ms: int


class Dispatcher:
    """The mutable state that all requests of one process share."""

    def __init__(
        self,
        *,
        placement: Placement,
        admission: Admission,
        budget: RetryBudget,
        clock_ms: Callable[[], int],
        vm_ids: Callable[[], tuple[VmId, ...]],
    ) -> None:
        """Start with an empty view."""
        self.placement = placement
        self.admission = admission
        self.budget = budget
        self.clock_ms = clock_ms
        self.vm_ids = vm_ids
        self.view: FleetView = EMPTY_VIEW
        self.routes: RouteTable | None = None
        self.in_flight = 0

    def update(self, view: FleetView, now_ms: int) -> None:
        """Take a view over."""
        configuration = view.configuration
        if configuration is not None and (
            self.routes is None or self.routes.configuration is not configuration
        ):
            self.routes = RouteTable(configuration)
        self.view = view
        self.placement.update(view, now_ms)
        self.admission.pump(now_ms)

    def may_send(self, placed: Placed) -> bool:
        """Tell whether an endpoint may still get a request that has a place there."""
        endpoint = self.view.endpoints.get(placed.endpoint.endpoint_id)
        if endpoint is None or endpoint.is_draining:
            return False
        return endpoint.failure_domain_id not in self.view.evacuated

    def take_retry(self, service: Service, now_ms: int) -> bool:
        """Take a repeated send out of the budget."""
        return self.budget.take(service.name, len(self.vm_ids()), now_ms)

    async def async_place(self, wanted: Wanted, avoid: frozenset[EndpointId]) -> Placed:
        """Wait for a place; raise RefusedError when there is none in time."""
        future: asyncio.Future[Placed] = asyncio.get_running_loop().create_future()
        now_ms = self.clock_ms()

        def try_place(now_ms: int) -> bool:
            if future.done():
                return True
            placed = self.placement.take(
                wanted.service, wanted.terms, self.view, self.vm_ids(), now_ms, avoid=avoid
            )
            if placed is None:
                return False
            future.set_result(placed)
            return True

        def refuse(retry_after_ms: int) -> None:
            if not future.done():
                future.set_exception(_no_place(retry_after_ms))

        waiting = Waiting(
            queue=queue_of(wanted),
            rank=wanted.rank,
            give_up_ms=now_ms + place_wait_ms(wanted.route.target_ms, wanted.ends_ms - now_ms),
            try_place=try_place,
            refuse=refuse,
        )
        self.admission.arrive(waiting, now_ms)
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            self.admission.leave(waiting)
            if future.done() and future.exception() is None:
                self.release(future.result(), began=False)
            future.cancel()
            raise

    def release(self, placed: Placed, *, began: bool) -> None:
        """Give a place back and start what waits for one."""
        self.placement.release(placed, began=began)
        if self.admission.count:
            self.admission.pump(self.clock_ms())


def queue_of(wanted: Wanted) -> str:
    """Return the queue of a request; long prompts wait apart, as they use other engines."""
    if wanted.service.engine is not None and is_prompt_heavy(wanted.terms):
        return f"{wanted.service.name} long prompts"
    return wanted.service.name


def _no_place(retry_after_ms: int) -> RefusedError:
    """Return the refusal of a request that got no place."""
    return RefusedError(
        "no endpoint has room in time",
        code=ErrorCode.QUEUE_FULL,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        retry_after_ms=retry_after_ms,
    )
