"""Paths of the operator HTTP API."""

from __future__ import annotations

from typing import Final

PATH_FLEET: Final = "/operator/v1/fleet"
PATH_ENDPOINTS: Final = "/operator/v1/endpoints"
PATH_SETTINGS: Final = "/operator/v1/settings"
PATH_QUARANTINE: Final = "/operator/v1/quarantine"
PATH_REFUSALS: Final = "/operator/v1/refusals"
PATH_REQUEST: Final = "/operator/v1/requests/{trace_id}"
PATH_DRAIN: Final = "/operator/v1/drains/{failure_domain}"
PATH_PLACEMENT: Final = "/placement"
"""Served by the gateway at its metrics address."""
HEADER_KEY: Final = "x-wagtailusher-api-key"
"""Carries the key of the caller that is asked about."""
PATH_BOOKS: Final = "/operator/v1/books"
