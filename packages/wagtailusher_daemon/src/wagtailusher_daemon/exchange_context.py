"""What every exchange needs: its request, and how it opens, fails and forwards."""

from __future__ import annotations

from dataclasses import dataclass
import logging

from wagtailusher_core import RequestId, WagtailusherError
from wagtailusher_daemon.classify import Classified
from wagtailusher_daemon.forwarding import Forwarder
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.observation import Observation
from wagtailusher_daemon.upstream import Upstream, end_of
from wagtailusher_http import ClientAnswer, Request, Response
from wagtailusher_placement import AttemptResult
from wagtailusher_router import Dispatch, Forward

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeContext:
    """One request with the parts that carry it."""

    request: Request
    classified: Classified
    node: RouterNode
    upstream: Upstream
    forwarder: Forwarder
    observation: Observation
    silence_timeout_ms: int

    @property
    def request_id(self) -> RequestId:
        """Return the request's identifier."""
        return self.classified.arrival.request_id

    async def async_open(self, dispatch: Dispatch) -> ClientAnswer:
        """Send the request or resume its answer."""
        traceparent = self.observation.dispatched(dispatch)
        return await self.upstream.async_open(
            dispatch,
            self.classified.call,
            traceparent=traceparent,
            may_send=lambda: self.node.may_send(self.request_id),
        )

    async def async_forward(self, message: Forward) -> Response:
        """Hand the request to another VM and return its answer."""
        self.observation.forwarded(message)
        return await self.forwarder.async_forward(self.request, message, self.observation.age_ms)

    def note_first_token(self) -> None:
        """Note when the answer began."""
        self.node.record_first_token(self.request_id)
        self.observation.record_first_token()

    def fail(self, end: AttemptResult) -> None:
        """Tell the node how the attempt ended."""
        self.observation.attempt_failed(end)
        self.node.handle_attempt_failure(self.request_id, end)

    def fail_with(self, dispatch: Dispatch, err: WagtailusherError) -> None:
        """Log an attempt that failed and tell the node."""
        _LOGGER.info(
            "Exchange: attempt %s of %s at %s failed: %s",
            dispatch.attempt,
            self.request_id,
            dispatch.endpoint_id,
            err.code,
        )
        self.fail(end_of(err))
