"""Bounds and intervals of what endpoints state about further requests."""

from __future__ import annotations

from typing import Final

MS_PER_S: Final = 1000

MAX_WAIT_MS: Final = 600_000
"""Longest time for which an endpoint gets nothing because of one answer; a longer one that it
states counts as this, so that a wrong value does not take a sound endpoint away for good."""

TRIAL_MS: Final = 500
"""Time after the first request behind such a wait in which no other one is sent, unless that one is
accepted earlier; a few times the usual time to the head of an answer."""

MAX_EXTRA_REQUESTS: Final = 2
"""Requests that an endpoint which wants none may get all the same; the platform's rule."""

BRITTLE_MS: Final = 10_000
"""How long an endpoint counts as brittle after its last answer that states it."""

BRITTLE_TELL_MS: Final = 2_000
"""Interval at which peers are told that an endpoint goes on stating it."""

FULL_MS: Final = 1_000
"""How long a brittle endpoint gets nothing after it had no room; it counts rejections by second."""

NEVER_MS: Final = 1 << 62
"""Time of what does not happen."""

MAX_ABSENT: Final = 256
"""Most endpoints of which what they stated is kept after they were removed from the list."""
