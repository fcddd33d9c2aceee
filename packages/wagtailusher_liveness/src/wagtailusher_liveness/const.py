"""Time-outs and intervals of the detection of unresponsive endpoints."""

from __future__ import annotations

from typing import Final

SILENCE_MS: Final = 200
"""Silence of all begun streams of an endpoint that makes it suspected; several times the usual gap
between events, and about the longest that callers expect."""

SINGLE_SILENCE_MS: Final = 400
"""The same where a single answer has begun; one stream alone may wait for the prompts of others."""

FIRST_BYTE_MS: Final = 500
"""The same where no answer has begun; longer than prompts usually wait to be read."""

SUSPICION_PAUSE_MS: Final = 1_000
"""Time after an answered check in which silence alone does not make an endpoint suspected again;
bounds the checks of an endpoint that is only slow."""

RECHECK_MS: Final = 300
"""Interval at which one VM of the fleet checks an unresponsive endpoint."""

OTHERS_RECHECK_MS: Final = 2_000
"""The same for all other VMs, which may reach an endpoint that this one does not."""

TOLD_MS: Final = 1_000
"""How long a VM without requests at an endpoint avoids it on a peer's word before it checks itself;
two repetitions of a report."""

REPORT_INTERVAL_MS: Final = 500
"""Interval at which a report is repeated, as datagrams may be lost."""

MAX_REPORTS: Final = 24
"""Most reports at once; bounds what one tick sends."""

SAME_SILENCE_MS: Final = 100
"""Difference of the last signs of life that two VMs may have of one endpoint; a few gaps between
events."""

MAX_TICK_GAP_MS: Final = 250
"""Time without a tick after which this VM was itself paused, so that silence tells nothing."""
