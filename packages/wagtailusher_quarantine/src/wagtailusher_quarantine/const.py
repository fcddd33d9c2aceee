"""Defaults of the quarantine decider."""

from __future__ import annotations

DEFAULT_QUARANTINE_LIFETIME_MS = 600_000
DEFAULT_EVIDENCE_LIFETIME_MS = 300_000
DEFAULT_SPREAD_MS = 1_500
DEFAULT_MAX_FINGERPRINTS = 1_024
DEFAULT_MAX_COMPLETED = 4_096
"""Fingerprints whose last complete answer is remembered; a busy VM's requests of many seconds."""
DEFAULT_SUMMARY_ENTRIES = 8
DEFAULT_SUSPECT_SENDS = 4
DEFAULT_CULPRIT_SENDS = 12
DEFAULT_SAME_CRASH_MS = 3_000
DEFAULT_EXPIRY_GRACE_MS = 30_000
DEFAULT_INNOCENT_MS = 10_000
"""Time after a complete answer in which a prompt part is not accused; several answers."""
DEFAULT_PROBE_AFTER_MS = 60_000
"""Time in quarantine until one request is let through; many times what a false alarm lasts."""
DEFAULT_MAX_PROBES = 2
"""Requests let through in one quarantine; what crashes the endpoints of all of them is guilty."""
PROBE_BACKOFF = 5
"""Factor by which the time until each further probe grows."""
MAX_CRASHES_PER_FINGERPRINT = 16
"""More than one part causes until all VMs refuse it; a crash that is forgotten no longer explains
explains those of its bystanders, and they would be accused instead."""
AMBIGUOUS_CRASHES = 3
"""Crashes after which a prompt part without any complete answer is refused, even if other parts
were in flight at all of them too: parts that always come together can't be told apart."""
MAX_AGE_MS = 0xFFFFFFFF
"""Largest age in a message; stands for never."""
