"""Rates at which engines read prompts and produce tokens, as every decision uses them.

Answers loads at engines whose speed nobody states: a queue that one engine reads in time is far
too long for another. The rates are learnt from what answers show, and joined over the VMs.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from wagtailusher_core import EndpointId, VmId
from wagtailusher_gateway.observations import (
    NOTHING,
    Observations,
    SharedEstimate,
    Weighted,
    shrink,
)

INITIAL_PROMPT_TOKENS_PER_MS = 45.0
"""Prompt tokens per ms of an engine of which nothing is known; half of a fast engine's rate, so
that the first requests after a start don't queue beyond their targets at a slow one."""

INITIAL_STEP_MS = 5.0
"""Time of a decoding step of an engine of which nothing is known."""

INITIAL_STEP_MS_PER_REQUEST = 0.05
"""Time that each running request adds to such a step."""

INITIAL_FIRST_EVENT_MS = 20.0
"""Time between the end of reading a prompt and the first event, of an unknown engine."""

INITIAL_QUIET_GAP_MS = 40.0
"""Time between two events of a stream at an unknown engine that reads no prompts."""

INITIAL_BUSY_GAP_MS = 500.0
"""The same while it reads prompts all the time: some chunks of a prompt between two events."""

MIN_PROMPT_TOKENS = 1_000
"""Uncached tokens from which the time to a first event tells the reading rate; below, the fixed
part is most of it."""

MAX_FIXED_TOKENS = 1_000
"""Uncached and queued tokens up to which it tells the fixed part."""

LIGHT_BATCH = 4
"""Running requests up to which a gap between events tells the time of a step without load."""

CROWDED_BATCH = 8
"""Running requests from which it tells what each of them adds."""

MAX_FIXED_GAPS = 2.0
"""Longest fixed part, in quiet gaps between events; what is longer was spent in unknown queues."""

MAX_DOUBT = 0.75
"""Part of its weight that an observation loses if its tokens were most uncertain."""

SERVICE_WEIGHT = 3.0
"""Observations of an engine that outweigh its service's rate; fewer may all lie in a slow spell."""

INITIAL_WEIGHT = 2.0
"""Observations of a service that outweigh the initial rates."""

MAX_ENGINE_WEIGHT = 6.0
"""Largest weight of one engine in its service's rate, so that a busy one does not stand for all."""

REPORT_MS = 2_500
"""How long after its last observation an engine's rate is told to peers; two heartbeats of the
largest fleets."""

REFRESH_MS = 1_000
"""How long a computed rate is used; a fraction of the time in which rates change."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRate:
    """How fast one engine works, as far as it was observed."""

    prompt_tokens_per_ms: float = INITIAL_PROMPT_TOKENS_PER_MS
    step_ms: float = INITIAL_STEP_MS
    """Time of a decoding step without load."""
    step_ms_per_request: float = INITIAL_STEP_MS_PER_REQUEST
    first_event_ms: float = INITIAL_FIRST_EVENT_MS
    """Fixed part of the time to the first event."""
    quiet_gap_ms: float = INITIAL_QUIET_GAP_MS
    """Time between two events of a stream while the engine reads no prompts."""
    busy_gap_ms: float = INITIAL_BUSY_GAP_MS
    """The same while it reads prompts all the time."""

    def prompt_ms(self, tokens: float) -> float:
        """Return the time in ms in which the engine reads prompt tokens."""
        return tokens / self.prompt_tokens_per_ms

    def event_count(self, tokens: int) -> float:
        """Return in how many events an answer of some tokens arrives."""
        return tokens * self.step_ms / self.quiet_gap_ms

    def token_step_ms(self, running: int) -> float:
        """Return the time in ms between two tokens of a request among `running` ones."""
        return self.step_ms + self.step_ms_per_request * running


INITIAL_RATE = EngineRate()
"""The rate of an engine of which nothing is known."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RateReport:
    """What one VM observed of an engine; a time of 0 stands for no observation."""

    prompt_tokens_per_ms: float = 0.0
    prompt_weight: float = 0.0
    quiet_gap_ms: float = 0.0
    busy_gap_ms: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FirstEvent:
    """The first event of an answer, with what was believed of its engine when it was sent."""

    elapsed_ms: float
    """Time since the request was sent."""
    own_tokens: int
    """Tokens of its prompt believed not to be cached."""
    queued_tokens: int
    """Tokens believed to be queued ahead of it."""
    doubt: float = 0.0
    """Between 0 and 1, how uncertain it was which tokens were cached."""


@dataclass(slots=True)
class _Engine:
    """What is known of one engine; times per prompt token and between events in ms."""

    token: SharedEstimate = field(default_factory=SharedEstimate)
    quiet_gap: SharedEstimate = field(default_factory=SharedEstimate)
    busy_gap: SharedEstimate = field(default_factory=SharedEstimate)
    observed_ms: int = -REPORT_MS - 1
    """When this VM last observed it."""


@dataclass(slots=True)
class _Service:
    """What is known of a service's engines, with the rates last computed from it."""

    engines: dict[EndpointId, _Engine] = field(default_factory=dict)
    fixed: Observations = field(default_factory=Observations)
    event_tokens: Observations = field(default_factory=Observations)
    gap_per_request: Observations = field(default_factory=Observations)
    """By how many ms each running request lengthens the gap between events."""
    rate: EngineRate = INITIAL_RATE
    engine_rates: dict[EndpointId, EngineRate] = field(default_factory=dict)
    computed_ms: int | None = None


class EngineRates:
    """The rates of all engines that this VM knows."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}
        self._service_of: dict[EndpointId, str] = {}

    def rate(self, service: str, endpoint_id: EndpointId, now_ms: int) -> EngineRate:
        """Return an engine's rate, its service's if it was not observed."""
        known = self._current(service, now_ms)
        return known.engine_rates.get(endpoint_id, known.rate)

    def service_rate(self, service: str, now_ms: int) -> EngineRate:
        """Return the rate of a typical engine of a service."""
        return self._current(service, now_ms).rate

    def service_rates(self, now_ms: int) -> list[tuple[str, EngineRate]]:
        """Return the rates of all services of which an engine was observed."""
        return [(name, self.service_rate(name, now_ms)) for name in self._services]

    def update_endpoints(
        self, services: dict[EndpointId, str], restarted: Iterable[EndpointId]
    ) -> None:
        """Forget engines that are gone or started anew; these may be faster or slower."""
        self._service_of = services
        restarted_ids = frozenset(restarted)
        for service in self._services.values():
            for endpoint_id in list(service.engines):
                if endpoint_id not in services or endpoint_id in restarted_ids:
                    del service.engines[endpoint_id]
                    service.engine_rates.pop(endpoint_id, None)

    def record_first_event(
        self, service: str, endpoint_id: EndpointId, event: FirstEvent, now_ms: int
    ) -> None:
        """Record the first event of an answer of an engine that was not in cold start.

        The time to it holds the queue, the prompt and a fixed part, of which the longest is told.
        """
        known = self._services.setdefault(service, _Service())
        rate = self.rate(service, endpoint_id, now_ms)
        tokens = event.own_tokens + event.queued_tokens
        certainty = 1.0 - MAX_DOUBT * event.doubt
        if tokens <= MAX_FIXED_TOKENS:
            known.fixed.add(max(0.0, event.elapsed_ms - rate.prompt_ms(tokens)), certainty, now_ms)
        elif event.own_tokens >= MIN_PROMPT_TOKENS:
            reading_ms = max(1.0, event.elapsed_ms - rate.first_event_ms)
            weight = certainty * event.own_tokens / tokens
            engine = known.engines.setdefault(endpoint_id, _Engine())
            engine.token.add(reading_ms / tokens, weight, now_ms)
            engine.observed_ms = now_ms

    def record_gap(
        self,
        service: str,
        endpoint_id: EndpointId,
        gap_ms: float,
        now_ms: int,
        *,
        is_busy: bool,
        running: int = 0,
    ) -> None:
        """Record the time between two events of a stream among `running` requests.

        `is_busy` tells that prompts were read all the time, otherwise none was.
        """
        known = self._services.setdefault(service, _Service())
        engine = known.engines.setdefault(endpoint_id, _Engine())
        engine.observed_ms = now_ms
        if is_busy:
            engine.busy_gap.add(max(1.0, gap_ms), 1.0, now_ms)
        elif running <= LIGHT_BATCH:
            engine.quiet_gap.add(max(1.0, gap_ms), 1.0, now_ms)
        elif running >= CROWDED_BATCH:
            longer_ms = max(0.0, gap_ms - self.rate(service, endpoint_id, now_ms).quiet_gap_ms)
            known.gap_per_request.add(longer_ms / running, 1.0, now_ms)

    def record_output(self, service: str, tokens: int, events: int, now_ms: int) -> None:
        """Record a complete answer's tokens and events."""
        if tokens > 0 and events > 0:
            known = self._services.setdefault(service, _Service())
            known.event_tokens.add(max(1.0, tokens / events), 1.0, now_ms)

    def observed_ids(self, now_ms: int) -> list[EndpointId]:
        """Return the engines that this VM itself lately observed."""
        return [
            endpoint_id
            for service in self._services.values()
            for endpoint_id, engine in service.engines.items()
            if now_ms - engine.observed_ms <= REPORT_MS
        ]

    def own_report(self, endpoint_id: EndpointId, now_ms: int) -> RateReport:
        """Return what this VM itself observed of an engine, to tell it to peers."""
        for service in self._services.values():
            engine = service.engines.get(endpoint_id)
            if engine is not None:
                return _own_report(engine, now_ms)
        return RateReport()

    def set_peer_report(
        self, vm_id: VmId, endpoint_id: EndpointId, report: RateReport, sent_ms: int
    ) -> None:
        """Apply what a peer observed of an engine that this VM knows."""
        name = self._service_of.get(endpoint_id)
        tells_gaps = report.quiet_gap_ms > 0 or report.busy_gap_ms > 0
        if name is None or not (tells_gaps or report.prompt_tokens_per_ms > 0):
            return
        engines = self._services.setdefault(name, _Service()).engines
        engine = engines.get(endpoint_id)
        if engine is None:
            engine = engines[endpoint_id] = _Engine()
        if report.prompt_tokens_per_ms > 0:
            token_ms = 1.0 / report.prompt_tokens_per_ms
            engine.token.set_peer(vm_id, token_ms, report.prompt_weight, sent_ms)
        if report.quiet_gap_ms > 0:
            engine.quiet_gap.set_peer(vm_id, report.quiet_gap_ms, 1.0, sent_ms)
        if report.busy_gap_ms > 0:
            engine.busy_gap.set_peer(vm_id, report.busy_gap_ms, 1.0, sent_ms)

    def _current(self, service: str, now_ms: int) -> _Service:
        """Return a service's rates, computed anew if they are no longer fresh."""
        known = self._services.get(service)
        if known is None:
            return _UNKNOWN_SERVICE
        if known.computed_ms is None or now_ms - known.computed_ms >= REFRESH_MS:
            known.computed_ms = now_ms
            _compute(known, now_ms)
        return known


_UNKNOWN_SERVICE = _Service()


def _own_report(engine: _Engine, now_ms: int) -> RateReport:
    token = engine.token.own(now_ms)
    return RateReport(
        prompt_tokens_per_ms=1.0 / token.value if token.weight else 0.0,
        prompt_weight=token.weight,
        quiet_gap_ms=engine.quiet_gap.own(now_ms).value,
        busy_gap_ms=engine.busy_gap.own(now_ms).value,
    )


def _compute(known: _Service, now_ms: int) -> None:
    """Compute the rates of a service, and of its engines as far as they were observed."""
    tokens = {key: item.token.joined(now_ms) for key, item in known.engines.items()}
    quiet_gaps = {key: item.quiet_gap.joined(now_ms) for key, item in known.engines.items()}
    busy_gaps = {key: item.busy_gap.joined(now_ms) for key, item in known.engines.items()}
    token_ms = _typical(1.0 / INITIAL_PROMPT_TOKENS_PER_MS, tokens.values())
    quiet_ms = _typical(INITIAL_QUIET_GAP_MS, quiet_gaps.values())
    busy_ms = _typical(INITIAL_BUSY_GAP_MS, busy_gaps.values())
    fixed = known.fixed.estimate(now_ms)
    fixed_ms = fixed.value if fixed.weight >= INITIAL_WEIGHT else INITIAL_FIRST_EVENT_MS
    fixed_ms = min(fixed_ms, MAX_FIXED_GAPS * quiet_ms)
    event_tokens = known.event_tokens.estimate(now_ms)
    per_request = known.gap_per_request.estimate(now_ms)

    def rate(token: Weighted, quiet: Weighted, busy: Weighted) -> EngineRate:
        quiet_gap_ms = shrink(quiet_ms, SERVICE_WEIGHT, (quiet,))
        step_ms = quiet_gap_ms / event_tokens.value if event_tokens.weight else INITIAL_STEP_MS
        growth_ms = step_ms * INITIAL_STEP_MS_PER_REQUEST / INITIAL_STEP_MS
        if per_request.weight >= INITIAL_WEIGHT:
            growth_ms = per_request.value * step_ms / quiet_gap_ms
        return EngineRate(
            prompt_tokens_per_ms=1.0 / shrink(token_ms, SERVICE_WEIGHT, (token,)),
            step_ms=step_ms,
            step_ms_per_request=growth_ms,
            first_event_ms=fixed_ms,
            quiet_gap_ms=quiet_gap_ms,
            busy_gap_ms=shrink(busy_ms, SERVICE_WEIGHT, (busy,)),
        )

    known.rate = rate(NOTHING, NOTHING, NOTHING)
    known.engine_rates = {
        key: rate(tokens[key], quiet_gaps[key], busy_gaps[key]) for key in known.engines
    }


def _typical(initial: float, items: Iterable[Weighted]) -> float:
    """Return the value of a typical engine."""
    capped = (
        Weighted(value=item.value, weight=min(MAX_ENGINE_WEIGHT, item.weight)) for item in items
    )
    return shrink(initial, INITIAL_WEIGHT, capped)
