"""Paths, header names, defaults and limits of the entry daemon."""

from __future__ import annotations

ENV_PREFIX = "WAGTAILUSHER_"

PATH_CHAT = "/v1/chat/completions"
PATH_MODELS = "/v1/models"
PATH_ADDRESSES = "/v1/addresses"
PATH_TICKETS = "/v1/tickets"
PATH_SERVICES = "/services/"
PATH_HEALTH = "/healthz"
PATH_READY = "/readyz"
PATH_METRICS = "/metrics"
PATH_CONFIGURATION = "/peer/v1/configuration"

HEADER_CLASS = "x-wagtailusher-class"
HEADER_ROUTE = "x-wagtailusher-route"
HEADER_TICKET = "x-wagtailusher-ticket"
HEADER_FORWARDED = "x-wagtailusher-forwarded"
HEADER_REVISION = "x-wagtailusher-revision"
HEADER_KEY = "idempotency-key"
HEADER_FIRST_SENT = "x-wagtailusher-first-sent-ms"
HEADER_REQUEST_ID = "x-request-id"
HEADER_TRACE = "traceparent"
HEADER_LIMIT = "x-wagtailusher-limit"
"""Requests a second that an endpoint takes from all VMs together, in its answers."""
HEADER_LEAVING = "x-wagtailusher-leaving"
"""Has the value 1 in all answers of an endpoint that leaves."""
HEADER_RETRY_AFTER = "retry-after"
"""Seconds for which an endpoint that refuses with 503 wants nothing from this VM."""

DEFAULT_ROUTE_CHAT = "chat"

DEFAULT_LISTEN = "127.0.0.1:0"
DEFAULT_LOG_LEVEL = "info"
DEFAULT_LOG_FORMAT = "text"
DEFAULT_TICK_INTERVAL_MS = 50
DEFAULT_LOAD_POLL_INTERVAL_MS = 250
DEFAULT_LEASE_LIFETIME_MS = 2_000
DEFAULT_LIST_LAG_MS = 5_000
DEFAULT_PAUSE_TOLERANCE_MS = 1_000
DEFAULT_MEMORY_MB = 128
"""Memory of a small VM, in units of 1,000,000 bytes."""
BYTES_PER_MB = 1_000_000
BUFFERED_MEMORY_SHARE = 0.15
"""Share of the memory for answers of endpoints that are read whole."""
HELD_MEMORY_SHARE = 0.2
"""Share of the memory for callers' requests, and for answers that they have not read; the process
itself takes half of a small VM."""
RENEWALS_PER_LIFETIME = 4
DEFAULT_HEAD_TIMEOUT_MS = 60_000

MS_PER_S = 1000
BYTES_PER_TOKEN = 4
PREFIX_BLOCK_BYTES = 1024
MAX_PREFIX_BLOCKS = 16
MAX_ADDRESSES = 4
EXIT_USAGE = 2
QUARANTINE_FANOUT = 3
QUARANTINE_INTERVAL_MS = 250
FETCH_TIMEOUT_MS = 800
FULL_FETCH_TIMEOUT_MS = 3_000
"""Time for a peer's whole content, as long as membership waits for it."""
FLEET_TICK_INTERVAL_MS = 100
EXIT_UNCLEAN = 3
MAX_REVISION_CHARS = 32
TICKET_TIMEOUT_MS = 1_000
MAX_TICKET_BYTES = 65_536
"""Largest answer to a request for a ticket, which has some hundred bytes."""
ISOLATION_MS = 4_000
MIN_PEERS_FOR_ISOLATION = 2
LOAD_REPORT_MAX_AGE_MS = 2_000
DOUBT_POLL_MS = 1_000
"""Time of polling an engine that may have restarted and closes connections without an answer."""
DOUBT_POLL_PAUSE_MS = 50
FINDINGS_PER_DATAGRAM = 4
"""Endpoints in one message; their identifiers may have up to 200 bytes each."""
REPEATED_PEERS = 6
"""Peers that get each repetition of what this VM found of endpoints."""
FIRST_PEERS = 12
"""Peers that learn at once of an endpoint that this VM found silent; its checker tells others."""
LIVENESS_CHECK_TIMEOUT_MS = 120
"""Time for an endpoint to accept a connection; many round trips between failure domains."""
PERMILLE = 1_000
LIST_CONFIRM_INTERVAL_MS = 100
BODY_MARGIN_BYTES = 64 * 1024
