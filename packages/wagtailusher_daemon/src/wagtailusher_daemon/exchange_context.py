"""Request, components and common steps shared by both kinds of exchanges."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
import logging

from wagtailusher_core import EndpointId, RequestId, WagtailusherError
from wagtailusher_daemon.classify import ClassifiedCall
from wagtailusher_daemon.forwarding import Forwarder
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.telemetry import RequestTelemetry
from wagtailusher_daemon.upstream import Upstream, classify_error
from wagtailusher_http import (
    ClientAnswer,
    ConnectError,
    Request,
    Response,
    StaleConnectionError,
)
from wagtailusher_placement import AttemptResult
from wagtailusher_router import Dispatch, Forward

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeContext:
    """One request with the components that process it."""

    request: Request
    classified: ClassifiedCall
    node: RouterNode
    upstream: Upstream
    forwarder: Forwarder
    telemetry: RequestTelemetry
    silence_timeout_ms: int
    has_crashed: Callable[[EndpointId], Awaitable[bool]]
    """Tells whether an endpoint that ended a kept connection has crashed."""

    @property
    def request_id(self) -> RequestId:
        """Return the identifier of the request."""
        return self.classified.arrival.request_id

    async def async_open(self, dispatch: Dispatch) -> ClientAnswer:
        """Send the request, or resume its answer, and return the answer."""
        traceparent = self.telemetry.record_dispatch(dispatch)
        return await self.upstream.async_open(
            dispatch,
            self.classified.call,
            traceparent=traceparent,
            may_send=lambda: self.node.may_send(self.request_id),
        )

    async def async_forward(self, message: Forward) -> Response:
        """Forward the request to another VM and return its response."""
        self.telemetry.record_forward(message)
        return await self.forwarder.async_forward(self.request, message, self.telemetry.age_ms)

    def handle_first_token(self) -> None:
        """Record that the answer began."""
        self.node.record_first_token(self.request_id)
        self.telemetry.record_first_token()

    def end_attempt(self, result: AttemptResult) -> None:
        """Record a failed attempt and report its result to the node."""
        self.telemetry.record_attempt_failure(result)
        self.node.handle_attempt_failure(self.request_id, result)

    async def async_end_attempt_with_error(
        self, dispatch: Dispatch, err: WagtailusherError
    ) -> None:
        """Log the error of a failed attempt and report its result to the node."""
        _LOGGER.info(
            "Exchange: attempt %s of %s at %s failed: %s",
            dispatch.attempt,
            self.request_id,
            dispatch.endpoint_id,
            err.code,
        )
        endpoint_id = EndpointId(dispatch.endpoint_id)
        if isinstance(err, ConnectError):
            self.node.observe_unreachable(endpoint_id)
        is_stale = isinstance(err, StaleConnectionError)
        if is_stale and not await self.has_crashed(endpoint_id):
            self.end_attempt(AttemptResult.CLOSED)
        else:
            self.end_attempt(classify_error(err))
