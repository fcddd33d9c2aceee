"""Errors of model engines."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, WagtailusherError


class EngineError(WagtailusherError):
    """An engine's answer can't be used."""

    code = ErrorCode.ENDPOINT_PROTOCOL


class BrokenStreamError(EngineError):
    """The stream contains bytes that are no event."""


class IncompleteStreamError(EngineError):
    """The stream ended without its end marker."""

    code = ErrorCode.ANSWER_TRUNCATED
