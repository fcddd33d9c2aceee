"""The cost of relaying chunks and whole requests through an entry daemon."""

from __future__ import annotations

from wagtailusher_bench.relay.measure import RelayShape, async_measure_relay
from wagtailusher_bench.relay.source import ChunkShape

__all__ = ["ChunkShape", "RelayShape", "async_measure_relay"]
