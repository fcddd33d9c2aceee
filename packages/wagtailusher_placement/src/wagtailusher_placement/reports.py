"""Engines' reports of their load and prompt caches; they may be late or have gaps."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import EndpointId, Incarnation


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """An endpoint's load at a measurement time, which is estimated on the receiver's clock.

    `running` and `waiting` count requests of all callers. `cold` is the endpoint's own report and
    may be wrong. `incarnation` changes when the endpoint's process restarts.
    """

    endpoint_id: EndpointId
    reported_at_ms: int
    running: int = 0
    waiting: int = 0
    kv_used_share: float = 0.0
    cold: bool = False
    incarnation: Incarnation = Incarnation(0)


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """Prefix blocks that an engine stored or dropped; a skipped sequence number is a gap."""

    endpoint_id: EndpointId
    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    cleared: bool = False
