"""Responses to requests that are refused before their handler is called."""

from __future__ import annotations

from http import HTTPStatus

import h11

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_http.const import OVERLOAD_RETRY_MS
from wagtailusher_http.exceptions import BodyTooLargeError, RequestTimeoutError
from wagtailusher_http.messages import Response, error_response


def malformed_response(err: h11.RemoteProtocolError, outcome: Outcome) -> Response:
    """Return the response to a malformed request."""
    status = err.error_status_hint
    code = ErrorCode.BAD_REQUEST
    if status == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
        code = ErrorCode.HEADERS_TOO_LARGE
    return error_response(status, code, str(err), outcome=outcome)


def unread_response(err: BodyTooLargeError | RequestTimeoutError, outcome: Outcome) -> Response:
    """Return the response to a request that was too large or too slow."""
    too_large = err.code is ErrorCode.BODY_TOO_LARGE
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE if too_large else HTTPStatus.REQUEST_TIMEOUT
    return error_response(status, err.code, err.message, outcome=outcome)


def overload_response(outcome: Outcome) -> Response:
    """Return the response to a request that has to give way while it arrives."""
    return error_response(
        HTTPStatus.SERVICE_UNAVAILABLE,
        ErrorCode.QUEUE_FULL,
        "this VM has no memory for the request",
        outcome=outcome,
        retry_after_ms=OVERLOAD_RETRY_MS,
    )
