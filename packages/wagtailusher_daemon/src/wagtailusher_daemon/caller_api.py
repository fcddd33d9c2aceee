"""The HTTP interface for callers and for requests forwarded by peers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
import logging

from wagtailusher_core import EndpointId, ErrorCode, Outcome, PoolId, Revision, WagtailusherError
from wagtailusher_daemon.addresses import AddressBook
from wagtailusher_daemon.classify import ClassifiedCall, Classifier, api_key_of
from wagtailusher_daemon.clock import wall_ms
from wagtailusher_daemon.const import (
    HEADER_KEY,
    HEADER_REVISION,
    HEADER_TICKET,
    MAX_REVISION_CHARS,
    MS_PER_S,
    PATH_ADDRESSES,
    PATH_CHAT,
    PATH_CONFIGURATION,
    PATH_HEALTH,
    PATH_MODELS,
    PATH_READY,
    PATH_SERVICES,
    PATH_TICKETS,
)
from wagtailusher_daemon.exceptions import RefusedRequestError
from wagtailusher_daemon.exchange import Exchange
from wagtailusher_daemon.exchange_context import ExchangeContext
from wagtailusher_daemon.forwarding import Forwarder
from wagtailusher_daemon.metrics import EntryMetrics
from wagtailusher_daemon.models import TicketAnswer
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.once_exchange import OnceExchange
from wagtailusher_daemon.responses import coded_response
from wagtailusher_daemon.telemetry import TelemetryFactory
from wagtailusher_daemon.upstream import Upstream
from wagtailusher_http import Headers, Request, Response, error_response, json_response
from wagtailusher_once import TicketIssuer
from wagtailusher_settings import Settings

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True, kw_only=True)
class CallerApi:
    """Answers callers; requests that may not be repeated run in tasks that outlive the caller."""

    node: RouterNode
    upstream: Upstream
    forwarder: Forwarder
    classifier: Classifier
    ticket_issuer: TicketIssuer
    addresses: AddressBook | None
    metrics: EntryMetrics
    telemetry_factory: TelemetryFactory
    settings: Callable[[], Settings | None]
    is_ready: Callable[[], bool]
    answer_configuration: Callable[[Request], Response]
    on_revision: Callable[[Revision], None]
    has_crashed: Callable[[EndpointId], Awaitable[bool]]
    once_tasks: set[asyncio.Task[Response]] = field(default_factory=set)

    async def async_handle(self, request: Request) -> Response:
        """Answer one request; settings revisions are exchanged in headers in both directions."""
        self._observe_revision_header(request)
        response = await self._async_answer(request)
        settings = self.settings()
        if settings is not None:
            response.headers = response.headers.with_header(HEADER_REVISION, str(settings.revision))
        return response

    def _observe_revision_header(self, request: Request) -> None:
        """Report the settings revision named in the request's header, if there is one."""
        text = request.headers.get(HEADER_REVISION)
        if text is None:
            return
        epoch, _, number = text.partition(".")
        if epoch.isdecimal() and number.isdecimal() and len(text) <= MAX_REVISION_CHARS:
            self.on_revision(Revision(epoch=int(epoch), number=int(number)))

    async def _async_answer(self, request: Request) -> Response:
        path = request.path
        try:
            if path == PATH_CHAT or path.startswith(PATH_SERVICES):
                return await self._async_route(request)
        except RefusedRequestError as err:
            outcome = _outcome_before_lookup(request, err)
            self.metrics.count_refusal(err.code, outcome)
            return error_response(
                err.status,
                err.code,
                err.message,
                outcome=outcome,
                retry_after_ms=err.retry_after_ms,
            )
        except WagtailusherError as err:
            outcome = _outcome_before_lookup(request, err)
            self.metrics.count_refusal(err.code, outcome)
            return coded_response(err.code, outcome, err.message)
        return self._answer_locally(request)

    def _answer_locally(self, request: Request) -> Response:
        """Answer a request that needs no endpoint."""
        path = request.path
        if path == PATH_HEALTH:
            return json_response(HTTPStatus.OK, {"status": "alive"})
        if path == PATH_READY:
            return self._answer_ready()
        if path == PATH_MODELS:
            return self._answer_models(request)
        if path == PATH_ADDRESSES:
            return json_response(HTTPStatus.OK, self._addresses().answer(self._pool_of(request)))
        if path == PATH_CONFIGURATION:
            return self.answer_configuration(request)
        if path == PATH_TICKETS:
            return self._answer_ticket()
        return error_response(HTTPStatus.NOT_FOUND, ErrorCode.UNKNOWN_ROUTE, "no such path")

    def _pool_of(self, request: Request) -> PoolId | None:
        """Return the pool that an address request names by model or route, or None."""
        settings = self.settings()
        query = request.query
        if "model" in query:
            return PoolId(query["model"])
        if settings is None or "route" not in query:
            return None
        try:
            workspace_id = settings.workspace_by_api_key(api_key_of(request))
            return settings.resolve(workspace_id=workspace_id, route_id=query["route"]).pool_ids[0]
        except WagtailusherError:
            return None

    def _answer_ready(self) -> Response:
        if self.is_ready():
            return json_response(HTTPStatus.OK, {"status": "ready"})
        return coded_response(ErrorCode.NOT_READY, Outcome.NOT_RUN, "not ready")

    def _answer_models(self, request: Request) -> Response:
        """List the models; with settings applied, only for a valid API key."""
        settings = self.settings()
        if settings is not None:
            try:
                settings.workspace_by_api_key(api_key_of(request))
            except WagtailusherError as err:
                return coded_response(err.code, Outcome.NOT_RUN, err.message)
        model_ids = sorted(settings.model_ids) if settings is not None else []
        models = [
            {"id": model_id, "object": "model", "owned_by": "wagtailusher"}
            for model_id in model_ids
        ]
        return json_response(HTTPStatus.OK, {"object": "list", "data": models})

    def _answer_ticket(self) -> Response:
        """Issue a ticket for one request that may not be repeated."""
        if not self.is_ready():
            return coded_response(ErrorCode.NOT_READY, Outcome.NOT_RUN, "not ready")
        settings = self.settings()
        assert settings is not None
        lifetime_ms = settings.fleet.ticket_lifetime_ms
        answer = TicketAnswer(
            ticket=self.ticket_issuer.issue(wall_ms(), lifetime_ms),
            lifetime_ms=lifetime_ms,
            address=self._addresses().own_address,
        )
        return json_response(HTTPStatus.OK, answer.model_dump())

    async def _async_route(self, request: Request) -> Response:
        """Classify a request and run it."""
        settings = self.settings()
        if settings is not None and len(request.body) > settings.fleet.max_body_bytes:
            raise RefusedRequestError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                ErrorCode.BODY_TOO_LARGE,
                f"the body is larger than {settings.fleet.max_body_bytes} bytes",
            )
        sender = self.forwarder.verify_sender(request)
        classified = self.classifier.classify(request, sender)
        if classified.arrival.policy.repeatable:
            return await self._new_exchange(request, classified).async_answer()
        return await self._async_run_once(request, classified)

    def _new_exchange(self, request: Request, classified: ClassifiedCall) -> Exchange:
        return Exchange(self._context(request, classified, self._silence_timeout_ms()))

    def _context(
        self, request: Request, classified: ClassifiedCall, silence_timeout_ms: int
    ) -> ExchangeContext:
        return ExchangeContext(
            request=request,
            classified=classified,
            node=self.node,
            upstream=self.upstream,
            forwarder=self.forwarder,
            telemetry=self.telemetry_factory.begin(classified.arrival, request.headers),
            silence_timeout_ms=silence_timeout_ms,
            has_crashed=self.has_crashed,
        )

    async def _async_run_once(self, request: Request, classified: ClassifiedCall) -> Response:
        """Run a request that may not be repeated in a task that outlives its caller."""
        answer_target_ms = classified.arrival.policy.answer_target_ms
        silence_timeout_ms = answer_target_ms + self._silence_timeout_ms()
        exchange = OnceExchange(self._context(request, classified, silence_timeout_ms))
        task = asyncio.create_task(exchange.async_run())
        self.once_tasks.add(task)
        task.add_done_callback(self.once_tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            _LOGGER.debug(
                "Caller: disconnected before request %s completed",
                classified.arrival.request_id,
            )
            self.node.handle_caller_disconnect(classified.arrival.request_id)
            raise

    async def async_wait_for_once(self, grace_ms: int) -> bool:
        """Wait for requests that may not be repeated, also those whose callers disconnected."""
        if not self.once_tasks:
            return True
        _, pending = await asyncio.wait(tuple(self.once_tasks), timeout=grace_ms / MS_PER_S)
        return not pending

    def _addresses(self) -> AddressBook:
        """Return the address book, which exists once the server listens."""
        assert self.addresses is not None
        return self.addresses

    def _silence_timeout_ms(self) -> int:
        """Return the read time-out within an endpoint's answer."""
        settings = self.settings()
        assert settings is not None
        return settings.fleet.silence_timeout_ms


def _outcome_before_lookup(request: Request, err: WagtailusherError) -> Outcome:
    """Return the outcome of a request that is refused before its ticket was looked up.

    A ticket that the fleet did not issue was never run.
    """
    if err.code is ErrorCode.TICKET_INVALID:
        return Outcome.NOT_RUN
    return refusal_outcome(request.headers)


def refusal_outcome(headers: Headers) -> Outcome:
    """Return the outcome of a refused request according to its headers.

    An earlier attempt with the same ticket or key may have run, here or at another VM.
    """
    if HEADER_TICKET in headers or HEADER_KEY in headers:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN
