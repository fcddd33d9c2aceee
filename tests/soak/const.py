"""Sizes, times and bounds of the soak test; the bounds are those of the users' platform."""

from __future__ import annotations

from typing import Final

MS_PER_S: Final = 1000

ENTRY_COUNT: Final = 3
CALLER_COUNT: Final = 10
DESK_COUNT: Final = 2
ENGINE_COUNT: Final = 4
"""Two of each software version, as a stream taken up must go on while two serve."""

FAULTS_S: Final = 6.0
"""Period in which faults begin; long enough for several overlapping faults."""

RECOVERY_PHASE_S: Final = 5.0
"""Period without faults at the end of a run: the recovery time and then some requests."""

RECOVERY_MS: Final = 3_000
"""Time after the last fault until requests must be served again."""

SERVED_SHARE: Final = 0.25
"""Minimum share of requests that must be served after `RECOVERY_MS`."""

START_TIMEOUT_S: Final = 60.0
"""Time-out for the processes to become ready; a busy machine may start 100 at once."""

DEADLINE_MS: Final = 2_000
"""Deadline that callers set on a request."""

FAULT_FREE_MS: Final = 3_000
"""Time without a fault after which the time bounds apply again."""

CONFIG_APPLY_MS: Final = 2_000
"""Time within which a new configuration must be applied."""

DRAIN_MS: Final = 2_000
"""Time after which a draining endpoint must not receive requests."""

COLD_PER_S: Final = 4
COLD_OVERAGE: Final = 1.5
COLD_SLACK: Final = 2
"""A cold endpoint may receive COLD_PER_S * COLD_OVERAGE + COLD_SLACK requests in any second."""

COLD_START_S: Final = 1.5
"""Duration of the cold start of a restarted endpoint."""

GUEST_KEY: Final = "guest-key"
GUEST_SHARE: Final = 0.2
"""Share of requests sent with the guests' key."""

MAX_VERSION: Final = 8
"""Highest configuration version of a run; each version has its own probe service."""

SOFTWARE_VERSIONS: Final = ("v1", "v2")
"""Software versions of the engines; they start in equal numbers."""

MIN_LOST_STREAMS: Final = 12
MIN_LOST_ENDPOINTS: Final = 2
LOST_SHARE: Final = 0.5
"""Of `MIN_LOST_STREAMS` streams taken up while `MIN_LOST_ENDPOINTS` of their version serve, at
least `LOST_SHARE` of the share of new streams that begin must go on."""

STREAM_EVENTS: Final = 6
EVENT_GAP_S: Final = 0.02
