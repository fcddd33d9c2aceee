"""Errors of the HTTP layer."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, WagtailusherError


class HttpError(WagtailusherError):
    """The root of the HTTP layer's errors."""


class ConnectError(HttpError):
    """No connection was made, so no byte was sent."""

    code = ErrorCode.ENDPOINT_FAILED


class SendCancelledError(HttpError):
    """The sender withdrew the request right before its first byte."""

    code = ErrorCode.CALLER_LEFT


class AnswerError(HttpError):
    """The exchange failed after a byte of the request may have been sent."""

    code = ErrorCode.ENDPOINT_FAILED


class AnswerTruncatedError(AnswerError):
    """The answer ended before its end marker or declared length."""

    code = ErrorCode.ANSWER_TRUNCATED


class AnswerProtocolError(AnswerError):
    """The other side broke the protocol."""

    code = ErrorCode.ENDPOINT_PROTOCOL


class ReadTimeoutError(AnswerError):
    """Nothing arrived within the allowed silence."""

    code = ErrorCode.ENDPOINT_FAILED


class BodyTooLargeError(HttpError):
    """A body is larger than allowed."""

    code = ErrorCode.BODY_TOO_LARGE


class RequestTimeoutError(HttpError):
    """A caller began a request and did not finish it in time."""

    code = ErrorCode.BAD_REQUEST
