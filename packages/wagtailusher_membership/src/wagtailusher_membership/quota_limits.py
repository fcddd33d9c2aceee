"""Limits of the quota division."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_membership.const import (
    DEFAULT_QUOTA_CLAIMS_BYTES,
    DEFAULT_QUOTA_LIFETIME_MS,
    DEFAULT_QUOTA_MAX_CLASSES,
    DEFAULT_QUOTA_MAX_TRACKED_CLASSES,
    DEFAULT_QUOTA_REFRESH_MS,
    DEFAULT_QUOTA_RETRY_MS,
    DEFAULT_QUOTA_URGENT_CLAIM_INTERVAL_MS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaLimits:
    """Grant lifetime, claim intervals, message sizes and capacities of the quota division."""

    lifetime_ms: int = DEFAULT_QUOTA_LIFETIME_MS
    refresh_ms: int = DEFAULT_QUOTA_REFRESH_MS
    retry_ms: int = DEFAULT_QUOTA_RETRY_MS
    urgent_claim_interval_ms: int = DEFAULT_QUOTA_URGENT_CLAIM_INTERVAL_MS
    claims_bytes: int = DEFAULT_QUOTA_CLAIMS_BYTES
    max_classes: int = DEFAULT_QUOTA_MAX_CLASSES
    max_tracked_classes: int = DEFAULT_QUOTA_MAX_TRACKED_CLASSES
