"""Assigns requests to endpoints, using the view, the members, the queues and the loads."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import copy
from dataclasses import dataclass
from http import HTTPStatus
from random import Random

from wagtailusher_core import EndpointId, ErrorCode, VmId
from wagtailusher_gateway.admission import (
    Admission,
    QueuedRequest,
    RefusalCause,
    queue_wait_ms,
)
from wagtailusher_gateway.budget import RetryBudget
from wagtailusher_gateway.const import LEAVE_AWARE_MS, RETRY_AFTER_MAX_MS
from wagtailusher_gateway.delivery import Delivery
from wagtailusher_gateway.endpoint_registry import may_get_requests
from wagtailusher_gateway.engine_partition import is_prompt_heavy
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.models import (
    AnswerTerms,
    Endpoint,
    FleetView,
    RequestTerms,
    Route,
    Service,
)
from wagtailusher_gateway.placement import Placement
from wagtailusher_gateway.placement_choice import Choice, PlacementQuery
from wagtailusher_gateway.planned_stop import PlannedStop
from wagtailusher_gateway.reservation import Reservation
from wagtailusher_gateway.routes import RouteTable
from wagtailusher_gateway.view_cache import EMPTY_VIEW
from wagtailusher_gateway.workspace_shares import Pool, actual_work, estimated_work


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedRequest:
    """A request with its route and service, to be assigned to an endpoint."""

    terms: RequestTerms
    route: Route
    service: Service
    rank: int
    ends_ms: int
    software_version: str | None = None
    """Version of the endpoints that may get the request; None for any, empty if it is unknown."""
    workspace: str = ""
    """Identifier of the caller's workspace; empty if it has none."""


class Dispatcher:
    """Holds the mutable state that all requests of one process share."""

    def __init__(
        self,
        *,
        placement: Placement,
        admission: Admission,
        budget: RetryBudget,
        clock_ms: Callable[[], int],
        vm_ids: Callable[[], tuple[VmId, ...]],
        read_answer: Callable[[Endpoint, AnswerTerms, str, int], None] = lambda *_: None,
    ) -> None:
        """`read_answer` gets an answer's endpoint, terms and attempt, and when that was sent."""
        self.read_answer = read_answer
        self.placement = placement
        self.admission = admission
        self.budget = budget
        self.clock_ms = clock_ms
        self.vm_ids = vm_ids
        self.view: FleetView = EMPTY_VIEW
        self.routes: RouteTable | None = None
        self.in_flight = 0
        self.planned_stop = PlannedStop(LEAVE_AWARE_MS)

    def update(self, view: FleetView, now_ms: int) -> None:
        """Apply a view and start the queued requests that it makes room for."""
        configuration = view.configuration
        if configuration is not None and (
            self.routes is None or self.routes.configuration is not configuration
        ):
            self.routes = RouteTable(configuration)
        self.view = view
        self.placement.update(view, now_ms)
        self.admission.process_queues(now_ms)

    def may_send(self, reservation: Reservation) -> bool:
        """Return whether a request with a reservation may still be sent to its endpoint."""
        reserved = reservation.endpoint
        endpoint = self.view.endpoints.get(reserved.endpoint_id)
        if endpoint is None or endpoint.born_ms != reserved.born_ms:
            return False
        if endpoint.software_version != reserved.software_version:
            return False
        availability = self.placement.registry.availability
        if not availability.may_send(endpoint.endpoint_id, self.clock_ms()):
            return False
        return may_get_requests(endpoint, self.view)

    def software_version(self, reservation: Reservation) -> str:
        """Return the software version of the process at a reserved endpoint, empty if unknown."""
        registry = self.placement.registry
        return registry.software_version(reservation.endpoint, self.view, self.clock_ms())

    def place_holders(self, service: str) -> frozenset[VmId] | None:
        """Return the VMs that may send requests for a service, None if all may."""
        return self.placement.place_holders(service, self.clock_ms())

    def holds_no_place(self, service: str) -> bool:
        """Return whether only other VMs may send requests for a service."""
        return self.placement.holds_no_place(service, self.vm_ids(), self.clock_ms())

    def check_stop(self, request: RoutedRequest, reservation: Reservation | None = None) -> None:
        """Raise RefusedError if this VM stops too early for a request that was not sent yet.

        Its reservation, if it has one, is released.
        """
        now_ms = self.clock_ms()
        left_ms = request.ends_ms - now_ms
        if self.planned_stop.may_take(request.service.name, request.route, left_ms, now_ms):
            return
        if reservation is not None:
            self.release(reservation, is_prefill_done=False)
        raise self.planned_stop.error(Delivery(request.route))

    def record_arrival(self, request: RoutedRequest) -> None:
        """Add a request to the estimates of demand and to the budget for retries."""
        now_ms = self.clock_ms()
        self.budget.record_request(request.service.name, now_ms)
        self.placement.record_arrival(request.service, request.terms, now_ms)

    def retry_after_ms(self, request: RoutedRequest, now_ms: int) -> int:
        """Return a refused caller's retry delay, as long as no endpoint wants requests at least."""
        delay_ms = self.admission.retry_after_ms(queue_name(request), request.rank, now_ms)
        wait_ms = self.placement.registry.wait_ms(
            request.service.name, self.view, now_ms, request.software_version
        )
        return max(delay_ms, self.admission.spread_ms(wait_ms)) if wait_ms else delay_ms

    def try_spend_retry(self, service: Service, now_ms: int) -> bool:
        """Spend one retry from the budget; return whether it allowed one."""
        return self.budget.try_spend(service.name, len(self.vm_ids()), now_ms)

    def trial(self, generator: Random, workspace: str, now_ms: int) -> Dispatcher:
        """Return a copy to try a workspace's request with; nothing may be reserved with it."""
        found = copy.copy(self)
        found.placement = self.placement.trial(generator)
        found.admission = self.admission.trial(generator, workspace)
        found.clock_ms = lambda: now_ms
        return found

    async def async_reserve(
        self, request: RoutedRequest, excluded: frozenset[EndpointId]
    ) -> Reservation:
        """Wait for a reservation; raise RefusedError if there is none in time.

        A request whose required software version no endpoint has is refused at once.
        """
        future: asyncio.Future[Reservation] = asyncio.get_running_loop().create_future()
        now_ms = self.clock_ms()

        def refuse(retry_after_ms: int) -> None:
            if not future.done():
                future.set_exception(queue_refusal(queued_request.refusal_cause, retry_after_ms))

        queued_request = new_queued_request(
            request,
            now_ms,
            is_retry=bool(excluded),
            try_start=lambda now_ms: self._try_start(future, request, excluded, now_ms),
            refuse=refuse,
            is_refused=lambda: not future.cancelled() and future.exception() is not None,
        )
        self.admission.submit(queued_request, now_ms)
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            self.admission.cancel(queued_request)
            if future.done() and future.exception() is None:
                self.release(future.result(), is_prefill_done=False)
            future.cancel()
            raise

    def _try_start(
        self,
        future: asyncio.Future[Reservation],
        request: RoutedRequest,
        excluded: frozenset[EndpointId],
        now_ms: int,
    ) -> bool:
        """Set the result of a reservation; return False if the request has to wait."""
        if future.done():
            return True
        refusal = self.find_refusal(request, now_ms)
        if refusal is not None:
            future.set_exception(refusal)
            return True
        reservation = self._try_reserve(request, excluded, now_ms)
        if reservation is None:
            return False
        future.set_result(reservation)
        self._correct_work(request, actual_work(request.service, request.terms, reservation))
        return True

    def _correct_work(self, request: RoutedRequest, work: float) -> None:
        """Correct what a request's workspace is charged from its estimated work."""
        difference = work - estimated_work(request.service, request.terms)
        pool = Pool(request.service.name, request.rank)
        self.admission.shares.correct(pool, request.workspace, difference, self.clock_ms())

    def _try_reserve(
        self, request: RoutedRequest, excluded: frozenset[EndpointId], now_ms: int
    ) -> Reservation | None:
        return self.placement.try_reserve(
            request.service,
            request.terms,
            self.view,
            self.vm_ids(),
            now_ms,
            rank=request.rank,
            excluded=excluded,
            software_version=request.software_version,
            may_use_limited=not self._is_outranked(request),
        )

    def choose(self, request: RoutedRequest, now_ms: int) -> Choice:
        """Return the endpoint that a request would get now, and what it was compared with."""
        return self.placement.choose(
            PlacementQuery(
                service=request.service,
                terms=request.terms,
                view=self.view,
                vm_ids=self.vm_ids(),
                now_ms=now_ms,
                rank=request.rank,
                software_version=request.software_version,
                may_use_limited=not self._is_outranked(request),
            )
        )

    def _is_outranked(self, request: RoutedRequest) -> bool:
        """Return whether more urgent requests wait for what limited endpoints may still get."""
        if self.placement.rate_limits.is_empty:
            return False
        return self.admission.has_more_urgent(request.service.name, request.rank)

    def find_refusal(self, request: RoutedRequest, now_ms: int) -> RefusedError | None:
        """Return why a request can't start in the time for which it may wait, if that is known."""
        if not self._has_version(request):
            return _no_endpoint_of_version()
        registry = self.placement.registry
        if registry.availability.is_empty:
            return None
        wait_ms = registry.wait_ms(
            request.service.name, self.view, now_ms, request.software_version
        )
        if wait_ms is None:
            return _all_leave() if self._has_endpoint(request) else None
        if wait_ms <= queue_wait_ms(request.route.target_ms, request.ends_ms - now_ms):
            return None
        return _none_wants_requests(self.admission.spread_ms(wait_ms))

    def _has_endpoint(self, request: RoutedRequest) -> bool:
        """Return whether any endpoint may get a request by the view."""
        return any(
            endpoint.service == request.service.name
            and may_get_requests(endpoint, self.view, request.software_version)
            for endpoint in self.view.endpoints.values()
        )

    def _has_version(self, request: RoutedRequest) -> bool:
        """Return whether any endpoint has the software version that a request requires."""
        return request.software_version is None or self._has_endpoint(request)

    def release(self, reservation: Reservation, *, is_prefill_done: bool) -> None:
        """Release a reservation and start queued requests."""
        self.placement.release(reservation, is_prefill_done=is_prefill_done)
        self.process_queues(self.clock_ms())

    def process_queues(self, now_ms: int) -> None:
        """Start or refuse queued requests, if there are any."""
        if self.admission.count:
            self.admission.process_queues(now_ms)


def new_queued_request(
    request: RoutedRequest,
    now_ms: int,
    *,
    is_retry: bool,
    try_start: Callable[[int], bool],
    refuse: Callable[[int], None],
    is_refused: Callable[[], bool],
) -> QueuedRequest:
    """Return what is queued for a request."""
    return QueuedRequest(
        queue=queue_name(request),
        service=request.service.name,
        rank=request.rank,
        workspace=request.workspace,
        work=estimated_work(request.service, request.terms),
        is_repeat=is_retry or request.terms.resume_after is not None,
        expires_ms=now_ms + queue_wait_ms(request.route.target_ms, request.ends_ms - now_ms),
        try_start=try_start,
        refuse=refuse,
        is_refused=is_refused,
    )


def queue_name(request: RoutedRequest) -> str:
    """Return a request's queue.

    Long prompts and requests that require a software version have their own, as they use other
    endpoints.
    """
    name = request.service.name
    if request.service.engine is not None and is_prompt_heavy(request.terms):
        name = f"{name} long prompts"
    if request.software_version is not None:
        name = f"{name} version {request.software_version}"
    return name


_REFUSAL_MESSAGES = {
    RefusalCause.NO_ROOM: "no endpoint had capacity within the allowed wait",
    RefusalCause.SHARE: "the workspace asks for more than its share while others wait",
    RefusalCause.OVERTAKEN: "workspaces that were served less came, and there is no room for both",
    RefusalCause.OUTRANKED: "more urgent requests wait for the same endpoints",
}


def queue_refusal(cause: RefusalCause, retry_after_ms: int) -> RefusedError:
    """Return the refusal of a request by its queue."""
    message = _REFUSAL_MESSAGES[cause]
    return _unavailable(message, ErrorCode.QUEUE_FULL, retry_after_ms)


def _all_leave() -> RefusedError:
    return _unavailable("all endpoints leave", ErrorCode.NO_ENDPOINT, RETRY_AFTER_MAX_MS)


def _none_wants_requests(retry_after_ms: int) -> RefusedError:
    message = "no endpoint wants requests for a while"
    return _unavailable(message, ErrorCode.QUEUE_FULL, retry_after_ms)


def _no_endpoint_of_version() -> RefusedError:
    message = "no endpoint has the software version that began the stream"
    return _unavailable(message, ErrorCode.NO_ENDPOINT, RETRY_AFTER_MAX_MS)


def _unavailable(message: str, code: ErrorCode, retry_after_ms: int) -> RefusedError:
    return RefusedError(
        message,
        code=code,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        retry_after_ms=retry_after_ms,
    )
