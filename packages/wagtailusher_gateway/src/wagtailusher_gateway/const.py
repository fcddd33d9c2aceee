"""Limits, cost weights, timeouts and intervals of the gateway."""

from __future__ import annotations

from typing import Final

MS_PER_S: Final = 1000

MAX_HEAD_BYTES: Final = 32_768
"""Largest request head until a configuration sets a limit; twice the usual limit for headers."""

MAX_BODY_BYTES: Final = 4_194_304
"""Largest request body until a configuration sets a limit; the platform's usual limit."""

IDLE_TIMEOUT_MS: Final = 15_000
"""How long a caller's connection may be idle until a configuration sets a limit."""

CONNECT_TIMEOUT_MS: Final = 300
"""Timeout for connecting to an endpoint; 100 round trips between failure domains."""

KEEPALIVE_IDLE_S: Final = 1
"""Idle time after which the kernel probes a connection; one second is its smallest unit."""

KEEPALIVE_PROBES: Final = 2
"""Unanswered probes after which a connection is closed; tolerates the loss of one probe."""

UNACKED_TIMEOUT_MS: Final = 2_000
"""How long sent bytes may stay unacknowledged; allows several retransmissions."""

MAX_ANSWER_BYTES: Final = 16_777_216
"""Largest answer that is buffered before it is relayed; bounds memory use."""

MAX_REFUSAL_BYTES: Final = 65_536
"""Largest body of an endpoint's statement that it did not run a request; it is not relayed."""

REFUSAL_TIMEOUT_MS: Final = 500
"""Time for the body of such a statement, after which the connection is closed."""

MAX_EVENT_BYTES: Final = 262_144
"""Largest event of a stream; bounds memory use."""

DEADLINE_RESERVE_MS: Final = 20
"""Part of a caller's deadline reserved for returning the answer; several one-way delays."""

DEFAULT_DEADLINE_MS: Final = 30_000
"""Timeout of a request without a deadline on a route without a timeout."""

HEARTBEAT_INTERVAL_MS: Final = 200
"""Shortest interval between heartbeats to a peer; bounds the age of the load that peers see."""

HEARTBEATS_PER_S: Final = 50
"""Most heartbeats that a VM sends per second; in a larger fleet the interval grows instead."""

MAX_MISSED_HEARTBEATS: Final = 6
"""Intervals without a heartbeat after which callers are no longer sent to a peer; tolerates
several lost datagrams."""

MAX_HEARTBEAT_INTERVAL_MS: Final = 1_600
"""Longest interval between heartbeats to a peer; three of them fit into `MAX_SILENCE_MS`."""

RELAY_MIN_PEERS: Final = 50
"""Number of peers above which heartbeats to other failure domains are relayed; those to each peer
would be rarer than `RELAYED_INTERVAL_MS`."""

RELAYED_INTERVAL_MS: Final = 1_000
"""Interval between heartbeats to one VM of each other failure domain, which passes them on; four of
them fit into `MAX_SILENCE_MS`."""

MAX_RELAYED_LOADS: Final = 8
"""Most endpoint loads in a relayed heartbeat; it fits into a datagram with the relay's own."""

RELAY_PAUSE_MS: Final = 300
"""Time between two ticks from which a relay counts as paused; several of its turns."""

RELAY_SETTLE_MS: Final = 1_000
"""Time after such a pause in which a relay passes nothing on, as datagrams that waited look new."""

MAX_SILENCE_MS: Final = 5_000
"""Longest time without a heartbeat from a peer that callers are sent to; below the platform's
bound of 6 s."""

EARLY_HEARTBEAT_MAX_PEERS: Final = 12
"""Largest number of peers that all get an early heartbeat after a long prompt; in a larger fleet
only the peers in this VM's failure domain do."""

EARLY_HEARTBEAT_INTERVAL_MS: Final = 25
"""Shortest interval between two early heartbeats; prompts that arrive together share one."""

PEER_RETENTION_MS: Final = 30_000
"""Time without a heartbeat after which a peer is removed; longer than a restart or a network
partition of some seconds."""

GOSSIP_EVERY_HEARTBEATS: Final = 5
"""Every n-th heartbeat carries a sample of the known peers; a new VM learns of the fleet within a
second."""

COLD_WINDOW_MS: Final = 1_000
"""Window for counting the requests to a cold endpoint; its limit is per second."""

COLD_WINDOW_MARGIN_MS: Final = 100
"""Margin added to the window, because requests arrive after differing network delays."""

STALE_VIEW_MS: Final = 2_500
"""Age of the view beyond which every endpoint is treated as cold, because a restart may have
been missed."""

ASSUMED_COLD_MS: Final = 6_000
"""How long an endpoint is treated as cold after a failed connection; twice a cold start."""

EJECT_FAILURES: Final = 3
"""Consecutive failures after which an endpoint is ejected; a single one is not enough evidence."""

EJECT_MS: Final = 1_500
"""How long a failing endpoint is ejected; about one heartbeat interval of an endpoint."""

MAX_EJECTED_SHARE: Final = 0.5
"""Largest share of a service's endpoints that may be ejected at once; a failure with a common
cause must not eject them all."""

REFUSED_EJECT_MS: Final = 50
"""How long an endpoint is ejected after it refused a request for lack of capacity; about one
service time."""

MISDIRECTED_EJECT_MS: Final = 3_000
"""How long an endpoint is ejected after another one answered at its address; longer than the entry
of a stopped endpoint stays in the store."""

PREFIX_MEMORY_MS: Final = 8_000
"""How long an endpoint is assumed to cache a prompt's shared parts; within this time they are
usually reused."""

MAX_PREFIX_ENTRIES: Final = 4_096
"""Most prompt parts that are tracked; a few times the number of sessions of a busy VM."""

RUNNING_COST_MS: Final = 2.0
"""Delay that each running request adds to a new one; one request's share of a prefill step."""

REMOTE_LOAD_AGE_COST: Final = 0.03
"""Cost penalty for each ms by which the heartbeat interval between failure domains exceeds 200 ms;
the older a load report, the likelier it is that other VMs chose the same free endpoint."""

REMOTE_DOMAIN_COST_MS: Final = 4.0
"""Cost penalty of an endpoint in another failure domain; a round trip and the price of traffic."""

PREFILL_CAP_MS: Final = 350.0
"""Queued prefill time beyond which an engine gets no more requests; below the strictest latency
target."""

KV_SHARE: Final = 0.92
"""Share of an engine's KV memory that requests may fill; the rest caches shared prompt parts."""

QUEUE_WAIT_SHARE: Final = 0.6
"""Share of its latency target that a request may spend in the queue before it is refused."""

MIN_QUEUE_WAIT_MS: Final = 60
"""Shortest time that a request may wait in the queue; a few service times of a plain service."""

MAX_QUEUED: Final = 2_000
"""Most queued requests in one process; bounds memory use."""

RETRY_AFTER_MIN_MS: Final = 150
"""Shortest retry delay given to a refused caller."""

RETRY_AFTER_MAX_MS: Final = 2_000
"""Longest retry delay given to a refused caller; demand changes within seconds."""

RETRY_AFTER_RANK_MS: Final = 60
"""Retry delay added for each rank, so that more urgent requests retry first."""

RETRY_SLACK_SHARE: Final = 0.7
"""Share of the retry budget that is used; leaves a margin for windows that differ between VMs."""

MAX_REFUSED_SENDS: Final = 3
"""Sends refused by endpoints without running them after which the caller is told to retry later."""

RESOLVE_LIFETIME_S: Final = 1.0
"""Longest lifetime stated in an address answer; callers may keep an answer for three times as
long."""

MAX_ADDRESSES: Final = 64
"""Most addresses in one answer; callers read no more."""

STREAM_RECORD_TIMEOUTS: Final = 2
"""Life of a stream's record in timeouts of its route: one in which the stream may break, and one in
which its caller may take it up."""

MIN_STREAM_RECORD_MS: Final = 10_000
"""Shortest life of a stream's record; several of the longest retry delays."""

MAX_STREAM_RECORD_MS: Final = 120_000
"""Longest life of a stream's record, whatever the timeout of its route; bounds memory use."""

MAX_STREAM_RECORDS: Final = 16_384
"""Most records of streams that a VM keeps; bounds memory use."""

MAX_STREAM_ID_BYTES: Final = 128
"""Longest identifier of a stream that is recorded; eight times the usual length."""

HOLDERS_ASKED: Final = 2
"""VMs of each failure domain that are asked for a stream's record; VMs that just stopped are still
ranked by some."""

HOLDER_WAIT_MS: Final = 150
"""Longest wait for the answers of holders; many round trips between failure domains."""

HOLDER_REPEAT_MS: Final = 50
"""Part of that wait after which holders that have not answered are asked once more."""

VIEW_WAIT_MS: Final = 2_500
"""Longest wait for a confirmed view before the version of a resumed stream counts as unknown; two
watches of the store."""

VIEW_DELAY_MS: Final = 1_000
"""By how much a view may be older than the time of its confirmation: the longest delay of an answer
of the store and of a heartbeat."""

MAX_PEER_VIEW_AGE_MS: Final = 5_000
"""Age of a peer's view beyond which it may send to endpoints that were removed long ago; as long as
the longest silence of a live peer."""

UNKNOWN_VERSION_RETRY_MS: Final = 500
"""Retry delay of a stream whose version is unknown; holders may be in touch again by then."""

CRASH_CHECK_DELAY_MS: Final = 20
"""Wait after a request's connection ended until the endpoint's address is checked; its process may
still be ending."""

JUST_BEGUN_MS: Final = 100
"""Time after a stream's first event in which it may be what crashed its endpoint; an endpoint may
write a little before it ends."""

CRASH_REFERENCES: Final = 2
"""Other endpoints that are connected to when one refuses connections; if these do too, this VM is
cut off. One of them may have crashed as well."""

FORWARD_CONNECT_FAILURES: Final = 2
"""Endpoints that refuse a request's connections before it is handed on to another VM; one may have
crashed."""

MAX_FORWARD_PEERS: Final = 2
"""Most VMs that a request is offered to."""

MAX_FORWARD_AGE_MS: Final = 30_000
"""Largest difference between the clocks of two VMs for a request that is handed on."""

MAX_FORWARDED_REQUESTS: Final = 256
"""Most requests of peers that are in progress at once; bounds memory use."""

SAME_CRASH_MS: Final = 3_000
"""Time in which the connections of requests end because of one crash; longer than their queues."""

MAX_FINGERPRINT_PARTS: Final = 16
"""Most parts of a prompt that are tracked; several times the usual number."""

MAX_PART_ID_BYTES: Final = 40
"""Longest identifier of a part that peers get as it is; eight of them fit into a datagram."""

QUARANTINE_INTERVAL_MS: Final = 200
"""Interval at which evidence of crashes is repeated; as that of heartbeats."""

QUARANTINE_PEERS: Final = 6
"""Peers that each repetition goes to, besides the first message, which goes to all."""

CULPRIT_SENDS: Final = 4
"""How often each VM sends what is refused, before it only repeats it to those that missed it."""

MIN_WAITING_CRASHES: Final = 3
"""Crashes that accuse a request whose answer had begun at none of them; two may be chance, as when
a failure domain goes down and a repeat goes down with it."""

QUARANTINE_REPEAT_MS: Final = 1_000
"""Interval at which two peers get what is refused, for those that missed it; a part of the time in
which the fleet must know."""

MAX_SUMMARIES_PER_TICK: Final = 4
"""Most messages of evidence at once; a crash accuses a few requests and their parts."""

ENTRY_LAPSE_MS: Final = 10_000
"""Time after which the entry of an endpoint that crashed has expired; several of its intervals."""

LEAVE_LINGER_MS: Final = 3_600
"""How long a leaving VM keeps serving callers that cached its address; three lifetimes and a
reserve."""

LEAVE_AWARE_MS: Final = 2_800
"""Time after which callers can know that a VM leaves: three lifetimes of an address answer, less
the delay with which a busy process handles the signal."""

LEAVE_RESERVE_MS: Final = 500
"""Part of the shutdown grace reserved for closing connections and exiting."""

LEAVE_ANSWER_MS: Final = 250
"""Part of it for the answers to requests that did not end in time."""

VIEW_PULL_MS: Final = 300
"""Interval between checks whether to fetch a newer view from a peer."""

VIEW_PULL_TIMEOUT_MS: Final = 700
"""Timeout for fetching a peer's view, which has some tens of KB."""

VIEW_BODY_TIMEOUT_MS: Final = 3_500
"""Time for the whole body of a peer's view, whose sender may have little processor time and a link
of 5 Mbit/s; as for a page of the store."""

BEHIND_PULL_MS: Final = 600
"""How long a VM with an older configuration than a peer waits for the store and its reader to bring
the newer one."""

START_WAIT_MS: Final = 600
"""How long a VM that starts waits for the first heartbeat of a peer before it believes the store;
covers two of its own, should one be lost."""

START_FETCH_MS: Final = 1_000
"""Time for fetching a peer's view at the start."""

CATCH_UP_MS: Final = 300
"""How long a request that a peer handed on waits for the changes that the peer knows; some reads of
the store, and less than a caller's next try takes."""

CATCH_UP_STEP_MS: Final = 10
"""Interval of the check whether they have arrived."""

VIEW_PULL_AGE_MS: Final = 900
"""Age of this VM's view beyond which a newer one is fetched from a peer."""

TICK_MS: Final = 50
"""Interval of the periodic tasks and of the check of queued requests; a fraction of the strictest
latency target."""

LOG_LINES_PER_S: Final = 120
"""Most log lines that a process writes per second; about 30 KB."""

LOG_SUCCESS_LINES_PER_S: Final = 25
"""Most log lines per second about successful requests; these are dropped first."""

LOG_BUFFER_BYTES: Final = 262_144
"""Largest buffer of log lines for a slow reader; further lines are dropped."""

LATENCY_BUCKETS_S: Final = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.8, 1.5, 4.0, 12.0, float("inf"))
"""Histogram buckets, chosen around the latency targets of routes."""
