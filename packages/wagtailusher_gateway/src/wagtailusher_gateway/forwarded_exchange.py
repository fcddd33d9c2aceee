"""One caller's request that another VM sends, from the offer to the end of its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wagtailusher_core import WagtailusherError
from wagtailusher_gateway.const import MS_PER_S
from wagtailusher_gateway.delivery import Delivery
from wagtailusher_gateway.dispatcher import RoutedRequest
from wagtailusher_gateway.events import StreamPosition
from wagtailusher_gateway.exceptions import BrokenStreamError
from wagtailusher_gateway.forward_terms import HEADER_OUTCOME
from wagtailusher_gateway.models import Workspace
from wagtailusher_gateway.request_forwarder import ForwardedAnswer, RequestForwarder
from wagtailusher_gateway.request_record import RequestRecord
from wagtailusher_http import BodySink, Request, Response, is_event_stream


class ForwardedExchange:
    """Hands a request on, and relays the answer of the VM that took it."""

    def __init__(
        self,
        *,
        forwarder: RequestForwarder,
        request: Request,
        routed_request: RoutedRequest,
        workspace: Workspace | None,
        fingerprint: str,
        record: RequestRecord,
        clock_ms: Callable[[], int],
        dropped_fields: frozenset[str],
    ) -> None:
        """`dropped_fields` of the answer are not meant for the caller."""
        self._forwarder = forwarder
        self._request = request
        self._routed_request = routed_request
        self._workspace = workspace
        self._fingerprint = fingerprint
        self._record = record
        self._clock_ms = clock_ms
        self._dropped_fields = dropped_fields | {"content-length", HEADER_OUTCOME}
        self._position = StreamPosition(last_id=routed_request.terms.resume_after)

    async def async_run(self, delivery: Delivery) -> Response | None:
        """Return the answer, or None if no peer took the request.

        Raises RefusedError if a peer refused it, or may have run it without an answer.
        """
        forwarded = await self._forwarder.async_forward(
            self._request,
            self._routed_request,
            self._workspace,
            self._fingerprint,
            delivery,
            self._left_ms(),
        )
        if forwarded is None:
            return None
        self._record.record_forwarded_to(forwarded.vm_id)
        status = forwarded.answer.status
        headers = forwarded.answer.headers.without_hop_headers(self._dropped_fields)
        if is_event_stream(headers):
            delivery.record_answered()
            self._record.record_first_event(status, self._clock_ms())

            async def async_body(sink: BodySink) -> None:
                await self._async_relay_stream(forwarded, sink)

            return Response(
                status=status,
                headers=headers,
                body=async_body,
                on_end=lambda: self._stream_ended(forwarded),
            )
        body = await self._forwarder.async_read(forwarded, delivery, self._left_ms())
        delivery.record_answered()
        self._record.record_answer(status)
        return Response(status=status, headers=headers, body=body)

    def _left_ms(self) -> int:
        return max(1, self._routed_request.ends_ms - self._clock_ms())

    def _stream_ended(self, forwarded: ForwardedAnswer) -> None:
        """Close the connection to the peer, which ends the work at the endpoint, and log."""
        forwarded.answer.abort()
        self._record.record_stream_end(self._position.count)

    async def _async_relay_stream(self, forwarded: ForwardedAnswer, sink: BodySink) -> None:
        """Relay a stream; a broken one is broken for the caller, too."""
        try:
            async with asyncio.timeout(self._left_ms() / MS_PER_S):
                await forwarded.async_relay_events(self._position, sink, self._left_ms())
        except TimeoutError:
            self._record.record_stream_broken("the request's deadline has passed")
            raise BrokenStreamError("the request's deadline has passed") from None
        except WagtailusherError as err:
            self._record.record_stream_broken(err.message)
            raise BrokenStreamError("the connection to another VM broke") from err
        self._record.record_stream_complete(0)
