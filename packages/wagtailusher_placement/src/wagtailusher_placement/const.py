"""Constants of endpoint choice, leases and cold start."""

from __future__ import annotations

TIER_COUNT = 7

DEFAULT_LEASE_LIFETIME_MS = 2_000
DEFAULT_LEASE_RENEWAL_MS = 500
DEFAULT_LIST_LAG_MS = 5_000
DEFAULT_PAUSE_TOLERANCE_MS = 1_000
DEFAULT_CLOCK_MARGIN_MS = 20
