"""Tracks whether a request may have run; this decides on retries and on the final error answer."""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_gateway.const import MAX_REFUSED_SENDS
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.models import Repeat, Route


class DeliveryState(StrEnum):
    """Delivery progress of a request."""

    NOT_SENT = "not_sent"
    """No byte was sent to an endpoint, or every endpoint stated that it did not run the request."""
    MAY_HAVE_RUN = "may_have_run"
    """An endpoint that has not answered may have received a part of the request."""
    ANSWERED = "answered"
    """At least the head of an endpoint's answer was relayed to the caller."""


class Delivery:
    """State of one caller's request: its sends, and whether it may be sent again."""

    __slots__ = ("_route", "_was_run", "refused_sends", "sends", "state")

    def __init__(self, route: Route) -> None:
        self._route = route
        self._was_run = False
        self.sends = 0
        self.refused_sends = 0
        self.state = DeliveryState.NOT_SENT

    def record_sent(self) -> None:
        """Record that the first byte is about to be sent to an endpoint."""
        self.sends += 1
        self.state = DeliveryState.MAY_HAVE_RUN

    def record_refused(self, *, counts: bool) -> None:
        """Record that the endpoint stated that it did not run the request.

        `counts` is false if another incarnation refused it, which does not count as an attempt.
        """
        self.refused_sends += 1
        if not counts:
            self.sends -= 1
        if not self._was_run:
            self.state = DeliveryState.NOT_SENT

    def record_failure(self) -> None:
        """Record that the endpoint may have run the request but returned no usable answer."""
        self._was_run = True
        self.state = DeliveryState.MAY_HAVE_RUN

    def record_answered(self) -> None:
        """Record that an answer is relayed to the caller."""
        self.state = DeliveryState.ANSWERED

    @property
    def may_send(self) -> bool:
        """Return whether the request may be sent to another endpoint from its start."""
        if self.sends >= self._route.max_attempts or self.refused_sends >= MAX_REFUSED_SENDS:
            return False
        if self.state is DeliveryState.NOT_SENT:
            return True
        if self.state is DeliveryState.ANSWERED:
            return False
        return self._route.may_repeat or self._may_restart

    @property
    def _may_restart(self) -> bool:
        """Return whether a stream of which nothing was relayed may be restarted."""
        return self._route.repeat is Repeat.STREAM and self._route.may_resume

    @property
    def may_resume(self) -> bool:
        """Return whether a broken stream may be resumed at another endpoint."""
        return self._may_restart and self.sends < self._route.max_attempts

    def error(self, message: str, code: ErrorCode, retry_after_ms: int) -> RefusedError:
        """Return the final error of a request without an endpoint's answer.

        The status is 503 only if the request has not run; otherwise its outcome is unknown.
        """
        if self.state is DeliveryState.NOT_SENT:
            return RefusedError(
                message,
                code=code,
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                retry_after_ms=retry_after_ms,
            )
        return RefusedError(
            message, code=code, status=HTTPStatus.BAD_GATEWAY, outcome=Outcome.UNKNOWN
        )

    def timed_out(self, message: str) -> RefusedError:
        """Return the final error of a request that reached its deadline."""
        was_sent = self.state is not DeliveryState.NOT_SENT
        return RefusedError(
            message,
            code=ErrorCode.DEADLINE_UNREACHABLE,
            status=HTTPStatus.GATEWAY_TIMEOUT if was_sent else HTTPStatus.SERVICE_UNAVAILABLE,
            outcome=Outcome.UNKNOWN if was_sent else Outcome.NOT_RUN,
        )
