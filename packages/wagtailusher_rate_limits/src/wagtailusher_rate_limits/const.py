"""Shares and intervals of the limits that endpoints name."""

from __future__ import annotations

from typing import Final

MS_PER_S: Final = 1000

HOLDERS_PER_RATE: Final = 2
"""VMs that share an endpoint's limit, for each request a second of it. Each may be one request
ahead of its share, so that any four seconds bring at most one and a half times the limit."""

MORE_HOLDERS: Final = 2
"""VMs that share it besides these, so that a low limit is used although one VM has no requests; a
part of the five requests more that the platform allows."""

MIN_LIVE_SHARE: Final = 0.6
"""Least part of the limit that the live VMs use while others are silent. These may be cut off from
them only, and use as much on their side."""

MIN_LIMIT_PER_S: Final = 0.25
"""Rate at which an endpoint with a lower limit still gets requests, as it can state the end of its
need only in an answer."""

STALE_MS: Final = 10_000
"""Age of the last statement after which a limit is forgotten: several of the longest intervals
between requests, so that none of its holders has any for the endpoint."""

REPORT_INTERVAL_MS: Final = 500
"""Interval at which limits are repeated to peers, as datagrams may be lost."""

FRESH_MS: Final = 5_000
"""Age up to which a VM repeats what it read itself."""

MAX_REPORTS: Final = 24
"""Most reports at once; bounds what one tick sends."""

NO_POSITION: Final = 1 << 30
"""Position of a VM that takes no requests, behind all others."""

NEVER_MS: Final = 1 << 62
"""Time of what does not happen."""
