"""Limits of configuration dissemination."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_membership.const import (
    DEFAULT_ANNOUNCE_FANOUT,
    DEFAULT_ANNOUNCE_INTERVAL_MS,
    DEFAULT_ANNOUNCE_ROUNDS,
    DEFAULT_ANTI_ENTROPY_INTERVAL_MS,
    DEFAULT_CONFIRMATION_TIMEOUT_MS,
    DEFAULT_CONFIRMING_PEERS,
    DEFAULT_FETCH_TIMEOUT_MS,
    DEFAULT_FULL_FETCH_TIMEOUT_MS,
    DEFAULT_HINT_INTERVAL_MS,
    DEFAULT_HISTORY_BYTES,
    DEFAULT_HISTORY_COUNT,
    DEFAULT_ISOLATED_READ_INTERVAL_MS,
    DEFAULT_ISOLATED_READ_PER_VM_MS,
    DEFAULT_MAX_READER_RANK,
    DEFAULT_MAX_REFUSED,
    DEFAULT_QUERY_INTERVAL_MS,
    DEFAULT_READ_BACKOFF_MAX_MS,
    DEFAULT_READ_INTERVAL_MS,
    DEFAULT_READ_TIMEOUT_MS,
    DEFAULT_READERS_PER_DOMAIN,
    DEFAULT_STARTUP_SYNC_PEERS,
    DEFAULT_STARTUP_SYNC_TIMEOUT_MS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationLimits:
    """Number of readers, intervals, timeouts and capacities of configuration dissemination."""

    readers_per_domain: int = DEFAULT_READERS_PER_DOMAIN
    max_reader_rank: int = DEFAULT_MAX_READER_RANK
    read_interval_ms: int = DEFAULT_READ_INTERVAL_MS
    read_timeout_ms: int = DEFAULT_READ_TIMEOUT_MS
    read_backoff_max_ms: int = DEFAULT_READ_BACKOFF_MAX_MS
    isolated_read_interval_ms: int = DEFAULT_ISOLATED_READ_INTERVAL_MS
    isolated_read_per_vm_ms: int = DEFAULT_ISOLATED_READ_PER_VM_MS
    startup_sync_timeout_ms: int = DEFAULT_STARTUP_SYNC_TIMEOUT_MS
    startup_sync_peers: int = DEFAULT_STARTUP_SYNC_PEERS
    query_interval_ms: int = DEFAULT_QUERY_INTERVAL_MS
    confirmation_timeout_ms: int = DEFAULT_CONFIRMATION_TIMEOUT_MS
    confirming_peers: int = DEFAULT_CONFIRMING_PEERS
    announce_interval_ms: int = DEFAULT_ANNOUNCE_INTERVAL_MS
    announce_rounds: int = DEFAULT_ANNOUNCE_ROUNDS
    announce_fanout: int = DEFAULT_ANNOUNCE_FANOUT
    anti_entropy_interval_ms: int = DEFAULT_ANTI_ENTROPY_INTERVAL_MS
    fetch_timeout_ms: int = DEFAULT_FETCH_TIMEOUT_MS
    full_fetch_timeout_ms: int = DEFAULT_FULL_FETCH_TIMEOUT_MS
    hint_interval_ms: int = DEFAULT_HINT_INTERVAL_MS
    history_count: int = DEFAULT_HISTORY_COUNT
    history_bytes: int = DEFAULT_HISTORY_BYTES
    max_refused: int = DEFAULT_MAX_REFUSED

    def service_calls_per_s(self, failure_domains: int) -> float:
        """Return the maximum rate of calls of all nodes that agree on the platform's list."""
        readers = failure_domains * self.max_reader_rank
        isolated_calls_per_s = 1_000 / self.isolated_read_per_vm_ms
        return readers * 1_000 / self.read_interval_ms + isolated_calls_per_s
