"""Paths, headers and intervals of the platform's configuration service."""

from __future__ import annotations

from typing import Final

PATH_VALUE: Final = "/v1/values/{key}"
HEADER_VERSION: Final = "x-version"
HEADER_RETRY_AFTER: Final = "retry-after"

DEFAULT_KEY: Final = "settings"
DEFAULT_WAIT_MS: Final = 2_000
"""How long a watch waits for a change.

With the margin it bounds the time for which an unresponsive connection hides changes.
"""
DEFAULT_WAIT_MARGIN_MS: Final = 800
DEFAULT_READ_TIMEOUT_MS: Final = 2_000
MAX_POLLED_BYTES: Final = 8 * 1024 * 1024
"""Largest value read; values have 1 MiB at most, larger documents are read in chunks."""
DEFAULT_MIN_INTERVAL_MS: Final = 100
DEFAULT_BACKOFF_BASE_MS: Final = 200
DEFAULT_BACKOFF_LIMIT_MS: Final = 5_000

MS_PER_S: Final = 1_000
MAX_RETRY_AFTER_MS: Final = 60_000
