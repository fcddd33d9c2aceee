"""Long polling of a platform service, with backoff and jitter."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from random import Random

from wagtailusher_core import ErrorCode, WagtailusherError, callback
from wagtailusher_http import ClientAnswer, HttpClient, HttpError
from wagtailusher_integrations.config_service.const import (
    HEADER_RETRY_AFTER,
    HEADER_VERSION,
    MAX_POLLED_BYTES,
    MAX_RETRY_AFTER_MS,
    MS_PER_S,
)
from wagtailusher_integrations.config_service.exceptions import (
    MalformedValueError,
    PlatformError,
    ThrottledError,
)
from wagtailusher_integrations.config_service.models import (
    LongPollLimits,
    PolledValue,
    PollStatus,
)


def backoff_ms(failures: int, limits: LongPollLimits, rng: Random) -> int:
    """Return the pause before the next call in milliseconds, half fixed and half random."""
    doublings = min(failures - 1, 16)
    full_ms = min(limits.backoff_base_ms << doublings, limits.backoff_limit_ms)
    return full_ms // 2 + rng.randrange(full_ms // 2 + 1)


class LongPoll:
    """Calls one service and counts calls, throttling and failures."""

    def __init__(
        self, client: HttpClient, address: str, *, seed: int, limits: LongPollLimits | None = None
    ) -> None:
        """Prepare calls to a service at `host:port`; `seed` is that of the jitter."""
        self.limits = limits or LongPollLimits()
        self._client = client
        self._address = address
        self._rng = Random(seed)
        self._calls = 0
        self._throttled = 0
        self._failures = 0
        self._last_answer_ms: int | None = None
        self._problem: WagtailusherError | None = None

    @property
    def status(self) -> PollStatus:
        """Return the counters and the last problem."""
        problem = self._problem
        return PollStatus(
            calls=self._calls,
            throttled=self._throttled,
            failures_in_a_row=self._failures,
            last_answer_ms=self._last_answer_ms,
            problem_code=None if problem is None else problem.code,
            problem=None if problem is None else problem.message,
        )

    async def async_fetch(self, path: str, version: int | None = None) -> PolledValue | None:
        """Return a value; with a version, wait for a newer one, None if there was none.

        Raises PlatformError when the service does not answer or the answer can't be used.
        """
        target = path
        timeout_ms = self.limits.read_timeout_ms
        if version is not None:
            target = f"{path}?version={version}&wait_ms={self.limits.wait_ms}"
            timeout_ms = self.limits.wait_ms + self.limits.wait_margin_ms
        self._calls += 1
        try:
            answer = await self._client.async_request(
                self._address,
                "GET",
                target,
                new_connection=self._failures > 0,
                head_timeout_ms=timeout_ms,
            )
            body = await answer.async_read(
                self.limits.read_timeout_ms,
                max_bytes=MAX_POLLED_BYTES,
                timeout_ms=self.limits.read_timeout_ms,
            )
        except HttpError as error:
            raise PlatformError(f"{path} at {self._address}: {error.message}") from error
        return self._read_answer(path, answer, body)

    def _read_answer(self, path: str, answer: ClientAnswer, body: bytes) -> PolledValue | None:
        """Return the value in an answer, None if it has not changed."""
        status = answer.status
        version = answer.headers.get(HEADER_VERSION)
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            self._throttled += 1
            raise ThrottledError(
                f"{path}: the service's call limit is reached",
                retry_after_ms=_parse_retry_after(answer.headers.get(HEADER_RETRY_AFTER)),
            )
        if status == HTTPStatus.NOT_MODIFIED:
            return None
        if status != HTTPStatus.OK:
            raise PlatformError(f"{path}: the service answered with status {status}")
        if version is None or not version.isdecimal() or len(version) > 18:
            raise MalformedValueError(f"{path}: the answer has no valid version header")
        return PolledValue(
            version=int(version),
            content=body,
            ends_with_connection=answer.is_delimited_by_close,
        )

    @callback
    def record_success(self, now_ms: int) -> None:
        """Record a usable answer."""
        self._failures = 0
        self._problem = None
        self._last_answer_ms = now_ms

    @callback
    def record_unchanged(self, now_ms: int) -> None:
        """Record an answer without a new value; a problem of the last value stays reported."""
        self._failures = 0
        self._last_answer_ms = now_ms
        if self._problem is not None and self._problem.code is ErrorCode.PLATFORM_UNAVAILABLE:
            self._problem = None

    @callback
    def record_failure(self, error: WagtailusherError) -> None:
        """Record a call without a usable answer."""
        self._failures += 1
        self._problem = error

    async def async_pause(self) -> None:
        """Wait before the next call after a failure."""
        delay_ms = backoff_ms(max(self._failures, 1), self.limits, self._rng)
        if isinstance(self._problem, ThrottledError):
            delay_ms += self._problem.retry_after_ms
        await asyncio.sleep(delay_ms / MS_PER_S)


def _parse_retry_after(text: str | None) -> int:
    """Return the wait in a Retry-After header in milliseconds, 0 if there is none."""
    if text is None or not text.isdecimal() or len(text) > 6:
        return 0
    return min(int(text) * MS_PER_S, MAX_RETRY_AFTER_MS)
