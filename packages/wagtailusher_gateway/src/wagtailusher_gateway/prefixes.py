"""Estimates which shared prompt parts an endpoint keeps, so that few are read again."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
import math

from wagtailusher_core import EndpointId
from wagtailusher_gateway.const import MAX_PREFIX_ENTRIES, PREFIX_MEMORY_MS
from wagtailusher_gateway.models import PromptPart

REPEAT_USES = math.exp(-1.0)
"""Decayed uses from which a part was used within `PREFIX_MEMORY_MS`."""

REPEAT_SMOOTHING = 0.02
"""Weight of one request in the share of repeats; averages some tens of requests."""

MissingTokens = Callable[[EndpointId, float], int]
"""Returns the tokens that an endpoint is expected to read, given the chance that the fleet's
agreement brought it the last part before."""


class PrefixMemory:
    """Uses of prompt parts by this VM; the least recently used yield."""

    def __init__(self) -> None:
        """Start empty."""
        self._used_ms: OrderedDict[tuple[str, EndpointId], int] = OrderedDict()
        self._uses: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self._repeat_share = 0.0

    def note_used(
        self, parts: tuple[PromptPart, ...], endpoint_id: EndpointId, now_ms: int
    ) -> None:
        """Note that an endpoint reads these parts now."""
        if parts:
            is_repeat = self._recent_uses(parts[-1].part_id, now_ms) >= REPEAT_USES
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

    def expect_missing(
        self, parts: tuple[PromptPart, ...], fleet_factor: float, now_ms: int
    ) -> MissingTokens:
        """Return a function that tells how many tokens an endpoint is expected to read anew.

        `fleet_factor` is how many uses of a part an endpoint sees for each use by this VM when
        the fleet spreads them evenly. That holds for all parts but the last, whose requests go
        to the few endpoints on which all VMs agree.
        """
        spread = [
            1.0 - math.exp(-fleet_factor * self._recent_uses(part.part_id, now_ms))
            for part in parts[:-1]
        ]

        def missing(endpoint_id: EndpointId, last_kept: float) -> int:
            chance = 0.0
            tokens = 0.0
            # A part is kept only together with all before it, so the last comes first here.
            for part, kept in zip(reversed(parts), reversed([*spread, last_kept]), strict=True):
                is_known = self._is_known(part, endpoint_id, now_ms)
                chance = 1.0 if is_known else max(chance, kept)
                tokens += part.tokens * (1.0 - chance)
            return round(tokens)

        return missing if parts else _nothing_missing

    def repeat_chance(self, vm_count: int) -> float:
        """Return the chance that some VM used a last part lately, as this VM's own repeats tell."""
        return 1.0 - (1.0 - self._repeat_share) ** max(1, vm_count)

    def forget(self, endpoint_id: EndpointId) -> None:
        """Forget what an endpoint kept that restarted."""
        for key in [key for key in self._used_ms if key[1] == endpoint_id]:
            del self._used_ms[key]

    def _is_known(self, part: PromptPart, endpoint_id: EndpointId, now_ms: int) -> bool:
        """Tell whether this VM had the endpoint read a part lately."""
        used_ms = self._used_ms.get((part.part_id, endpoint_id))
        return used_ms is not None and now_ms - used_ms <= PREFIX_MEMORY_MS

    def _recent_uses(self, part_id: str, now_ms: int) -> float:
        """Return how often this VM used a part lately; older uses count less."""
        count, at_ms = self._uses.get(part_id, (0.0, now_ms))
        return count * math.exp(-max(0, now_ms - at_ms) / PREFIX_MEMORY_MS)


def _nothing_missing(endpoint_id: EndpointId, last_kept: float) -> int:
    """Answer for a request without shared parts."""
    return 0
