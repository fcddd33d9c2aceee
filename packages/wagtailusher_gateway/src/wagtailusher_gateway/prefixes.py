"""Estimates which shared prompt parts an endpoint has cached, so that few are prefilled again."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
import math

from wagtailusher_core import EndpointId
from wagtailusher_gateway.const import MAX_PREFIX_ENTRIES, PREFIX_MEMORY_MS
from wagtailusher_gateway.models import PromptPart

MIN_REPEAT_USES = math.exp(-1.0)
"""Decayed use count from which a part was used within `PREFIX_MEMORY_MS`."""

REPEAT_SMOOTHING = 0.02
"""Weight of one request in the moving average of repeats; spans some tens of requests."""

MissingTokens = Callable[[EndpointId, float], int]
"""Returns the tokens that an endpoint is expected to prefill, given the chance that it has the last
part cached because all VMs prefer it for that part."""


class PrefixMemory:
    """Uses of prompt parts by this VM; the least recently used entries are evicted."""

    def __init__(self) -> None:
        self._used_ms: OrderedDict[tuple[str, EndpointId], int] = OrderedDict()
        self._uses: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self._repeat_share = 0.0

    def record_use(
        self, parts: tuple[PromptPart, ...], endpoint_id: EndpointId, now_ms: int
    ) -> None:
        """Record that a request with these parts is sent to an endpoint."""
        if parts:
            is_repeat = self._recent_uses(parts[-1].part_id, now_ms) >= MIN_REPEAT_USES
            self._repeat_share += REPEAT_SMOOTHING * (is_repeat - self._repeat_share)
        for part in parts:
            key = (part.part_id, endpoint_id)
            self._used_ms[key] = now_ms
            self._used_ms.move_to_end(key)
            self._uses[part.part_id] = (self._recent_uses(part.part_id, now_ms) + 1.0, now_ms)
            self._uses.move_to_end(part.part_id)
        while len(self._used_ms) > MAX_PREFIX_ENTRIES:
            self._used_ms.popitem(last=False)
        while len(self._uses) > MAX_PREFIX_ENTRIES:
            self._uses.popitem(last=False)

    def estimate_missing(
        self, parts: tuple[PromptPart, ...], fleet_factor: float, now_ms: int
    ) -> MissingTokens:
        """Return a function that estimates how many tokens an endpoint has to prefill again.

        `fleet_factor` is the number of uses of a part at an endpoint for each use by this VM if
        the fleet spreads them evenly. That holds for all parts but the last, whose requests go to
        the few endpoints that all VMs prefer for it.
        """
        spread_chances = [
            1.0 - math.exp(-fleet_factor * self._recent_uses(part.part_id, now_ms))
            for part in parts[:-1]
        ]

        def missing(endpoint_id: EndpointId, last_cached: float) -> int:
            chance = 0.0
            tokens = 0.0
            # A part is cached only together with all before it, so the last one is checked first.
            for part, cached in zip(
                reversed(parts), reversed([*spread_chances, last_cached]), strict=True
            ):
                is_recent = self._is_recently_used(part, endpoint_id, now_ms)
                chance = 1.0 if is_recent else max(chance, cached)
                tokens += part.tokens * (1.0 - chance)
            return round(tokens)

        return missing if parts else _no_missing_tokens

    def repeat_chance(self, vm_count: int) -> float:
        """Return the chance that any VM recently used a last part, from this VM's own repeats."""
        return 1.0 - (1.0 - self._repeat_share) ** max(1, vm_count)

    def was_used(self, parts: tuple[PromptPart, ...], endpoint_id: EndpointId, now_ms: int) -> bool:
        """Return whether this VM recently sent the last part to the endpoint."""
        return bool(parts) and self._is_recently_used(parts[-1], endpoint_id, now_ms)

    def remove_endpoint(self, endpoint_id: EndpointId) -> None:
        """Remove the uses at an endpoint whose cache was lost in a restart."""
        for key in [key for key in self._used_ms if key[1] == endpoint_id]:
            del self._used_ms[key]

    def _is_recently_used(self, part: PromptPart, endpoint_id: EndpointId, now_ms: int) -> bool:
        """Return whether this VM recently sent a part to the endpoint."""
        used_ms = self._used_ms.get((part.part_id, endpoint_id))
        return used_ms is not None and now_ms - used_ms <= PREFIX_MEMORY_MS

    def _recent_uses(self, part_id: str, now_ms: int) -> float:
        """Return this VM's decayed use count of a part."""
        count, updated_ms = self._uses.get(part_id, (0.0, now_ms))
        return count * math.exp(-max(0, now_ms - updated_ms) / PREFIX_MEMORY_MS)


def _no_missing_tokens(endpoint_id: EndpointId, last_cached: float) -> int:
    """Return 0, as a request without shared parts misses none."""
    return 0
