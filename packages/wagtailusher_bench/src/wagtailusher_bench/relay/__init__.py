"""Measures the cost of relaying chunks and unstreamed requests through an entry daemon."""

from __future__ import annotations

from wagtailusher_bench.relay.chunk_source import ChunkShape
from wagtailusher_bench.relay.measure import RelayShape, async_measure_relay

__all__ = ["ChunkShape", "RelayShape", "async_measure_relay"]
