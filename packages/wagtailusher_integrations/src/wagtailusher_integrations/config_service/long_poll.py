"""Calls on a service of the platform that may wait for a change, with backoff and jitter."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from random import Random

from wagtailusher_core import ErrorCode, WagtailusherError, callback
from wagtailusher_http import HttpClient, HttpError
from wagtailusher_integrations.config_service.const import (
    HEADER_RETRY_AFTER,
    HEADER_VERSION,
    MAX_RETRY_AFTER_MS,
    MS_PER_S,
)
from wagtailusher_integrations.config_service.exceptions import (
    GarbledValueError,
    PlatformError,
    ThrottledError,
)
from wagtailusher_integrations.config_service.models import (
    LongPollLimits,
    PolledValue,
    PollStatus,
)


def backoff_ms(failures: int, limits: LongPollLimits, generator: Random) -> int:
    """Return the pause before the next call: half of it fixed, half of it random."""
    doublings = min(failures - 1, 16)
    full_ms = min(limits.backoff_base_ms << doublings, limits.backoff_limit_ms)
    return full_ms // 2 + generator.randrange(full_ms // 2 + 1)


class LongPoll:
    """Makes the calls on one service and counts them."""

    def __init__(
        self, client: HttpClient, address: str, *, seed: int, limits: LongPollLimits | None = None
    ) -> None:
        """Call a service at `host:port`."""
        self.limits = limits or LongPollLimits()
        self._client = client
        self._address = address
        self._generator = Random(seed)
        self._calls = 0
        self._throttled = 0
        self._failures = 0
        self._last_answer_ms: int | None = None
        self._problem: WagtailusherError | None = None

    @property
    def status(self) -> PollStatus:
        """Return how reading goes."""
        problem = self._problem
        return PollStatus(
            calls=self._calls,
            throttled=self._throttled,
            failures_in_a_row=self._failures,
            last_answer_ms=self._last_answer_ms,
            problem_code=None if problem is None else problem.code,
            problem=None if problem is None else problem.message,
        )

    async def async_call(self, path: str, version: int | None = None) -> PolledValue | None:
        """Return a value; with a known version wait for another, None when none came."""
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
            body = await answer.async_read(self.limits.read_timeout_ms)
        except HttpError as error:
            raise PlatformError(f"{path} at {self._address}: {error.message}") from error
        retry_after = answer.headers.get(HEADER_RETRY_AFTER)
        return self._read_answer(
            path, answer.status, answer.headers.get(HEADER_VERSION), retry_after, body
        )

    def _read_answer(
        self, path: str, status: int, version: str | None, retry_after: str | None, body: bytes
    ) -> PolledValue | None:
        """Return the value in an answer."""
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            self._throttled += 1
            raise ThrottledError(
                f"{path}: the service's call limit is reached",
                retry_after_ms=_parse_retry_after(retry_after),
            )
        if status == HTTPStatus.NOT_MODIFIED:
            return None
        if status != HTTPStatus.OK:
            raise PlatformError(f"{path}: the service answered with status {status}")
        if version is None or not version.isdecimal() or len(version) > 18:
            raise GarbledValueError(f"{path}: the answer has no version")
        return PolledValue(version=int(version), content=body)

    @callback
    def succeeded(self, now_ms: int) -> None:
        """Note an answer that could be used."""
        self._failures = 0
        self._problem = None
        self._last_answer_ms = now_ms

    @callback
    def unchanged(self, now_ms: int) -> None:
        """Note an answer without a new value; what was wrong with the last value stays wrong."""
        self._failures = 0
        self._last_answer_ms = now_ms
        if self._problem is not None and self._problem.code is ErrorCode.PLATFORM_UNAVAILABLE:
            self._problem = None

    @callback
    def failed(self, error: WagtailusherError) -> None:
        """Note a call without a usable answer."""
        self._failures += 1
        self._problem = error

    async def async_pause(self) -> None:
        """Wait before the next call after a failure."""
        delay_ms = backoff_ms(max(self._failures, 1), self.limits, self._generator)
        if isinstance(self._problem, ThrottledError):
            delay_ms += self._problem.retry_after_ms
        await asyncio.sleep(delay_ms / MS_PER_S)


def _parse_retry_after(text: str | None) -> int:
    """Return the wait that a service asks for."""
    if text is None or not text.isdecimal() or len(text) > 6:
        return 0
    return min(int(text) * MS_PER_S, MAX_RETRY_AFTER_MS)
