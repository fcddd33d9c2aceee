"""Remembers which endpoints read which shared prompt parts lately."""

from __future__ import annotations

from collections import OrderedDict

from wagtailusher_core import EndpointId
from wagtailusher_gateway.const import MAX_PREFIX_ENTRIES, PREFIX_MEMORY_MS
from wagtailusher_gateway.models import PromptPart


class PrefixMemory:
    """Parts by endpoint, with the time of their last use; the least recently used yield."""

    def __init__(self) -> None:
        """Start empty."""
        self._used_ms: OrderedDict[tuple[str, EndpointId], int] = OrderedDict()

    def note_used(
        self, parts: tuple[PromptPart, ...], endpoint_id: EndpointId, now_ms: int
    ) -> None:
        """Note that an endpoint reads these parts now."""
        for part in parts:
            key = (part.part_id, endpoint_id)
            self._used_ms[key] = now_ms
            self._used_ms.move_to_end(key)
        while len(self._used_ms) > MAX_PREFIX_ENTRIES:
            self._used_ms.popitem(last=False)

    def missing_tokens(
        self, parts: tuple[PromptPart, ...], endpoint_id: EndpointId, now_ms: int
    ) -> int:
        """Return the tokens of the parts from the first on that the endpoint may not keep."""
        known = 0
        for part in parts:
            used_ms = self._used_ms.get((part.part_id, endpoint_id))
            if used_ms is None or now_ms - used_ms > PREFIX_MEMORY_MS:
                break
            known += part.tokens
        return sum(part.tokens for part in parts) - known

    def forget(self, endpoint_id: EndpointId) -> None:
        """Forget what an endpoint kept that restarted."""
        for key in [key for key in self._used_ms if key[1] == endpoint_id]:
            del self._used_ms[key]
