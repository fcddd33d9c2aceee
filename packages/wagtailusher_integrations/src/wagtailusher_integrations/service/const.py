"""Headers of plain services."""

from __future__ import annotations

HEADER_REQUEST_ID = "x-request-id"

DEFAULT_UNMATCHED_TIMEOUT_MS = 1_000
"""Read time-out after an answer to another request, as at engines."""

SECRET_HEADERS = frozenset({"authorization", "x-wagtailusher-ticket", "x-wagtailusher-forwarded"})
