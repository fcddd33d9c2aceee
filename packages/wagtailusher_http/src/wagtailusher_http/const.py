"""Limits, time-outs and defaults of HTTP connections."""

from __future__ import annotations

from dataclasses import dataclass

MAX_UNREAD_BYTES = 64 * 1024
"""Unread input above which a socket is not read."""
MAX_READ_BYTES = 64 * 1024
"""Most bytes of one read; with many connections at once, larger ones hold more than the bodies."""
WRITE_SLICE_BYTES = 64 * 1024
"""Largest write that is passed on at once; as much as a transport buffers before it pauses."""
CHUNK_FRAME_BYTES = 32
MAX_CHUNKS_PER_TURN = 128
"""Chunks of one body that are parsed before the event loop runs other tasks; a multiple of
CHUNKS_PER_CLOCK_READ."""
MAX_TURN_MS = 2
"""Processor time after which such a turn ends earlier, on a slow or busy machine."""
CHUNKS_PER_CLOCK_READ = 8
MAX_FULL_TURNS = 8
"""Full turns of one body after which each further one is followed by a pause."""
CHUNK_PAUSE_MS = 100
"""Pause after a full turn, so that a flood of tiny chunks takes a few hundredths of the time."""
MAX_TIMER_DELAY_S = 0.05
"""Delay of a timer above which this process counts as paused; several turns of the event loop."""
HELD_CHUNK_PAUSE_MS = 10
"""The same for a body that is held until it is whole: the number of its chunks is bounded."""
MAX_TINY_CHUNKS = 2048
"""Chunks of a body that is read whole, beyond one for each MIN_CHUNK_BYTES."""
MIN_CHUNK_BYTES = 32
"""Smallest mean size of many chunks in a body that is read whole; each costs a parser step."""
MAX_PIPELINED_BYTES = 65536
CONNECTION_BYTES = 8 * 1024
"""Objects of a caller's connection; with plain TCP 5 KB were measured."""
PAUSED_STREAM_BYTES = MAX_UNREAD_BYTES + MAX_READ_BYTES
"""What an endpoint's connection holds at most of a stream whose caller does not read."""
SMALL_BYTES = 64 * 1024
"""What the connection of an ordinary request holds at most; most bodies have 1 to 55 KB."""
SMALL_SHARE = 0.25
"""Share of the callers' budget that is left to small requests."""
PACE_WINDOW_MS = 1_000
"""Time over which the pace of a caller is observed."""
MIN_PACE_BYTES_PER_S = 65_536
"""Pace below which a caller counts as slow; a tenth of the slowest link's, 5 Mbit/s."""
SLOW_WEIGHT = 8
"""How much earlier a slow caller gives way than another one that holds as much."""
MAX_HELD_PIPELINED_BYTES = 16 * 1024
"""Bytes sent ahead for which a caller may have to give way while its request is served."""
LOG_INTERVAL_MS = 1_000
"""Shortest time between two log lines about callers that gave way."""
OVERLOAD_RETRY_MS = 1_000
"""Wait that a refused caller is told; several times the duration of an ordinary request."""
BACKLOG = 1024
MS_PER_S = 1000

REFUSED_BODY_DRAIN_MS = 1_000
"""Time for reading the rest of a refused request, so that the caller receives the response."""

DEFAULT_MAX_HEAD_BYTES = 32 * 1024
DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024
DEFAULT_MAX_CONNECTIONS = 4096
DEFAULT_IDLE_TIMEOUT_MS = 75_000
DEFAULT_RECEIVE_TIMEOUT_MS = 10_000
DEFAULT_SEND_TIMEOUT_MS = 20_000
DEFAULT_CONNECT_TIMEOUT_MS = 1_000
DEFAULT_HEAD_TIMEOUT_MS = 30_000
DEFAULT_SILENCE_TIMEOUT_MS = 5_000
DEFAULT_MAX_ANSWER_BYTES = 16 * 1024 * 1024
DEFAULT_MAX_BUFFERED_BYTES = 32 * 1024 * 1024
"""A quarter of the memory of a small VM, which has 128 MB; the process itself needs 45 MB."""
DEFAULT_MAX_HELD_BYTES = 38 * 1024 * 1024
"""Three tenths of the memory of a small VM."""
DEFAULT_IDLE_PER_ADDRESS = 32
DEFAULT_MAX_IDLE_AGE_MS = 15_000
DEFAULT_KEEPALIVE_PROBES = 2
DEFAULT_TCP_USER_TIMEOUT_MS = 2_000
MAX_UNMATCHED_RESPONSES = 3
"""Responses to other requests that are skipped before the connection is closed."""
MAX_SKIPPED_BYTES = 1024 * 1024
"""Largest response to another request that is skipped."""
SKIP_TIMEOUT_MS = 500
"""Time for the rest of a response to another request, which usually arrives with its head."""
SURPLUS_WAIT_MS = 50
"""Wait for bytes behind a body that may end within another response's head; many gaps between the
parts of one write."""
MAX_STATUS_LINE_BYTES = 300
MAX_STATUS = 599
"""Highest status of a response; the last class of HTTP is 5xx."""
MAX_INFORMATIONAL_RESPONSES = 16
"""Informational responses before a response; servers send one or two."""
KEEP_ALIVE_REUSE_SHARE = 0.7
"""Part of the peer's keep-alive timeout within which an idle connection is reused."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """Limits of a server."""

    max_head_bytes: int = DEFAULT_MAX_HEAD_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS
    receive_timeout_ms: int = DEFAULT_RECEIVE_TIMEOUT_MS
    send_timeout_ms: int = DEFAULT_SEND_TIMEOUT_MS
    max_held_bytes: int = DEFAULT_MAX_HELD_BYTES
    """Bytes held for all callers, requests and answers; used unless the server shares a budget."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Limits of a client."""

    max_head_bytes: int = DEFAULT_MAX_HEAD_BYTES
    max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES
    max_buffered_bytes: int = DEFAULT_MAX_BUFFERED_BYTES
    """Bytes held for all answers that are read whole; above it the largest answer is dropped."""
    connect_timeout_ms: int = DEFAULT_CONNECT_TIMEOUT_MS
    send_timeout_ms: int = DEFAULT_SEND_TIMEOUT_MS
    idle_per_address: int = DEFAULT_IDLE_PER_ADDRESS
    max_idle_age_ms: int = DEFAULT_MAX_IDLE_AGE_MS
    keepalive_idle_s: int | None = None
    """Idle time after which the kernel sends keepalive probes; None disables them."""
    keepalive_probes: int = DEFAULT_KEEPALIVE_PROBES
    tcp_user_timeout_ms: int = DEFAULT_TCP_USER_TIMEOUT_MS
    read_response_while_sending: bool = False
    """Read the response while a long request body is still being sent."""
