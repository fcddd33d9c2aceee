"""Limits of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_membership.const import (
    DEFAULT_FORGET_MS,
    DEFAULT_GOSSIP_FANOUT,
    DEFAULT_GOSSIP_INTERVAL_MS,
    DEFAULT_INDIRECT_PROBES,
    DEFAULT_MAX_LOCAL_HEALTH,
    DEFAULT_MAX_MEMBERS,
    DEFAULT_MAX_QUEUED_UPDATES,
    DEFAULT_MAX_RELAYS,
    DEFAULT_PAUSE_THRESHOLD_MS,
    DEFAULT_PROBE_INTERVAL_MS,
    DEFAULT_PROBE_TIMEOUT_MS,
    DEFAULT_RECONNECT_INTERVAL_MS,
    DEFAULT_RETRANSMIT_FACTOR,
    DEFAULT_SUSPICION_CONFIRMATIONS,
    DEFAULT_SUSPICION_MAX_MS,
    DEFAULT_SUSPICION_MIN_MS,
    DEFAULT_SYNC_BUCKETS,
    DEFAULT_SYNC_DATAGRAMS,
    DEFAULT_SYNC_INTERVAL_MS,
    DEFAULT_UNLISTED_GRACE_MS,
    DEFAULT_UPDATES_BYTES,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipLimits:
    """Intervals, timeouts, message sizes and capacities of the membership protocol."""

    probe_interval_ms: int = DEFAULT_PROBE_INTERVAL_MS
    probe_timeout_ms: int = DEFAULT_PROBE_TIMEOUT_MS
    indirect_probes: int = DEFAULT_INDIRECT_PROBES
    suspicion_min_ms: int = DEFAULT_SUSPICION_MIN_MS
    suspicion_max_ms: int = DEFAULT_SUSPICION_MAX_MS
    suspicion_confirmations: int = DEFAULT_SUSPICION_CONFIRMATIONS
    max_local_health: int = DEFAULT_MAX_LOCAL_HEALTH
    gossip_interval_ms: int = DEFAULT_GOSSIP_INTERVAL_MS
    gossip_fanout: int = DEFAULT_GOSSIP_FANOUT
    retransmit_factor: int = DEFAULT_RETRANSMIT_FACTOR
    updates_bytes: int = DEFAULT_UPDATES_BYTES
    max_queued_updates: int = DEFAULT_MAX_QUEUED_UPDATES
    sync_interval_ms: int = DEFAULT_SYNC_INTERVAL_MS
    sync_buckets: int = DEFAULT_SYNC_BUCKETS
    sync_datagrams: int = DEFAULT_SYNC_DATAGRAMS
    reconnect_interval_ms: int = DEFAULT_RECONNECT_INTERVAL_MS
    pause_threshold_ms: int = DEFAULT_PAUSE_THRESHOLD_MS
    unlisted_grace_ms: int = DEFAULT_UNLISTED_GRACE_MS
    forget_ms: int = DEFAULT_FORGET_MS
    max_members: int = DEFAULT_MAX_MEMBERS
    max_relays: int = DEFAULT_MAX_RELAYS
