"""Limits, weights and intervals of the gateway; each says where its figure comes from."""

from __future__ import annotations

from typing import Final

MS_PER_S: Final = 1000

MAX_HEAD_BYTES: Final = 32_768
"""Bytes of a request's head before a configuration sets a limit; twice a usual header limit."""

MAX_BODY_BYTES: Final = 4_194_304
"""Bytes of a request's body before a configuration sets a limit; the platform's usual limit."""

IDLE_TIMEOUT_MS: Final = 15_000
"""How long a caller's connection may be idle, in ms, before a configuration sets it."""

CONNECT_TIMEOUT_MS: Final = 300
"""Time to open a connection to an endpoint; 100 round trips between failure domains."""

KEEPALIVE_IDLE_S: Final = 1
"""Silence after which the kernel probes a connection; its smallest step is a second."""

KEEPALIVE_PROBES: Final = 2
"""Unanswered probes after which a connection is dead; one may be lost on a bad link."""

UNACKED_TIMEOUT_MS: Final = 2_000
"""Time for which sent bytes may stay unacknowledged; several retransmissions."""

MAX_ANSWER_BYTES: Final = 16_777_216
"""Bytes of an answer that is read whole before it is passed on; protects the VM's memory."""

MAX_EVENT_BYTES: Final = 262_144
"""Bytes of one event of a stream; protects the VM's memory."""

DEADLINE_RESERVE_MS: Final = 20
"""Time kept back from a caller's deadline for the answer's way to it; several one-way delays."""

DEFAULT_DEADLINE_MS: Final = 30_000
"""Time given to a request that states none and whose route has none."""

BEAT_INTERVAL_MS: Final = 200
"""Time between beats to a peer in a small fleet; the age of the load that peers see."""

BEATS_PER_S: Final = 50
"""Beats that a VM sends a second at most; a larger fleet beats more slowly."""

MISSED_BEATS: Final = 6
"""Beats missed before a peer is no longer named to callers; survives several lost datagrams."""

MAX_BEAT_INTERVAL_MS: Final = 1_600
"""Longest time between beats to a peer; three fit into the longest silence."""

MAX_SILENCE_MS: Final = 5_000
"""Longest silence of a peer that is named to callers; below the platform's bound of 6 s."""

HASTENED_FLEET: Final = 12
"""Peers up to which news of a long prompt go to all; beyond, only to the own failure domain."""

HASTENED_PAUSE_MS: Final = 25
"""Least time between two hastened beats; gathers the prompts of one moment."""

FORGET_PEER_MS: Final = 30_000
"""Silence after which a peer is forgotten; longer than a restart or a partition of seconds."""

RUMOUR_BEATS: Final = 5
"""One beat in so many names all known peers; a newcomer learns the fleet within a second."""

COLD_WINDOW_MS: Final = 1_000
"""Window in which requests to a cold endpoint are counted; its limit is given per second."""

COLD_WINDOW_MARGIN_MS: Final = 100
"""Added to the window, as requests travel for different times."""

STALE_VIEW_MS: Final = 2_500
"""Age of the view of endpoints beyond which any engine may have turned cold unseen."""

UNSEEN_RESTART_MS: Final = 6_000
"""Time for which an endpoint that refused a connection counts as cold; twice a cold start."""

EJECT_FAILURES: Final = 3
"""Failures in a row after which an endpoint gets no work for a while; one may be chance."""

EJECT_MS: Final = 1_500
"""Time for which a failing endpoint gets no work; about a heartbeat of an endpoint."""

UNREACHABLE_MS: Final = 500
"""Time for which an endpoint that took no connection is avoided."""

MAX_EJECTED_SHARE: Final = 0.5
"""Share of a service's endpoints that failures may take out; a common cause spares the rest."""

REFUSED_MS: Final = 50
"""Time for which an endpoint that refused for want of room is avoided; about one service time."""

MISDIRECTED_MS: Final = 3_000
"""Time for which an endpoint is avoided at whose address another one answers; longer than the
entry of an endpoint that is gone stays."""

PREFILL_TOKENS_PER_MS: Final = 90.0
"""Prompt tokens that an engine reads in a ms; the slowest engine of the users' sheets."""

PREFIX_MEMORY_MS: Final = 8_000
"""How long an endpoint is taken to keep a prompt's shared parts; the users' reuse window."""

MAX_PREFIX_ENTRIES: Final = 4_096
"""Prompt parts remembered; a few times the sessions of a busy VM."""

RUNNING_COST_MS: Final = 2.0
"""Delay that each running request adds to a new one; one request's share of a prefill step."""

FAR_LOAD_COST: Final = 0.03
"""Handicap for each ms by which loads in other failure domains are told more rarely than every
200 ms; the older a load, the likelier that others saw the same gap."""

FOREIGN_DOMAIN_COST_MS: Final = 4.0
"""Handicap of an endpoint in another failure domain; a round trip and the traffic's price."""

PREFILL_CAP_MS: Final = 350.0
"""Prefill waiting at an engine beyond which it gets no more; below the strictest target."""

KV_SHARE: Final = 0.92
"""Share of an engine's memory that requests may fill; the rest keeps shared parts."""

PLACE_WAIT_SHARE: Final = 0.6
"""Share of the latency target that a request may wait for a place before it is refused."""

MIN_PLACE_WAIT_MS: Final = 60
"""Shortest wait for a place, in ms; a few service times of a plain service."""

MAX_QUEUED: Final = 2_000
"""Requests that may wait for a place in one process; bounds its memory."""

RETRY_AFTER_MIN_MS: Final = 150
"""Least time after which a refused caller may return."""

RETRY_AFTER_MAX_MS: Final = 2_000
"""Most time after which a refused caller may return; demand changes within seconds."""

RETRY_AFTER_RANK_MS: Final = 60
"""Delay of the return for each rank, so that more urgent requests find room first."""

RETRY_SLACK_SHARE: Final = 0.7
"""Share of the fleet's retry slack that is given out; keeps clear of uneven windows."""

MAX_SENDS_REFUSED: Final = 3
"""Sends that endpoints may refuse unrun before the caller is told to come back."""

RESOLVE_LIFETIME_S: Final = 1.0
"""How long callers may keep an address answer; they may keep it three times as long."""

MAX_ADDRESSES: Final = 64
"""Addresses in one answer; callers read no more."""

LEAVE_LINGER_MS: Final = 3_600
"""How long a leaving VM waits for callers that kept its address; three lifetimes and a reserve."""

LEAVE_RESERVE_MS: Final = 500
"""Time before the end of the grace at which a leaving VM stops; its exit takes time too."""

VIEW_PULL_MS: Final = 300
"""Time between questions to a peer for a newer view."""

VIEW_PULL_TIMEOUT_MS: Final = 700
"""Time for a peer's answer with its view; a view has some tens of KB."""

VIEW_PULL_AGE_MS: Final = 900
"""Age of the own view beyond which a peer's newer one is asked for."""

TICK_MS: Final = 50
"""Time between looks at waiting requests; a fraction of the strictest target."""

LOG_LINES_PER_S: Final = 120
"""Log lines a second that a process writes at most; about 30 KB."""

LOG_SUCCESS_LINES_PER_S: Final = 25
"""Log lines a second about requests that went well; they are thinned out first."""

LOG_BUFFER_BYTES: Final = 262_144
"""Bytes of log lines that wait for a slow reader before more are dropped."""

LATENCY_BUCKETS_S: Final = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.8, 1.5, 4.0, 12.0, float("inf"))
"""Buckets around the users' latency targets."""
