"""What may be said of a request at each moment; every end of an exchange goes through here."""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_gateway.const import MAX_SENDS_REFUSED
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.models import Repeat, Route


class DeliveryState(StrEnum):
    """How far a request has come."""

    NOT_SENT = "not_sent"
    """No byte went to an endpoint, or every endpoint said that it did not run it."""
    MAY_HAVE_RUN = "may_have_run"
    """A byte may have reached an endpoint that has not answered."""
    ANSWERED = "answered"
    """An endpoint's answer was passed on, at least its head."""


class Delivery:
    """One caller's attempt: counts its sends and knows what may be said and done next."""

    __slots__ = ("_route", "_was_run", "refused_sends", "sends", "state")

    def __init__(self, route: Route) -> None:
        """Start before the first send."""
        self._route = route
        self._was_run = False
        self.sends = 0
        self.refused_sends = 0
        self.state = DeliveryState.NOT_SENT

    def sent(self) -> None:
        """Note that the first byte is about to go to an endpoint."""
        self.sends += 1
        self.state = DeliveryState.MAY_HAVE_RUN

    def refused(self, *, counts: bool) -> None:
        """Note that the endpoint stated not to have run it.

        A refusal for another incarnation's sake counts as no attempt.
        """
        self.refused_sends += 1
        if not counts:
            self.sends -= 1
        if not self._was_run:
            self.state = DeliveryState.NOT_SENT

    def failed(self) -> None:
        """Note that the endpoint may have run it and gave no usable answer."""
        self._was_run = True
        self.state = DeliveryState.MAY_HAVE_RUN

    def answered(self) -> None:
        """Note that an answer was passed on."""
        self.state = DeliveryState.ANSWERED

    @property
    def may_send(self) -> bool:
        """Tell whether the request may go to another endpoint from its start."""
        if self.sends >= self._route.max_attempts or self.refused_sends >= MAX_SENDS_REFUSED:
            return False
        if self.state is DeliveryState.NOT_SENT:
            return True
        if self.state is DeliveryState.ANSWERED:
            return False
        return self._route.may_repeat or self._may_restart

    @property
    def _may_restart(self) -> bool:
        """Tell whether a stream of which nothing was passed on may begin anew."""
        return self._route.repeat is Repeat.STREAM and self._route.may_resume

    @property
    def may_resume(self) -> bool:
        """Tell whether a broken stream may go on at another endpoint."""
        return self._may_restart and self.sends < self._route.max_attempts

    def error(self, message: str, code: ErrorCode, retry_after_ms: int) -> RefusedError:
        """Return the true final answer to a request that gets none from an endpoint."""
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
        """Return the answer at the end of a request's time."""
        sent = self.state is not DeliveryState.NOT_SENT
        return RefusedError(
            message,
            code=ErrorCode.DEADLINE_UNREACHABLE,
            status=HTTPStatus.GATEWAY_TIMEOUT if sent else HTTPStatus.SERVICE_UNAVAILABLE,
            outcome=Outcome.UNKNOWN if sent else Outcome.NOT_RUN,
        )
