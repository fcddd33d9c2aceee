"""One caller's request: reserves an endpoint, sends the request and relays the answer."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from wagtailusher_core import EndpointId, ErrorCode, WagtailusherError
from wagtailusher_gateway.attempt import Attempt, SendResult
from wagtailusher_gateway.const import FORWARD_CONNECT_FAILURES, MS_PER_S
from wagtailusher_gateway.crash_watch import CrashWatch
from wagtailusher_gateway.delivery import Delivery, DeliveryState
from wagtailusher_gateway.dispatcher import Dispatcher, RoutedRequest
from wagtailusher_gateway.events import StreamPosition
from wagtailusher_gateway.exceptions import BrokenStreamError, RefusedError
from wagtailusher_gateway.forwarded_exchange import ForwardedExchange
from wagtailusher_gateway.http_mapping import ForwardContext, HttpMapping
from wagtailusher_gateway.models import Endpoint, Workspace
from wagtailusher_gateway.quarantine_exchange import QuarantineExchange
from wagtailusher_gateway.request_fingerprints import RequestFingerprints
from wagtailusher_gateway.request_record import RequestRecord
from wagtailusher_gateway.reservation import Reservation
from wagtailusher_gateway.stream_version_exchange import StreamVersionExchange
from wagtailusher_gateway.stream_versions import record_life_ms
from wagtailusher_http import AnswerTruncatedError, BodySink, HttpClient, Request, Response

MAX_CONNECT_FAILURES = 4
"""Endpoints that may fail to accept a connection before the request is answered with an error."""

_RESTATED_FIELDS = frozenset({"content-length"})
_SUCCESS = range(200, 300)
_CLIENT_ERROR = 400
_SERVER_ERROR = 500


class Exchange:
    """Runs the attempts of one request until its final answer."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        http_mapping: HttpMapping,
        client: HttpClient,
        stream_versions: StreamVersionExchange,
        quarantine: QuarantineExchange,
        crash_watch: CrashWatch,
        forwarded_exchange: ForwardedExchange | None,
        request: Request,
        fingerprints: RequestFingerprints,
        routed_request: RoutedRequest,
        workspace: Workspace | None,
        record: RequestRecord,
    ) -> None:
        self._dispatcher = dispatcher
        self._http_mapping = http_mapping
        self._dropped_fields = _RESTATED_FIELDS | http_mapping.private_fields
        self._client = client
        self._stream_versions = stream_versions
        self._quarantine = quarantine
        self._crash_watch = crash_watch
        self._request = request
        self._fingerprints = fingerprints
        self._forwarded_exchange = forwarded_exchange
        """Takes the request if no endpoint is reached; None once no other VM may take it."""
        self._routed_request = routed_request
        self._workspace = workspace
        self._record = record
        self._began_ms = dispatcher.clock_ms()
        self._delivery = Delivery(routed_request.route)
        self._excluded: frozenset[EndpointId] = frozenset()
        self._tried_addresses: set[str] = set()
        self._connect_failures = 0
        self._is_counted = False
        self._position = StreamPosition(last_id=routed_request.terms.resume_after)
        self._attempt: Attempt | None = None
        self._crash_suspect: Endpoint | None = None
        """Endpoint that may have crashed as it began to answer; known before another attempt."""

    async def async_run(self) -> Response:
        """Return the answer, or raise RefusedError; a cancelled run releases what it holds."""
        planned_stop = self._dispatcher.planned_stop
        try:
            async with asyncio.timeout(self._left_ms() / MS_PER_S) as timeout:
                with planned_stop.ending(timeout):
                    return await self._async_answer()
        except TimeoutError:
            if planned_stop.has_ended:
                self._give_up()
                raise planned_stop.error(self._delivery) from None
            if self._attempt is not None:
                self._attempt.time_out()
                self._attempt = None
            raise self._delivery.timed_out("the request's deadline has passed") from None
        except BaseException:
            self._give_up()
            raise

    async def _async_answer(self) -> Response:
        """Make attempts until one brings the answer."""
        while True:
            response = await self._async_forward() or await self._async_try()
            if response is not None:
                return response

    def _left_ms(self) -> int:
        return max(1, self._routed_request.ends_ms - self._dispatcher.clock_ms())

    def _give_up(self) -> None:
        if self._attempt is not None:
            self._attempt.abort()
            self._attempt = None

    async def _async_forward(self) -> Response | None:
        """Return the answer that another VM got, or None if this VM sends the request."""
        forwarded_exchange = self._forwarded_exchange
        if forwarded_exchange is None or not self._is_for_others():
            return None
        self._forwarded_exchange = None
        return await forwarded_exchange.async_run(self._delivery)

    def _is_for_others(self) -> bool:
        """Return whether no endpoint takes this VM's requests; nothing was sent to any."""
        if self._delivery.sends or self._delivery.state is not DeliveryState.NOT_SENT:
            return False
        service = self._routed_request.service.name
        registry = self._dispatcher.placement.registry
        if self._connect_failures >= FORWARD_CONNECT_FAILURES:
            return True
        if registry.is_unreached(service, self._dispatcher.view):
            return True
        return self._dispatcher.holds_no_place(service)

    async def _async_try(self) -> Response | None:
        """Make one attempt; return the answer, or None if another attempt may follow."""
        attempt = await self._async_open()
        if attempt is None:
            return None
        if attempt.is_stream and attempt.status < _SERVER_ERROR:
            return await self._async_begin_stream(attempt)
        try:
            body = await attempt.async_read(self._left_ms())
        except WagtailusherError as err:
            self._handle_failure(attempt, err)
            return None
        self._record.record_answer_fields(attempt.answer_fields)
        attempt.finish(failed=attempt.status >= _SERVER_ERROR)
        if attempt.status < _CLIENT_ERROR:
            self._quarantine.record_complete(self._fingerprints)
        self._attempt = None
        if attempt.status >= _SERVER_ERROR and self._may_repeat():
            self._excluded |= {attempt.endpoint_id}
            self._record_attempt_end(attempt, "endpoint error, repeated")
            return None
        self._delivery.record_answered()
        self._record_served()
        self._record.record_answer(attempt.status)
        return Response(
            status=attempt.status,
            headers=attempt.headers.without_hop_headers(self._dropped_fields),
            body=body,
        )

    async def _async_open(self) -> Attempt | None:
        """Send the request to an endpoint; return the attempt once the head of its answer arrived.

        Returns None if the attempt failed and another one may follow.
        """
        await self._async_check_quarantine()
        self._record_arrival()
        reservation = await self._async_reserve()
        if not self._delivery.sends:
            self._dispatcher.check_stop(self._routed_request, reservation)
        self._record.record_reservation(reservation, self._dispatcher.clock_ms())
        self._attempt = attempt = self._new_attempt(reservation)
        headers = self._http_mapping.request_headers(
            self._request.headers, self._forward_context(reservation)
        )
        address = reservation.endpoint.address
        # All attempts have the caller's identifier, so a connection must not carry two of them.
        new_connection = address in self._tried_addresses
        self._tried_addresses.add(address)
        try:
            answer = await attempt.async_send(
                self._request,
                headers,
                self._routed_request.terms,
                self._http_mapping,
                self._left_ms(),
                new_connection=new_connection,
            )
        except WagtailusherError as err:
            self._handle_failure(attempt, err)
            return None
        self._record.record_answer_fields(attempt.answer_fields)
        if answer is SendResult.NOT_RUN:
            self._handle_refusal(attempt)
            return None
        return attempt

    def _forward_context(self, reservation: Reservation) -> ForwardContext:
        return ForwardContext(
            endpoint_id=reservation.endpoint.endpoint_id,
            left_ms=self._left_ms(),
            workspace_id=self._workspace.workspace_id if self._workspace else None,
            rank=self._routed_request.rank,
            resume_after=self._position.last_id,
        )

    def _record_served(self) -> None:
        """Record how long the request took, for requests that come while this VM stops."""
        duration_ms = self._dispatcher.clock_ms() - self._began_ms
        service, route = self._routed_request.service, self._routed_request.route
        self._dispatcher.planned_stop.record_served(service.name, route, duration_ms)

    def _record_arrival(self) -> None:
        """Count the request once, at the VM that sends it."""
        if not self._is_counted:
            self._is_counted = True
            self._dispatcher.record_arrival(self._routed_request)

    def _new_attempt(self, reservation: Reservation) -> Attempt:
        return Attempt(
            self._dispatcher,
            self._client,
            reservation,
            self._delivery,
            self._position,
            is_allowed=lambda: self._quarantine.may_send(self._fingerprints),
        )

    async def _async_check_quarantine(self) -> None:
        """Raise RefusedError if the request, or a part of its prompt, crashes endpoints."""
        if self._crash_suspect is not None:
            await self._crash_watch.async_wait(self._crash_suspect)
            self._crash_suspect = None
        refusal = self._quarantine.find_refusal(self._fingerprints)
        if refusal is not None:
            self._record.record_quarantine(refusal)
            raise self._delivery.error(
                "requests like this one crash endpoints",
                ErrorCode.QUARANTINED,
                refusal.retry_after_ms,
            )

    def _record_break(self, attempt: Attempt, err: WagtailusherError) -> None:
        """Suspect a request whose connection ended before, or just after, its answer began.

        That an endpoint which leaves ends its connections is no sign of a crash.
        """
        if self._dispatcher.placement.registry.availability.may_leave(attempt.endpoint_id):
            return
        if isinstance(err, AnswerTruncatedError) and attempt.was_sent and not attempt.is_under_way:
            endpoint = attempt.reservation.endpoint
            suspects = self._fingerprints.suspects(has_begun=attempt.has_head)
            self._crash_watch.record_break(endpoint, suspects)
            self._crash_suspect = endpoint if attempt.has_head else None

    async def _async_reserve(self) -> Reservation:
        """Wait for a reservation; a refusal after a failed attempt does not say "not run"."""
        try:
            return await self._dispatcher.async_reserve(self._routed_request, self._excluded)
        except RefusedError as refusal:
            if self._delivery.state is DeliveryState.NOT_SENT:
                raise
            raise self._delivery.error(
                refusal.message, refusal.code, refusal.retry_after_ms or 0
            ) from refusal

    def _handle_failure(self, attempt: Attempt, err: WagtailusherError) -> None:
        """Record a failed attempt; raise if no other one may follow."""
        self._attempt = None
        self._excluded |= {attempt.endpoint_id}
        self._record_attempt_end(attempt, err.message)
        self._record_break(attempt, err)
        attempt.abort()
        if not attempt.was_sent:
            self._connect_failures += 1
            if self._connect_failures <= MAX_CONNECT_FAILURES:
                return
        elif self._may_repeat():
            return
        raise self._delivery.error(
            "the endpoint failed", ErrorCode.ENDPOINT_FAILED, self._retry_after_ms()
        )

    def _handle_refusal(self, attempt: Attempt) -> None:
        """Record that an endpoint refused the request; raise if no other one may be tried."""
        self._attempt = None
        self._excluded |= {attempt.endpoint_id}
        self._record_attempt_end(attempt, "not run by the endpoint")
        attempt.finish_not_run()
        if not self._may_repeat():
            raise self._delivery.error(
                "the endpoint has no capacity", ErrorCode.QUEUE_FULL, self._retry_after_ms()
            )

    def _may_repeat(self) -> bool:
        """Return whether to send once more, and spend a retry from the budget if so."""
        if not self._delivery.may_send:
            return False
        return self._dispatcher.try_spend_retry(
            self._routed_request.service, self._dispatcher.clock_ms()
        )

    def _retry_after_ms(self) -> int:
        """Return the caller's retry delay."""
        return self._dispatcher.retry_after_ms(self._routed_request, self._dispatcher.clock_ms())

    def _record_attempt_end(self, attempt: Attempt, reason: str) -> None:
        """Log an attempt without a usable answer."""
        self._record.record_attempt_failure(
            attempt.reservation, reason, self._delivery.state, attempt.answer_fields
        )

    async def _async_begin_stream(self, attempt: Attempt) -> Response | None:
        """Wait for the first event, so that the caller does not see an early failure."""
        try:
            first = await attempt.async_read_first(self._left_ms())
        except WagtailusherError as err:
            self._handle_failure(attempt, err)
            return None
        if first:
            self._require_version(attempt)
        self._delivery.record_answered()
        attempt.record_prefill_done()
        self._record.record_first_event(attempt.status, self._dispatcher.clock_ms())
        if not self._delivery.may_resume:
            self._fingerprints.release_body()
        return Response(
            status=attempt.status,
            headers=attempt.headers.without_hop_headers(self._dropped_fields),
            body=lambda sink: self._async_relay_stream(attempt, first, sink),
            on_end=self._stream_ended,
        )

    def _require_version(self, attempt: Attempt) -> None:
        """Require the software version of the first event for the rest of the stream.

        Where callers may resume it, its record is told to peers before the event is written.
        """
        version = self._dispatcher.software_version(attempt.reservation)
        terms, route = self._routed_request.terms, self._routed_request.route
        if route.may_resume:
            # Callers name the attempt that began a stream, or only repeat their request.
            service, life_ms = self._routed_request.service.name, record_life_ms(route.timeout_ms)
            records = self._stream_versions
            records.record_begin(terms.stream_id, service, version, life_ms)
            records.record_begin(
                self._fingerprints.stream, service, version, life_ms, is_spare=True
            )
        self._routed_request = replace(self._routed_request, software_version=version)

    def _stream_ended(self) -> None:
        """Release what a stream holds, whether or not it was complete."""
        self._give_up()
        self._record.record_stream_end(self._position.count)

    async def _async_relay_stream(self, attempt: Attempt, first: bytes, sink: BodySink) -> None:
        """Relay events, resuming at another endpoint if the route allows it."""
        if first:
            sink.write(first)
        try:
            async with asyncio.timeout(self._left_ms() / MS_PER_S):
                current = attempt
                while True:
                    try:
                        await current.async_relay_body(sink, self._left_ms())
                        break
                    except WagtailusherError as err:
                        current = await self._async_resume(current, err)
        except TimeoutError:
            self._record.record_stream_broken("the request's deadline has passed")
            raise BrokenStreamError("the request's deadline has passed") from None
        current.finish(failed=False)
        self._record_served()
        self._quarantine.record_complete(self._fingerprints)
        self._attempt = None
        self._record.record_stream_complete(current.longest_gap_ms)

    async def _async_resume(self, attempt: Attempt, err: WagtailusherError) -> Attempt:
        """Return an attempt that continues a broken stream, or raise BrokenStreamError."""
        self._record_attempt_end(attempt, err.message)
        self._record_break(attempt, err)
        attempt.abort()
        self._attempt = None
        self._excluded |= {attempt.endpoint_id}
        self._delivery.record_failure()
        while self._delivery.may_resume and self._position.can_resume:
            now_ms = self._dispatcher.clock_ms()
            if not self._dispatcher.try_spend_retry(self._routed_request.service, now_ms):
                break
            try:
                resumed = await self._async_open()
            except RefusedError as refusal:
                self._record.record_stream_broken(refusal.message)
                raise BrokenStreamError(refusal.message) from err
            if resumed is not None and resumed.is_stream and resumed.status in _SUCCESS:
                return resumed
            if resumed is not None:
                resumed.abort()
        self._record.record_stream_broken(err.message)
        raise BrokenStreamError("the endpoint's stream was interrupted") from err
