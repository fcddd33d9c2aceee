"""Communication of a scenario's entry VM with endpoints."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from tests.scenario.calls import SendRecord, expected_answer
from tests.scenario.exchanges import Exchange
from tests.scenario.simulation import LINK_DELAY_MS
from wagtailusher_bench.fakes import Job, JobEnd
from wagtailusher_core import Outcome, RequestId
from wagtailusher_once import StoredAnswer
from wagtailusher_placement import AttemptResult
from wagtailusher_router import Cancel, Dispatch, UnknownRequestIdError

if TYPE_CHECKING:
    from tests.scenario.node import EntryNode

CONNECT_TIMEOUT_MS = 1_000
IDLE_TIMEOUT_MS = 3_000
_RESULT_BY_END = {JobEnd.REFUSED: AttemptResult.REFUSED, JobEnd.CRASHED: AttemptResult.CRASHED}


class NodeEndpoints:
    """Attempts of one entry VM's process at endpoints."""

    def __init__(self, node: EntryNode) -> None:
        self._node = node
        self._fleet = node.fleet

    def dispatch(self, action: Dispatch) -> None:
        """Connect to an endpoint and schedule the send."""
        exchange = self._node.exchanges[action.request_id]
        exchange.attempt_number += 1
        exchange.endpoint = str(action.endpoint_id)
        exchange.last_activity_ms = self._fleet.clock.time_ms
        attempt_number = exchange.attempt_number
        if self._fleet.links.is_cut(self._node.vm_id, exchange.endpoint):
            self._node.call_later(
                CONNECT_TIMEOUT_MS,
                lambda: self._fail(action.request_id, attempt_number, AttemptResult.REFUSED),
            )
            return
        self._node.call_later(
            2 * LINK_DELAY_MS, lambda: self._send(action.request_id, attempt_number)
        )

    def _send(self, request_id: RequestId, attempt_number: int) -> None:
        """Send a request if its endpoint is up and the router still allows it."""
        exchange = self._current_exchange(request_id, attempt_number)
        if exchange is None:
            return
        endpoint = self._fleet.endpoints[exchange.endpoint]
        if not endpoint.engine.is_up:
            self._fail(request_id, attempt_number, AttemptResult.REFUSED)
            return
        if not self._node.router.may_send(request_id, self._node.now_ms):
            self._fail(request_id, attempt_number, AttemptResult.CANCELLED)
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
            self._node.vm_id,
            exchange.endpoint,
            self._make_job(request_id, exchange),
            exchange.attempt,
        )

    def _make_job(self, request_id: RequestId, exchange: Exchange) -> Job:
        """Return the job that executes a request at its endpoint."""
        attempt_number = exchange.attempt_number
        endpoint = exchange.endpoint
        attempt = exchange.attempt

        def run_at_node(callback: Callable[[], None]) -> None:
            self._fleet.links.send(endpoint, self._node.vm_id, lambda: self._node.run(callback))

        return Job(
            job_id=f"{request_id}/{attempt_number}",
            sent_ms=self._fleet.clock.time_ms,
            on_progress=lambda tokens: run_at_node(
                lambda: self._handle_progress(request_id, attempt_number, tokens)
            ),
            on_end=lambda end: run_at_node(
                lambda: self._handle_end(request_id, attempt_number, end)
            ),
            output_tokens=attempt.call.spec.output_tokens,
            service_work_ms=self._fleet.endpoints[endpoint].spec.service_ms,
            crashes_endpoint=attempt.call.crashing,
        )

    def _handle_progress(self, request_id: RequestId, attempt_number: int, tokens: int) -> None:
        """Record the progress of an answer, and relay its first token."""
        exchange = self._current_exchange(request_id, attempt_number)
        if exchange is None:
            return
        exchange.last_activity_ms = self._fleet.clock.time_ms
        if not exchange.token_count:
            self._node.router.record_first_token(request_id, self._node.now_ms)
            self._fleet.relay_first_token(self._node.vm_id, exchange.attempt)
        exchange.token_count += tokens
        if exchange.attempt.call.spec.output_tokens:
            self._node.router.record_progress(request_id, tokens, self._node.now_ms)

    def _handle_end(self, request_id: RequestId, attempt_number: int, end: JobEnd) -> None:
        """Reply with the complete answer, or fail the attempt."""
        exchange = self._current_exchange(request_id, attempt_number)
        if exchange is None or end is JobEnd.CANCELLED:
            return
        if end is not JobEnd.COMPLETED:
            self._fail(request_id, attempt_number, _RESULT_BY_END[end])
            return
        body = expected_answer(exchange.attempt.body)
        stored = None
        if not exchange.attempt.call.spec.repeatable:
            stored = StoredAnswer(status=200, body=body)
        actions = self._node.router.handle_completion(request_id, stored, self._node.now_ms)
        self._node.reply(request_id, Outcome.COMPLETED, None, body)
        self._node.apply(actions)

    def _fail(self, request_id: RequestId, attempt_number: int, end: AttemptResult) -> None:
        """Report an attempt that ended without an answer to the router."""
        exchange = self._current_exchange(request_id, attempt_number)
        if exchange is None:
            return
        exchange.attempt_number += 1
        exchange.endpoint = ""
        try:
            actions = self._node.router.handle_attempt_failure(request_id, end, self._node.now_ms)
        except UnknownRequestIdError:
            del self._node.exchanges[request_id]
            return
        self._node.apply(actions)

    def cancel(self, action: Cancel) -> None:
        """Drop a request and cancel its job at the endpoint."""
        exchange = self._node.exchanges.pop(action.request_id, None)
        if exchange is not None:
            job_id = f"{action.request_id}/{exchange.attempt_number}"
            self._fleet.cancel(self._node.vm_id, str(action.endpoint_id), job_id)

    def check_idle_timeouts(self) -> None:
        """Fail the attempts whose endpoint has sent nothing within the idle timeout."""
        oldest_allowed_ms = self._fleet.clock.time_ms - IDLE_TIMEOUT_MS
        timed_out = [
            (request_id, exchange.attempt_number)
            for request_id, exchange in self._node.exchanges.items()
            if exchange.endpoint and exchange.last_activity_ms < oldest_allowed_ms
        ]
        for request_id, attempt_number in timed_out:
            self._fail(request_id, attempt_number, AttemptResult.SILENT)

    def _current_exchange(self, request_id: RequestId, attempt_number: int) -> Exchange | None:
        """Return a request's exchange if the attempt is its current one."""
        exchange = self._node.exchanges.get(request_id)
        return (
            exchange if exchange is not None and exchange.attempt_number == attempt_number else None
        )
