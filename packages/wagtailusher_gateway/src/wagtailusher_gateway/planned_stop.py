"""Decides which requests a VM that stops by plan still takes, and ends those that outlast it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
import math

from wagtailusher_core import ErrorCode
from wagtailusher_gateway.const import RETRY_AFTER_MIN_MS
from wagtailusher_gateway.delivery import Delivery
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.models import Repeat, Route

KEPT_DURATIONS = 64
"""Durations of served requests that are kept for each kind of request."""

MAX_KINDS = 128
"""Most kinds of requests whose durations are kept; routes come and go with configurations."""

MIN_DURATIONS = 8
"""Durations without which nothing is known of a kind of request."""

USUAL_SHARE = 0.95
"""Share of requests that take their usual time or less."""

TIME_MARGIN = 1.25
"""How much longer than usual a request may take; endpoints get busier as VMs leave."""

_Kind = tuple[str, Repeat, str]
"""A service, how often requests may be run, and their route or nothing for all routes."""


class PlannedStop:
    """Keeps a VM that leaves from taking requests which it can't end in time.

    While callers may not know that it leaves, a request is refused only if it usually takes longer
    than what is left of the grace. From then on one is taken only if its own deadline ends it in
    time, as an estimate may be wrong; "has not run" sends its caller to another VM at once.
    """

    def __init__(self, aware_after_ms: int) -> None:
        """`aware_after_ms` after the stop began, callers have had the time to learn of it."""
        self._aware_after_ms = aware_after_ms
        self._began_ms = 0
        self._ends_ms: int | None = None
        self.has_ended = False
        self._timeouts: set[asyncio.Timeout] = set()
        self._durations_ms: dict[_Kind, deque[int]] = {}

    def begin(self, now_ms: int, ends_ms: int) -> None:
        """Begin the stop; requests must have ended at `ends_ms`."""
        self._began_ms = now_ms
        self._ends_ms = ends_ms

    def record_served(self, service: str, route: Route, duration_ms: int) -> None:
        """Record how long a request took that was served."""
        for key in _keys(service, route):
            durations_ms = self._durations_ms.pop(key, None) or deque(maxlen=KEPT_DURATIONS)
            durations_ms.append(duration_ms)
            self._durations_ms[key] = durations_ms
        while len(self._durations_ms) > MAX_KINDS:
            del self._durations_ms[next(iter(self._durations_ms))]

    def may_take(self, service: str, route: Route, left_ms: int, now_ms: int) -> bool:
        """Return whether to take a request with `left_ms` until its end."""
        if self._ends_ms is None:
            return True
        needed_ms = left_ms
        if now_ms < self._began_ms + self._aware_after_ms:
            needed_ms = min(left_ms, self._usual_ms(service, route))
        return not self.has_ended and now_ms + needed_ms <= self._ends_ms

    def _usual_ms(self, service: str, route: Route) -> int:
        """Return the time that such requests take, 0 if it is not known."""
        for key in _keys(service, route):
            durations_ms = sorted(self._durations_ms.get(key, ()))
            if len(durations_ms) >= MIN_DURATIONS:
                usual_ms = durations_ms[math.ceil(USUAL_SHARE * len(durations_ms)) - 1]
                return math.ceil(usual_ms * TIME_MARGIN)
        return 0

    @contextmanager
    def ending(self, timeout: asyncio.Timeout) -> Iterator[None]:
        """Let a time-out pass at the end of the stop, too."""
        self._timeouts.add(timeout)
        try:
            yield
        finally:
            self._timeouts.discard(timeout)

    def end(self) -> None:
        """Time out all requests without an answer, and take no more."""
        self.has_ended = True
        now_s = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now_s)

    def error(self, delivery: Delivery) -> RefusedError:
        """Return the final error of a request that is not to be taken, or outlasts the stop."""
        return delivery.error(
            "this VM stops before the request would end", ErrorCode.DRAINING, RETRY_AFTER_MIN_MS
        )


def unread_error() -> RefusedError:
    """Return the error of a request that has not arrived completely as the stop ends."""
    return RefusedError(
        "this VM stops before the request has arrived",
        code=ErrorCode.DRAINING,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        retry_after_ms=RETRY_AFTER_MIN_MS,
    )


def _keys(service: str, route: Route) -> tuple[_Kind, _Kind]:
    """Return the kinds of a request: its route's, and that of all alike routes of the service."""
    return (service, route.repeat, route.name), (service, route.repeat, "")
