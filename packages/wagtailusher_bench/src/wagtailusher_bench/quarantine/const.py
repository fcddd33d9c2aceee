"""Holds the delays, rates and limits of the simulated fleet."""

from __future__ import annotations

from typing import Final

DATAGRAM_DELAY_MS: Final = 2
DATAGRAM_LOSS: Final = 0.1
IP_UDP_BYTES: Final = 28
TICK_MS: Final = 200
SILENCE_MS: Final = 1_200
"""Time after which a VM that is cut off is no longer among the live ones."""

CONTACT_MS_BY_VMS: Final = {9: 3_000, 68: 4_000}
COUNTED_CRASHES: Final = 5

CRASH_CHECK_MS: Final = 20
REPLACE_MS: Final = 5_000
HEAD_MS: Final = (60, 80)
"""Time from the send to the head of the answer."""
EVENT_MS: Final = (80, 100)
"""Time from the head to the first event; the answer has just begun."""
STREAM_MS: Final = (300, 2_000)
"""Time from the first event to the end."""
SOUND_PER_ENDPOINT_S: Final = 3.0
POISON_PER_S: Final = 4.0
RARE_PER_S: Final = 1.0
MIDDLE_PARTS: Final = 400

SPREAD_PEERS: Final = 6
REPEAT_MS: Final = 1_000
REPEAT_PEERS: Final = 2
MAX_DATAGRAMS: Final = 4
MAX_ENTRIES: Final = 8
MAX_SENDS: Final = 4

MIN_CRASHES: Final = 2
MAX_SCORE: Final = 0.5
EPOCH_MS: Final = 30_000
INNOCENT_MS: Final = 10_000
ASK_REPEAT_MS: Final = 50
ASK_LIMIT_MS: Final = 150
"""Time after which a request is sent without the answer of a judge."""
TELL_COMPLETE_MS: Final = 5_000
PROBE_AFTER_MS: Final = 60_000
