"""Limits of the division of quotas."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_membership.const import (
    DEFAULT_QUOTA_CLAIMS_BYTES,
    DEFAULT_QUOTA_HURRY_MS,
    DEFAULT_QUOTA_LIFETIME_MS,
    DEFAULT_QUOTA_MAX_BOOKS,
    DEFAULT_QUOTA_MAX_CLASSES,
    DEFAULT_QUOTA_REFRESH_MS,
    DEFAULT_QUOTA_RETRY_MS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaLimits:
    """How long grants last, how often claims are renewed, and how much is kept."""

    lifetime_ms: int = DEFAULT_QUOTA_LIFETIME_MS
    refresh_ms: int = DEFAULT_QUOTA_REFRESH_MS
    retry_ms: int = DEFAULT_QUOTA_RETRY_MS
    hurry_ms: int = DEFAULT_QUOTA_HURRY_MS
    claims_bytes: int = DEFAULT_QUOTA_CLAIMS_BYTES
    max_classes: int = DEFAULT_QUOTA_MAX_CLASSES
    max_books: int = DEFAULT_QUOTA_MAX_BOOKS
