"""Values read from the configuration service, and the state of reading."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import ErrorCode, Revision
from wagtailusher_integrations.config_service.const import (
    DEFAULT_BACKOFF_BASE_MS,
    DEFAULT_BACKOFF_LIMIT_MS,
    DEFAULT_MIN_INTERVAL_MS,
    DEFAULT_READ_TIMEOUT_MS,
    DEFAULT_WAIT_MARGIN_MS,
    DEFAULT_WAIT_MS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LongPollLimits:
    """Timeouts, intervals and backoff of calls."""

    wait_ms: int = DEFAULT_WAIT_MS
    wait_margin_ms: int = DEFAULT_WAIT_MARGIN_MS
    read_timeout_ms: int = DEFAULT_READ_TIMEOUT_MS
    min_interval_ms: int = DEFAULT_MIN_INTERVAL_MS
    backoff_base_ms: int = DEFAULT_BACKOFF_BASE_MS
    backoff_limit_ms: int = DEFAULT_BACKOFF_LIMIT_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class PolledValue:
    """A value and the service's version of it."""

    version: int
    content: bytes
    ends_with_connection: bool
    """Whether only the end of the connection ended the value, so that it may be cut."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceContent:
    """A complete settings document, not yet validated; `read_ms` is event loop time."""

    revision: Revision
    content: bytes
    read_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PollStatus:
    """Counters and the last problem of reading, for operators and metrics."""

    calls: int
    throttled: int
    failures_in_a_row: int
    last_answer_ms: int | None
    problem_code: ErrorCode | None
    problem: str | None
