"""HTTP interface for callers: routes each request and runs its exchange."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_gateway.const import (
    DEADLINE_RESERVE_MS,
    DEFAULT_DEADLINE_MS,
    RETRY_AFTER_MIN_MS,
    UNKNOWN_VERSION_RETRY_MS,
)
from wagtailusher_gateway.crash_watch import CrashWatch
from wagtailusher_gateway.dispatcher import Dispatcher, RoutedRequest
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.exchange import Exchange
from wagtailusher_gateway.forward_terms import ForwardTerms
from wagtailusher_gateway.forwarded_exchange import ForwardedExchange
from wagtailusher_gateway.http_mapping import HttpMapping
from wagtailusher_gateway.metrics import GatewayMetrics
from wagtailusher_gateway.models import Repeat, RequestTerms, Route, Service, Workspace
from wagtailusher_gateway.quarantine_exchange import QuarantineExchange
from wagtailusher_gateway.request_fingerprints import RequestFingerprints
from wagtailusher_gateway.request_forwarder import RequestForwarder
from wagtailusher_gateway.request_record import RequestRecord
from wagtailusher_gateway.routes import RouteTable, choose_service
from wagtailusher_gateway.stream_version_exchange import KnownVersion, StreamVersionExchange
from wagtailusher_http import HttpClient, Request, Response, error_response


class GatewayCallerApi:
    """Handles callers' requests; each gets one final answer."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        http_mapping: HttpMapping,
        client: HttpClient,
        metrics: GatewayMetrics,
        stream_versions: StreamVersionExchange,
        quarantine: QuarantineExchange,
        crash_watch: CrashWatch,
        clock_ms: Callable[[], int],
        forwarder: RequestForwarder | None = None,
    ) -> None:
        """Serve requests; those without a reachable endpoint go to `forwarder`, if there is one."""
        self._dispatcher = dispatcher
        self._http_mapping = http_mapping
        self._client = client
        self._metrics = metrics
        self._stream_versions = stream_versions
        self._quarantine = quarantine
        self._crash_watch = crash_watch
        self._clock_ms = clock_ms
        self._forwarder = forwarder

    async def async_handle(self, request: Request) -> Response:
        """Handle one request of a caller."""
        response, _ = await self.async_serve(request)
        return response

    async def async_serve(
        self, request: Request, forwarded: ForwardTerms | None = None
    ) -> tuple[Response, Outcome]:
        """Return the response to a request, of a caller or handed on by a peer, and its outcome.

        The outcome is `COMPLETED` if the response is an endpoint's answer.
        """
        try:
            terms = self._http_mapping.read_request(request.headers)
        except RefusedError as refusal:
            self._metrics.refusals.inc({"code": str(refusal.code), "outcome": "not_run"})
            return self.refusal_response(refusal), refusal.outcome
        if forwarded is not None:
            terms = replace(terms, deadline_ms=forwarded.left_ms, api_key=None)
        record = RequestRecord(terms, self._dispatcher.view, self._metrics, self._clock_ms)
        self._dispatcher.in_flight += 1
        try:
            response, outcome = await self._async_answer(request, terms, record, forwarded)
            return self._count_in_flight(response), outcome
        except BaseException:
            self._dispatcher.in_flight -= 1
            raise

    async def _async_answer(
        self,
        request: Request,
        terms: RequestTerms,
        record: RequestRecord,
        forwarded: ForwardTerms | None,
    ) -> tuple[Response, Outcome]:
        """Return an endpoint's answer, or the response of a refusal, and the request's outcome."""
        try:
            exchange = await self._async_exchange(request, terms, record, forwarded)
            return await exchange.async_run(), Outcome.COMPLETED
        except RefusedError as refusal:
            record.record_refusal(refusal)
            # What waited for a place keeps the error, whose frames keep the request's body.
            refusal.__traceback__ = None
            return self.refusal_response(refusal), refusal.outcome
        except asyncio.CancelledError:
            record.record_caller_left()
            raise

    def _count_in_flight(self, response: Response) -> Response:
        """Return the response, counting its request as in flight until it was sent."""
        previous_on_end = response.on_end

        def decrement_in_flight() -> None:
            self._dispatcher.in_flight -= 1
            if previous_on_end is not None:
                previous_on_end()

        response.on_end = decrement_in_flight
        return response

    async def _async_exchange(
        self,
        request: Request,
        terms: RequestTerms,
        record: RequestRecord,
        forwarded: ForwardTerms | None,
    ) -> Exchange:
        """Return the exchange of a request; raise RefusedError if it can't be routed."""
        table = self._route_table()
        route = table.match(terms.host, request.path)
        workspace = _find_workspace(table, route, terms, forwarded)
        if forwarded is not None:
            record.record_forwarded_by(forwarded.vm_id)
        ends_ms = self._clock_ms() + time_left_ms(terms, route)
        name = choose_service(route, terms)
        record.record_route(route, name, workspace, table.rank(route, workspace, name))
        fingerprints = _new_fingerprints(request, terms, forwarded)
        known = await self._async_known_version(route, name, terms, fingerprints, ends_ms)
        if known is not None:
            name = known.service
            record.record_stream_version(known)
            record.record_route(route, name, workspace, table.rank(route, workspace, name))
        service = table.configuration.services.get(name)
        if service is None:
            raise not_ready("the route's service is not configured")
        routed_request = RoutedRequest(
            terms=terms,
            route=route,
            service=service,
            rank=table.rank(route, workspace, name),
            ends_ms=ends_ms,
            software_version=known.software_version if known is not None else None,
            workspace=workspace.workspace_id if workspace is not None else "",
        )
        self._dispatcher.check_stop(routed_request)
        if forwarded is not None:
            self._check_reached(service)
        return self._new_exchange(
            request, routed_request, workspace, fingerprints, record, forwarded
        )

    def _check_reached(self, service: Service) -> None:
        """Refuse a request that a peer handed on if this VM reaches no endpoint either."""
        registry = self._dispatcher.placement.registry
        if registry.is_unreached(service.name, self._dispatcher.view):
            raise RefusedError(
                "no endpoint is reached",
                code=ErrorCode.NO_ENDPOINT,
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                retry_after_ms=RETRY_AFTER_MIN_MS,
            )

    def _new_exchange(
        self,
        request: Request,
        routed_request: RoutedRequest,
        workspace: Workspace | None,
        fingerprints: RequestFingerprints,
        record: RequestRecord,
        forwarded: ForwardTerms | None,
    ) -> Exchange:
        return Exchange(
            dispatcher=self._dispatcher,
            http_mapping=self._http_mapping,
            client=self._client,
            stream_versions=self._stream_versions,
            quarantine=self._quarantine,
            crash_watch=self._crash_watch,
            forwarded_exchange=self._new_forwarded_exchange(
                request, routed_request, workspace, fingerprints, record, forwarded
            ),
            request=request,
            fingerprints=fingerprints,
            routed_request=routed_request,
            workspace=workspace,
            record=record,
        )

    def _new_forwarded_exchange(
        self,
        request: Request,
        routed_request: RoutedRequest,
        workspace: Workspace | None,
        fingerprints: RequestFingerprints,
        record: RequestRecord,
        forwarded: ForwardTerms | None,
    ) -> ForwardedExchange | None:
        """Return what hands a request on; one that was handed on already stays here."""
        if self._forwarder is None or forwarded is not None:
            return None
        return ForwardedExchange(
            forwarder=self._forwarder,
            request=request,
            routed_request=routed_request,
            workspace=workspace,
            fingerprint=fingerprints.whole,
            record=record,
            clock_ms=self._clock_ms,
            dropped_fields=self._http_mapping.private_fields,
        )

    async def _async_known_version(
        self,
        route: Route,
        service: str,
        terms: RequestTerms,
        fingerprints: RequestFingerprints,
        ends_ms: int,
    ) -> KnownVersion | None:
        """Return the version that a resumed stream began at, or None for a new stream.

        A caller that does not name the attempt that began it is known by its request's content.
        Raises RefusedError if it is unknown, or of a service that the route no longer uses.
        """
        if route.repeat is not Repeat.STREAM or not terms.resume_after:
            return None
        stream_id = terms.resumes_id or fingerprints.stream
        known = await self._stream_versions.async_find(stream_id, service, ends_ms)
        if known is None:
            raise _version_unknown("the software version that began the stream is unknown")
        if known.service not in {split.service for split in route.splits}:
            raise _version_unknown("the route no longer uses the service that began the stream")
        return known

    def _route_table(self) -> RouteTable:
        """Return the current routes; raise RefusedError while there is no configuration."""
        if self._dispatcher.routes is None:
            raise not_ready("no configuration is known yet")
        return self._dispatcher.routes

    def refusal_response(self, refusal: RefusedError) -> Response:
        """Return the response of a refusal."""
        response = error_response(
            refusal.status, refusal.code, refusal.message, outcome=refusal.outcome
        )
        if refusal.retry_after_ms is not None:
            value = self._http_mapping.retry_after(refusal.retry_after_ms)
            response.headers = response.headers.with_header("retry-after", value)
        return response


def _new_fingerprints(
    request: Request, terms: RequestTerms, forwarded: ForwardTerms | None
) -> RequestFingerprints:
    """Return a request's fingerprints; the VM that handed it on knows its key."""
    return RequestFingerprints(
        request, terms, forwarded.fingerprint if forwarded is not None else None
    )


def _find_workspace(
    table: RouteTable, route: Route, terms: RequestTerms, forwarded: ForwardTerms | None
) -> Workspace | None:
    """Return a request's workspace, by its key or as the VM that handed it on states."""
    if forwarded is None:
        return table.workspace(route, terms.api_key)
    return table.workspace_by_id(route, forwarded.workspace_id)


def time_left_ms(terms: RequestTerms, route: Route) -> int:
    """Return how long, in ms, a request may take: the caller's deadline, at most the route's."""
    deadline_ms = DEFAULT_DEADLINE_MS
    if terms.deadline_ms is not None:
        deadline_ms = max(1, terms.deadline_ms - DEADLINE_RESERVE_MS)
    return min(deadline_ms, route.timeout_ms) if route.timeout_ms else deadline_ms


def not_ready(message: str) -> RefusedError:
    """Return the refusal of a VM that has no usable configuration yet."""
    return RefusedError(
        message,
        code=ErrorCode.NOT_READY,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        retry_after_ms=RETRY_AFTER_MIN_MS,
    )


def _version_unknown(message: str) -> RefusedError:
    """Return the refusal of a resumed stream that may not go on at any endpoint."""
    return RefusedError(
        message,
        code=ErrorCode.VERSION_UNKNOWN,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        retry_after_ms=UNKNOWN_VERSION_RETRY_MS,
    )
