"""What an entry VM of a scenario exchanges with endpoints."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from tests.scenario.calls import SendRecord, answer_to
from tests.scenario.clockwork import LINK_MS
from tests.scenario.exchanges import Exchange
from wagtailusher_bench.fakes import Job, JobEnd
from wagtailusher_core import Outcome, RequestId
from wagtailusher_once import StoredAnswer
from wagtailusher_placement import AttemptResult
from wagtailusher_router import Cancel, Dispatch, UnknownRequestIdError

if TYPE_CHECKING:
    from tests.scenario.node import EntryNode

CONNECT_TIMEOUT_MS = 1_000
SILENCE_MS = 3_000
_ENDS = {JobEnd.REFUSED: AttemptResult.REFUSED, JobEnd.CRASHED: AttemptResult.CRASHED}


class NodeEndpoints:
    """The attempts of one process at endpoints."""

    def __init__(self, node: EntryNode) -> None:
        """Serve one node."""
        self._node = node
        self._fleet = node.fleet

    def dispatch(self, action: Dispatch) -> None:
        """Connect to an endpoint, then send."""
        exchange = self._node.exchanges[action.request_id]
        exchange.number += 1
        exchange.endpoint = str(action.endpoint_id)
        exchange.heard_ms = self._fleet.clock.time_ms
        number = exchange.number
        if self._fleet.links.is_cut(self._node.vm_id, exchange.endpoint):
            self._node.call_later(
                CONNECT_TIMEOUT_MS,
                lambda: self._fail(action.request_id, number, AttemptResult.REFUSED),
            )
            return
        self._node.call_later(2 * LINK_MS, lambda: self._send(action.request_id, number))

    def _send(self, request_id: RequestId, number: int) -> None:
        """Send a request's first byte if that is still allowed."""
        exchange = self._current(request_id, number)
        if exchange is None:
            return
        endpoint = self._fleet.endpoints[exchange.endpoint]
        if not endpoint.engine.is_up:
            self._fail(request_id, number, AttemptResult.REFUSED)
            return
        if not self._node.router.may_send(request_id, self._node.now_ms):
            self._fail(request_id, number, AttemptResult.CANCELLED)
            return
        spec = exchange.attempt.call.spec
        self._fleet.sends.append(
            SendRecord(
                at_ms=self._fleet.clock.time_ms,
                node_id=self._node.vm_id,
                endpoint=exchange.endpoint,
                domain=endpoint.spec.domain,
                class_name=spec.name,
            )
        )
        self._fleet.submit(
            self._node.vm_id, exchange.endpoint, self._job(request_id, exchange), exchange.attempt
        )

    def _job(self, request_id: RequestId, exchange: Exchange) -> Job:
        """Return a request as the endpoint sees it."""
        number = exchange.number
        endpoint = exchange.endpoint
        attempt = exchange.attempt

        def back(step: Callable[[], None]) -> None:
            self._fleet.links.send(endpoint, self._node.vm_id, lambda: self._node.run(step))

        return Job(
            job_id=f"{request_id}/{number}",
            sent_ms=self._fleet.clock.time_ms,
            on_progress=lambda tokens: back(lambda: self._progress(request_id, number, tokens)),
            on_end=lambda end: back(lambda: self._ended(request_id, number, end)),
            output_tokens=attempt.call.spec.output_tokens,
            service_work_ms=self._fleet.endpoints[endpoint].spec.service_ms,
            crashes_endpoint=attempt.call.crashing,
        )

    def _progress(self, request_id: RequestId, number: int, tokens: int) -> None:
        """Relay a part of an answer."""
        exchange = self._current(request_id, number)
        if exchange is None:
            return
        exchange.heard_ms = self._fleet.clock.time_ms
        if not exchange.tokens:
            self._node.router.record_first_token(request_id, self._node.now_ms)
            self._fleet.relay_first_token(self._node.vm_id, exchange.attempt)
        exchange.tokens += tokens
        if exchange.attempt.call.spec.output_tokens:
            self._node.router.record_progress(request_id, tokens, self._node.now_ms)

    def _ended(self, request_id: RequestId, number: int, end: JobEnd) -> None:
        """Take the end of an answer."""
        exchange = self._current(request_id, number)
        if exchange is None or end is JobEnd.CANCELLED:
            return
        if end is not JobEnd.COMPLETED:
            self._fail(request_id, number, _ENDS[end])
            return
        body = answer_to(exchange.attempt.body)
        stored = None
        if not exchange.attempt.call.spec.repeatable:
            stored = StoredAnswer(status=200, body=body)
        actions = self._node.router.handle_completion(request_id, stored, self._node.now_ms)
        self._node.reply(request_id, Outcome.COMPLETED, None, body)
        self._node.apply(actions)

    def _fail(self, request_id: RequestId, number: int, end: AttemptResult) -> None:
        """Tell the decider that an attempt ended without an answer."""
        exchange = self._current(request_id, number)
        if exchange is None:
            return
        exchange.number += 1
        exchange.endpoint = ""
        try:
            actions = self._node.router.handle_attempt_failure(request_id, end, self._node.now_ms)
        except UnknownRequestIdError:
            del self._node.exchanges[request_id]
            return
        self._node.apply(actions)

    def cancel(self, action: Cancel) -> None:
        """Break an exchange with an endpoint off."""
        exchange = self._node.exchanges.pop(action.request_id, None)
        if exchange is not None:
            job_id = f"{action.request_id}/{exchange.number}"
            self._fleet.cancel(self._node.vm_id, str(action.endpoint_id), job_id)

    def check_silence(self) -> None:
        """Fail the attempts whose connection has gone silent."""
        oldest_ms = self._fleet.clock.time_ms - SILENCE_MS
        silent = [
            (request_id, exchange.number)
            for request_id, exchange in self._node.exchanges.items()
            if exchange.endpoint and exchange.heard_ms < oldest_ms
        ]
        for request_id, number in silent:
            self._fail(request_id, number, AttemptResult.SILENT)

    def _current(self, request_id: RequestId, number: int) -> Exchange | None:
        """Return a request's exchange if an attempt is its newest."""
        exchange = self._node.exchanges.get(request_id)
        return exchange if exchange is not None and exchange.number == number else None
