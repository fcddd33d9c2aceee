"""Sizes, times and bounds of the soak; the bounds are those of the users' platform."""

from __future__ import annotations

from typing import Final

MS_PER_S: Final = 1000

ENTRY_COUNT: Final = 3
CALLER_COUNT: Final = 10
DESK_COUNT: Final = 2
ENGINE_COUNT: Final = 3

FAULTS_S: Final = 6.0
"""Time in which faults begin; long enough for several that overlap."""

CALM_S: Final = 5.0
"""Time without faults at the end of a play; recovery and then some requests."""

RECOVERY_MS: Final = 3_000
"""Time after the last fault by which requests are served again."""

SERVED_SHARE: Final = 0.25
"""Share of requests that must be served after that."""

START_TIMEOUT_S: Final = 60.0
"""Time for the processes to serve; a busy machine may start a hundred at once."""

DEADLINE_MS: Final = 2_000
"""Time that callers give a request."""

CONTACT_MS: Final = 3_000
"""Time without a fault after which the bounds in time hold again."""

CONFIG_APPLY_MS: Final = 2_000
"""Time after which a new configuration is in force."""

DRAIN_MS: Final = 2_000
"""Time after which a draining endpoint gets nothing more."""

COLD_PER_S: Final = 4
COLD_OVERAGE: Final = 1.5
COLD_SLACK: Final = 2
"""Requests to a cold endpoint in any second: the product of the first two, and this."""

COLD_START_S: Final = 1.5
"""Time for which an endpoint that came back is cold."""

GUEST_KEY: Final = "guest-key"
GUEST_SHARE: Final = 0.2
"""Share of requests with the guests' key."""

MAX_VERSION: Final = 8
"""Versions of the configuration that a play may reach; each has a probe service of its own."""

STREAM_EVENTS: Final = 6
EVENT_GAP_S: Final = 0.02
