"""A model of engines whose true rates are known, and of VMs that learn them from answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from wagtailusher_core import EndpointId, VmId
from wagtailusher_gateway.engine_rates import EngineRates, FirstEvent
from wagtailusher_gateway.rate_reports import apply_rates, new_rates

SERVICE = "engines"
FIXED_MS = 47.0
STEP_MS = 7.0
SHARED_TOKENS = 6_300
LONG_TOKENS = 2_890
SHORT_TOKENS = 826
CACHED_SHARE = 0.7
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
SLOW_SPELL_MS = 600
HEARTBEAT_MS = 1_000


@dataclass(slots=True, kw_only=True)
class ModelEngine:
    """An engine that reads prompts one after the other."""

    tokens_per_ms: float
    random: Random
    free_ms: float = 0.0
    queued: list[tuple[float, int]] = field(default_factory=list)
    """When each prompt will be read, and its tokens."""

    def read(self, tokens: int, now_ms: int) -> float:
        """Queue a prompt; return the time of its first event."""
        begin_ms = max(float(now_ms), self.free_ms)
        is_slow = Random(f"{self.tokens_per_ms} {begin_ms // SLOW_SPELL_MS}").random() < SLOW_SHARE
        factor = SLOW_FACTOR if is_slow else 1.0
        self.free_ms = begin_ms + factor * tokens / self.tokens_per_ms
        self.queued.append((self.free_ms, tokens))
        return self.free_ms + FIXED_MS + self.random.uniform(0.0, 2.0) * STEP_MS

    def queued_tokens(self, now_ms: int) -> int:
        """Return the tokens that are not read yet."""
        self.queued = [item for item in self.queued if item[0] > now_ms]
        return sum(tokens for _, tokens in self.queued)


class ModelFleet:
    """VMs that send requests to engines and tell each other what they see."""

    def __init__(
        self, rates: list[float], vm_count: int, *, load: float, loss: float, seed: int
    ) -> None:
        """`load` is the share of the engines' time that prompts take."""
        self.random = Random(seed)
        self.engines = {
            EndpointId(f"i-{number}"): ModelEngine(tokens_per_ms=rate, random=self.random)
            for number, rate in enumerate(rates)
        }
        self.vms = [EngineRates() for _ in range(vm_count)]
        self.load, self.loss, self.now_ms = load, loss, 1_000
        self._events: list[tuple[float, int, EndpointId, FirstEvent]] = []
        services = dict.fromkeys(self.engines, SERVICE)
        for vm in self.vms:
            vm.update_endpoints(services, ())

    def run(self, duration_ms: int, step_ms: int = 10) -> None:
        """Play some time."""
        for _ in range(duration_ms // step_ms):
            self.now_ms += step_ms
            for endpoint_id, engine in self.engines.items():
                mean_ms = 0.5 * (LONG_TOKENS + (1 - CACHED_SHARE) * SHARED_TOKENS + SHORT_TOKENS)
                mean_ms /= engine.tokens_per_ms
                if self.random.random() < self.load * step_ms / mean_ms:
                    self._send(endpoint_id, engine)
            self._receive()
            if self.now_ms % HEARTBEAT_MS == 0:
                self._tell()

    def _send(self, endpoint_id: EndpointId, engine: ModelEngine) -> None:
        is_long = self.random.random() < 0.5
        is_cached = self.random.random() < CACHED_SHARE
        believed = SHORT_TOKENS
        tokens = SHORT_TOKENS
        if is_long:
            tokens = LONG_TOKENS + (0 if is_cached else SHARED_TOKENS)
            believed = LONG_TOKENS + (0 if self.random.random() < CACHED_SHARE else SHARED_TOKENS)
            if self.random.random() < 0.6:
                believed = tokens
        queued_tokens = round(engine.queued_tokens(self.now_ms) * self.random.uniform(0.4, 1.3))
        first_ms = engine.read(tokens, self.now_ms)
        event = FirstEvent(
            elapsed_ms=first_ms - self.now_ms, own_tokens=believed, queued_tokens=queued_tokens
        )
        vm = self.random.randrange(len(self.vms))
        self._events.append((first_ms, vm, endpoint_id, event))

    def _receive(self) -> None:
        for item in [item for item in self._events if item[0] <= self.now_ms]:
            _, vm, endpoint_id, event = item
            self.vms[vm].record_first_event(SERVICE, endpoint_id, event, self.now_ms)
            self._events.remove(item)

    def _tell(self) -> None:
        for sender, rates in enumerate(self.vms):
            reports = new_rates(rates, self.now_ms)
            for receiver, peer in enumerate(self.vms):
                if receiver != sender and self.random.random() >= self.loss:
                    apply_rates(peer, VmId(f"vm-{sender}"), reports, self.now_ms)

    def errors(self, vm_count: int = 3) -> list[float]:
        """Return the factors, 1 or more, by which the estimates of the first VMs are wrong."""
        return sorted(
            max(ratio, 1.0 / ratio)
            for vm in self.vms[:vm_count]
            for endpoint_id, engine in self.engines.items()
            for ratio in (
                vm.rate(SERVICE, endpoint_id, self.now_ms).prompt_tokens_per_ms
                / engine.tokens_per_ms,
            )
        )
