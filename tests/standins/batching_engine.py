"""Stand-in for an engine that batches requests and preempts by the priority that they state.

A waiting request that is more urgent than a running one takes its place in a full batch. Of the
least urgent running requests the newest is preempted, and continues when there is room again.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tests.standins.runner import Received, RunnerStandin, stream

EVENT_GAP_S = 0.01
DEFAULT_PRIORITY = "5"
"""Priority of a request that states none."""


@dataclass(slots=True, kw_only=True, eq=False)
class _Run:
    """One request at the engine."""

    attempt_id: str
    priority: int
    may_run: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True, slots=True, kw_only=True)
class Preemption:
    """A preempted request, and the requests that kept running."""

    attempt_id: str
    running_ids: tuple[str, ...]


class BatchingEngine:
    """Runs at most `batch_requests` streams at once; `async_behave` is a runner's behaviour."""

    def __init__(self, batch_requests: int, event_count: int) -> None:
        self._batch_requests = batch_requests
        self._event_count = event_count
        self._running: list[_Run] = []
        self._waiting: list[_Run] = []
        self.preemptions: list[Preemption] = []

    @property
    def running_ids(self) -> tuple[str, ...]:
        """Return the attempts that run, in the order of their starts."""
        return tuple(run.attempt_id for run in self._running)

    async def async_behave(
        self, runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        """Stream events while the request is in the batch."""
        run = _Run(
            attempt_id=request.headers["x-attempt-id"],
            priority=int(request.headers.get("x-request-priority", DEFAULT_PRIORITY)),
        )
        self._waiting.append(run)
        self._fill_batch()
        try:
            await run.may_run.wait()
            return await stream(
                self._event_count,
                gap_s=EVENT_GAP_S,
                may_continue=run.may_run.wait,
            )(runner, request, writer)
        finally:
            self._remove(run)

    def _remove(self, run: _Run) -> None:
        """Remove a request that ended or was cancelled."""
        for requests in (self._running, self._waiting):
            if run in requests:
                requests.remove(run)
        self._fill_batch()

    def _fill_batch(self) -> None:
        """Start waiting requests, the most urgent first, while there is room or one to preempt."""
        self._waiting.sort(key=lambda run: run.priority)
        while self._waiting:
            candidate = self._waiting[0]
            if len(self._running) >= self._batch_requests and not self._preempt_for(candidate):
                return
            self._waiting.remove(candidate)
            self._running.append(candidate)
            candidate.may_run.set()

    def _preempt_for(self, candidate: _Run) -> bool:
        """Preempt the newest of the least urgent running requests if it is less urgent."""
        priority = max(run.priority for run in self._running)
        if priority <= candidate.priority:
            return False
        victim = [run for run in self._running if run.priority == priority][-1]
        self._running.remove(victim)
        victim.may_run.clear()
        self._waiting.append(victim)
        self.preemptions.append(
            Preemption(attempt_id=victim.attempt_id, running_ids=self.running_ids)
        )
        return True
