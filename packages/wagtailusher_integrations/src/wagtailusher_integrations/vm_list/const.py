"""Path and limits of the platform's list of VMs."""

from __future__ import annotations

from typing import Final

PATH_LIST: Final = "/v1/vms"

MAX_ENTRY_VMS: Final = 10_000
MAX_ENDPOINTS: Final = 100_000
MAX_CONCURRENCY: Final = 100_000

DEFAULT_RESET_AFTER_MS: Final = 60_000
"""How long lower versions must persist before they are accepted as a restarted numbering."""
