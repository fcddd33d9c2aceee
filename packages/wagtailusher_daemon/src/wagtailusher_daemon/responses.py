"""HTTP responses for refusals and stored answers."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_daemon.const import HEADER_LEAVING, HEADER_LIMIT
from wagtailusher_http import ClientAnswer, Headers, Response, error_response
from wagtailusher_once import StoredAnswer
from wagtailusher_router import Refuse

_STATUS = {
    ErrorCode.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
    ErrorCode.UNKNOWN_WORKSPACE: HTTPStatus.NOT_FOUND,
    ErrorCode.UNKNOWN_ROUTE: HTTPStatus.NOT_FOUND,
    ErrorCode.UNKNOWN_CLASS: HTTPStatus.BAD_REQUEST,
    ErrorCode.UNKNOWN_MODEL: HTTPStatus.NOT_FOUND,
    ErrorCode.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    ErrorCode.QUOTA_EXCEEDED: HTTPStatus.TOO_MANY_REQUESTS,
    ErrorCode.TICKET_INVALID: HTTPStatus.FORBIDDEN,
    ErrorCode.PEER_UNAUTHENTICATED: HTTPStatus.FORBIDDEN,
    ErrorCode.TICKET_EXPIRED: HTTPStatus.GONE,
    ErrorCode.TICKET_REQUIRED: HTTPStatus.PRECONDITION_REQUIRED,
    ErrorCode.KEY_CONFLICT: HTTPStatus.CONFLICT,
    ErrorCode.IN_PROGRESS: HTTPStatus.CONFLICT,
    ErrorCode.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.ANSWER_NOT_KEPT: HTTPStatus.GONE,
    ErrorCode.ENDPOINT_FAILED: HTTPStatus.BAD_GATEWAY,
    ErrorCode.ENDPOINT_PROTOCOL: HTTPStatus.BAD_GATEWAY,
    ErrorCode.ANSWER_TRUNCATED: HTTPStatus.BAD_GATEWAY,
    ErrorCode.HOME_GONE: HTTPStatus.BAD_GATEWAY,
    ErrorCode.PEER_UNAVAILABLE: HTTPStatus.BAD_GATEWAY,
}

_MESSAGES = {
    ErrorCode.QUEUE_FULL: "the queue of this class is full",
    ErrorCode.SHED: "the request was shed for higher tiers",
    ErrorCode.QUOTA_EXCEEDED: "the quota of this class is used up",
    ErrorCode.DEADLINE_UNREACHABLE: "the latency target can't be met any more",
    ErrorCode.NO_ENDPOINT: "no endpoint takes this request",
    ErrorCode.QUARANTINED: "the request crashed several endpoints and is refused",
    ErrorCode.DRAINING: "this VM is leaving; use another address",
    ErrorCode.NOT_READY: "this VM can't take requests now; use another address",
    ErrorCode.TICKET_REQUIRED: "a request that may not be repeated needs a ticket",
    ErrorCode.TICKET_EXPIRED: "the ticket's lifetime is over",
    ErrorCode.HOME_GONE: "the VM that may run this request is gone",
    ErrorCode.KEY_CONFLICT: "the ticket or key was used with another body",
    ErrorCode.IN_PROGRESS: "an earlier attempt is in progress",
    ErrorCode.KEY_NOT_SETTLED: "no VM can run this idempotency key safely yet",
    ErrorCode.ANSWER_NOT_KEPT: "the request completed and its answer is no longer kept",
    ErrorCode.ENDPOINT_FAILED: "the endpoint failed",
    ErrorCode.CALLER_LEFT: "the caller left",
}


_HOP_HEADERS = frozenset(
    {"connection", "transfer-encoding", "content-length", "keep-alive", "date", "server"}
)


def end_to_end_headers(answer: ClientAnswer) -> Headers:
    """Return an answer's headers without the hop-by-hop ones and those meant for this VM."""
    return answer.headers.without(_HOP_HEADERS | {HEADER_LIMIT, HEADER_LEAVING})


def status_of(code: ErrorCode) -> HTTPStatus:
    """Return the HTTP status of an error code."""
    return _STATUS.get(code, HTTPStatus.SERVICE_UNAVAILABLE)


def refusal_response(refusal: Refuse, extra: dict[str, Any] | None = None) -> Response:
    """Return the response to a request that was refused, with optional extra error fields."""
    return coded_response(
        refusal.code, refusal.outcome, retry_after_ms=refusal.retry_after_ms, extra=extra
    )


def coded_response(
    code: ErrorCode,
    outcome: Outcome,
    message: str | None = None,
    *,
    retry_after_ms: int | None = None,
    extra: dict[str, Any] | None = None,
) -> Response:
    """Return an error response; status and default message follow from the code."""
    return error_response(
        status_of(code),
        code,
        message or _MESSAGES.get(code, str(code)),
        outcome=outcome,
        retry_after_ms=retry_after_ms,
        extra=extra,
    )


def stored_response(answer: StoredAnswer, request_id: str) -> Response:
    """Return the response that replays a stored answer."""
    headers = Headers(answer.headers).with_header("x-request-id", request_id)
    return Response(status=answer.status, headers=headers, body=answer.body)


def stopping_response() -> Response:
    """Return the answer to a request that is in progress when this VM stops."""
    return error_response(
        HTTPStatus.BAD_GATEWAY,
        ErrorCode.DRAINING,
        "this VM stopped before the request ended",
        outcome=Outcome.UNKNOWN,
    )
