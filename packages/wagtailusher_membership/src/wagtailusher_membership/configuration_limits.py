"""Limits of configuration spread."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_membership.const import (
    DEFAULT_ANNOUNCE_FANOUT,
    DEFAULT_ANNOUNCE_INTERVAL_MS,
    DEFAULT_ANNOUNCE_ROUNDS,
    DEFAULT_ENTROPY_INTERVAL_MS,
    DEFAULT_FETCH_TIMEOUT_MS,
    DEFAULT_HINT_INTERVAL_MS,
    DEFAULT_HISTORY_BYTES,
    DEFAULT_HISTORY_COUNT,
    DEFAULT_LONE_READ_INTERVAL_MS,
    DEFAULT_LONE_READ_PER_VM_MS,
    DEFAULT_MAX_READER_RANK,
    DEFAULT_MAX_REFUSED,
    DEFAULT_QUERY_INTERVAL_MS,
    DEFAULT_READ_BACKOFF_MAX_MS,
    DEFAULT_READ_INTERVAL_MS,
    DEFAULT_READ_TIMEOUT_MS,
    DEFAULT_READERS_PER_DOMAIN,
    DEFAULT_SETTLE_MS,
    DEFAULT_SETTLE_PEERS,
    DEFAULT_WHOLE_FETCH_TIMEOUT_MS,
    DEFAULT_WITNESS_TIMEOUT_MS,
    DEFAULT_WITNESSES,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationLimits:
    """Who reads the service and how often, and how long nodes wait for each other."""

    readers_per_domain: int = DEFAULT_READERS_PER_DOMAIN
    max_reader_rank: int = DEFAULT_MAX_READER_RANK
    read_interval_ms: int = DEFAULT_READ_INTERVAL_MS
    read_timeout_ms: int = DEFAULT_READ_TIMEOUT_MS
    read_backoff_max_ms: int = DEFAULT_READ_BACKOFF_MAX_MS
    lone_read_interval_ms: int = DEFAULT_LONE_READ_INTERVAL_MS
    lone_read_per_vm_ms: int = DEFAULT_LONE_READ_PER_VM_MS
    settle_ms: int = DEFAULT_SETTLE_MS
    settle_peers: int = DEFAULT_SETTLE_PEERS
    query_interval_ms: int = DEFAULT_QUERY_INTERVAL_MS
    witness_timeout_ms: int = DEFAULT_WITNESS_TIMEOUT_MS
    witnesses: int = DEFAULT_WITNESSES
    announce_interval_ms: int = DEFAULT_ANNOUNCE_INTERVAL_MS
    announce_rounds: int = DEFAULT_ANNOUNCE_ROUNDS
    announce_fanout: int = DEFAULT_ANNOUNCE_FANOUT
    entropy_interval_ms: int = DEFAULT_ENTROPY_INTERVAL_MS
    fetch_timeout_ms: int = DEFAULT_FETCH_TIMEOUT_MS
    whole_fetch_timeout_ms: int = DEFAULT_WHOLE_FETCH_TIMEOUT_MS
    hint_interval_ms: int = DEFAULT_HINT_INTERVAL_MS
    history_count: int = DEFAULT_HISTORY_COUNT
    history_bytes: int = DEFAULT_HISTORY_BYTES
    max_refused: int = DEFAULT_MAX_REFUSED

    def service_calls_per_s(self, failure_domains: int) -> float:
        """Return the bound of all readers' calls while they agree on the platform's list."""
        readers = failure_domains * self.max_reader_rank
        lone_calls_per_s = 1_000 / self.lone_read_per_vm_ms
        return readers * 1_000 / self.read_interval_ms + lone_calls_per_s
