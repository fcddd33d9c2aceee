"""HTTP interface for peers that hand callers' requests on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_gateway.caller_api import GatewayCallerApi
from wagtailusher_gateway.catch_up import CatchUp
from wagtailusher_gateway.const import MAX_FORWARDED_REQUESTS, RETRY_AFTER_MIN_MS
from wagtailusher_gateway.exceptions import ForwardError, RefusedError
from wagtailusher_gateway.forward_terms import (
    HEADER_FORWARD,
    HEADER_OUTCOME,
    ForwardTerms,
    read_terms,
    sign_outcome,
)
from wagtailusher_gateway.http_mapping import HttpMapping
from wagtailusher_http import Request, Response, error_response
from wagtailusher_wire import RequestSigner


class GatewayPeerApi:
    """Handles requests that peers hand on like those of callers, and states their outcome.

    Nothing that came from a peer is handed on again.
    """

    def __init__(
        self,
        caller_api: GatewayCallerApi,
        http_mapping: HttpMapping,
        signer: RequestSigner,
        catch_up: CatchUp,
        wall_ms: Callable[[], int],
    ) -> None:
        """Serve peers that sign with the fleet's secret."""
        self._caller_api = caller_api
        self._http_mapping = http_mapping
        self._signer = signer
        self._catch_up = catch_up
        self._wall_ms = wall_ms
        self._in_progress = 0

    async def async_handle(self, request: Request) -> Response:
        """Handle one request."""
        try:
            terms = read_terms(self._signer, request, self._wall_ms())
        except ForwardError as err:
            return error_response(HTTPStatus.FORBIDDEN, err.code, err.message)
        if self._in_progress >= MAX_FORWARDED_REQUESTS:
            response, outcome = self._caller_api.refusal_response(_too_many()), Outcome.NOT_RUN
        else:
            response, outcome = await self._async_serve(request, terms)
        attempt_id = self._http_mapping.answer_id(request.headers) or ""
        token = sign_outcome(self._signer, outcome, attempt_id, request)
        response.headers = response.headers.with_header(HEADER_OUTCOME, token)
        return response

    async def _async_serve(self, request: Request, terms: ForwardTerms) -> tuple[Response, Outcome]:
        """Serve a request, counting it as in progress until its response was sent."""
        own_request = replace(request, headers=request.headers.without(frozenset({HEADER_FORWARD})))
        self._in_progress += 1
        try:
            terms = await self._catch_up.async_wait(terms)
            response, outcome = await self._caller_api.async_serve(own_request, terms)
        except RefusedError as refusal:
            response, outcome = self._caller_api.refusal_response(refusal), refusal.outcome
        except BaseException:
            self._in_progress -= 1
            raise
        response.on_end = self._count_end(response.on_end)
        return response, outcome

    def _count_end(self, on_end: Callable[[], None] | None) -> Callable[[], None]:
        """Return what is called once the response was sent or aborted."""

        def count_end() -> None:
            self._in_progress -= 1
            if on_end is not None:
                on_end()

        return count_end


def _too_many() -> RefusedError:
    return RefusedError(
        "this VM serves too many requests of others",
        code=ErrorCode.QUEUE_FULL,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        retry_after_ms=RETRY_AFTER_MIN_MS,
    )
