"""Paths, headers and intervals of model engines."""

from __future__ import annotations

PATH_CHAT = "/v1/chat/completions"
PATH_LOAD = "/load"
PATH_CANCEL = "/v1/requests/{request_id}/cancel"
PATH_RESUME = "/v1/requests/{request_id}/stream?offset={offset}"

HEADER_REQUEST_ID = "x-request-id"
HEADER_PRIORITY = "x-priority"
HEADER_TRACE = "traceparent"

CONTENT_TYPE_JSON = "application/json"
CONTENT_TYPE_EVENTS = "text/event-stream"

DEFAULT_POLL_INTERVAL_MS = 500
DEFAULT_POLL_TIMEOUT_MS = 1_000
DEFAULT_CANCEL_TIMEOUT_MS = 1_000
DEFAULT_UNMATCHED_TIMEOUT_MS = 1_000
"""Read time-out after an answer to another request; that of a poll, which takes as long."""
MAX_POLLED_ENDPOINTS = 64
MAX_REPORT_BYTES = 65_536
"""Largest load report or answer to a cancellation; engines send some hundred bytes."""
