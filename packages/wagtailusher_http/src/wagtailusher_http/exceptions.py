"""Errors of the HTTP layer."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, WagtailusherError


class HttpError(WagtailusherError):
    """Base class of the HTTP layer's errors."""


class ConnectError(HttpError):
    """No connection was established, so nothing was sent."""

    code = ErrorCode.ENDPOINT_FAILED


class SendCancelledError(HttpError):
    """The request was cancelled right before its first byte was sent."""

    code = ErrorCode.CALLER_LEFT


class AnswerError(HttpError):
    """The exchange failed after part of the request may have been sent."""

    code = ErrorCode.ENDPOINT_FAILED


class AnswerTruncatedError(AnswerError):
    """The response ended before its end marker or declared length."""

    code = ErrorCode.ANSWER_TRUNCATED


class StaleConnectionError(AnswerTruncatedError):
    """A kept connection ended without a byte of the response.

    The peer may have closed it as idle before the request reached it.
    """


class AnswerProtocolError(AnswerError):
    """The peer sent invalid HTTP."""

    code = ErrorCode.ENDPOINT_PROTOCOL


class AnswerMixedError(AnswerProtocolError):
    """The body contains bytes of another response, or bytes that nothing vouches for."""


class ReadTimeoutError(AnswerError):
    """No data arrived within the read time-out."""

    code = ErrorCode.ENDPOINT_FAILED


class AnswerTooLargeError(AnswerError):
    """A body that is read whole exceeds the limit of one answer."""

    code = ErrorCode.BODY_TOO_LARGE


class AnswerEvictedError(AnswerTooLargeError):
    """The answer was the largest one when all buffered answers exceeded their budget."""


class BodyTooLargeError(HttpError):
    """A caller's request body exceeds the allowed size."""

    code = ErrorCode.BODY_TOO_LARGE


class RequestTimeoutError(HttpError):
    """A caller did not complete a request body in time."""

    code = ErrorCode.BAD_REQUEST
