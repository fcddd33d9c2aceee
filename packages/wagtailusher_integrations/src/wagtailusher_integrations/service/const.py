"""Headers of plain services."""

from __future__ import annotations

HEADER_REQUEST_ID = "x-request-id"

SECRET_HEADERS = frozenset({"authorization", "x-wagtailusher-ticket", "x-wagtailusher-forwarded"})
