"""The calls of a run: their size, arrival time and outcome."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from heapq import merge
from random import Random

from wagtailusher_bench.decisions.const import PREFIX_BLOCK_TOKENS
from wagtailusher_bench.decisions.mixes import ClassTraffic, Mix
from wagtailusher_core import WorkspaceId

_HASH_BITS = 63


class Ending(StrEnum):
    """How a call ended for its caller."""

    OPEN = "open"
    COMPLETED = "completed"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


@dataclass(slots=True, kw_only=True)
class Call:
    """One request of a caller, with its progress and outcome."""

    call_id: str
    traffic: ClassTraffic
    workspace_id: WorkspaceId
    arrived_ms: float
    prompt_tokens: int
    output_tokens: int
    service_work_ms: float
    prefix_hashes: tuple[int, ...]
    fingerprint: str
    crashes_endpoint: bool = False
    ending: Ending = Ending.OPEN
    code: str = ""
    started_ms: float | None = None
    first_ms: float | None = None
    ended_ms: float | None = None
    executions: int = field(default=0)

    @property
    def meets_target(self) -> bool:
        """Return whether the answer was complete and in time."""
        if self.ending is not Ending.COMPLETED or self.first_ms is None or self.ended_ms is None:
            return False
        traffic = self.traffic
        if not traffic.is_stream or traffic.serves_late:
            return self.ended_ms - self.arrived_ms <= traffic.answer_target_ms
        if self.first_ms - self.arrived_ms > traffic.first_token_target_ms:
            return False
        between_ms = (self.ended_ms - self.first_ms) / max(1, self.output_tokens - 1)
        return between_ms <= traffic.between_tokens_target_ms

    @property
    def is_useful(self) -> bool:
        """Return whether the answer counts as goodput: in time, or late in a class served late."""
        return self.meets_target or (self.ending is Ending.COMPLETED and self.traffic.serves_late)


@dataclass(frozen=True, slots=True, kw_only=True)
class Burst:
    """An interval in which the arrival rate of one class is multiplied by `factor`."""

    class_id: str
    factor: float
    start_ms: float
    end_ms: float


def generate_calls(
    mix: Mix, *, load: float, end_ms: float, seed: str, burst: Burst | None = None
) -> Iterator[Call]:
    """Yield the calls of a run in order of arrival; the same seed gives the same calls."""
    streams = [
        _class_calls(mix, traffic, load, end_ms, Random(f"{seed}/{traffic.class_id}"), burst)
        for traffic in mix.classes
    ]
    return merge(*streams, key=lambda call: call.arrived_ms)


def _class_calls(
    mix: Mix,
    traffic: ClassTraffic,
    load: float,
    end_ms: float,
    rng: Random,
    burst: Burst | None,
) -> Iterator[Call]:
    """Yield the calls of one class as a Poisson process.

    A burst is sampled at its higher rate throughout and thinned outside of the interval.
    """
    rate = mix.rate_per_ms(traffic, load)
    factor = burst.factor if burst is not None and burst.class_id == traffic.class_id else 1.0
    templates = _PromptTemplates(mix, traffic, rng)
    time_ms = 0.0
    number = 0
    while True:
        time_ms += rng.expovariate(rate * factor)
        if time_ms >= end_ms:
            return
        in_burst = burst is not None and burst.start_ms <= time_ms < burst.end_ms
        if factor > 1.0 and not in_burst and rng.random() * factor >= 1.0:
            continue
        number += 1
        yield _make_call(traffic, time_ms, f"{traffic.class_id}-{number}", templates, rng)


def _make_call(
    traffic: ClassTraffic,
    time_ms: float,
    call_id: str,
    templates: _PromptTemplates,
    rng: Random,
) -> Call:
    """Return a call with sampled workspace, sizes and prefix."""
    workspace_id = templates.sample_workspace()
    prompt_tokens = int(traffic.prompt.sample(rng)) if traffic.prompt.mean else 0
    output_tokens = max(1, int(traffic.output.sample(rng))) if traffic.is_stream else 0
    return Call(
        call_id=call_id,
        traffic=traffic,
        workspace_id=workspace_id,
        arrived_ms=time_ms,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        service_work_ms=traffic.service.sample(rng) if traffic.service.mean else 0.0,
        prefix_hashes=templates.sample_prefix(workspace_id, prompt_tokens),
        fingerprint=call_id,
    )


class _PromptTemplates:
    """Samples workspaces and prompt prefixes shared between the requests of a workspace."""

    def __init__(self, mix: Mix, traffic: ClassTraffic, rng: Random) -> None:
        self._traffic = traffic
        self._rng = rng
        self._workspaces = [WorkspaceId(f"w{number}") for number in range(mix.workspace_count)]
        self._weights = [1.0 / (number + 1) for number in range(mix.workspace_count)]

    def sample_workspace(self) -> WorkspaceId:
        """Return a workspace, with weights falling as 1/n so that a few are large."""
        return self._rng.choices(self._workspaces, self._weights)[0]

    def sample_prefix(self, workspace_id: WorkspaceId, prompt_tokens: int) -> tuple[int, ...]:
        """Return the hashes of a prompt's blocks; the leading ones come from a template."""
        blocks = prompt_tokens // PREFIX_BLOCK_TOKENS
        shared = int(blocks * self._traffic.shared_prefix)
        template = self._rng.randrange(self._traffic.templates)
        source = Random(f"{self._traffic.class_id}/{workspace_id}/{template}")
        leading = [source.getrandbits(_HASH_BITS) for _ in range(shared)]
        own = [self._rng.getrandbits(_HASH_BITS) for _ in range(blocks - shared)]
        return (*leading, *own)
