"""Compares ways to find a prompt part that crashes endpoints, in virtual time and without sockets.

`python -m wagtailusher_bench.quarantine` prints one JSON object for each way, fleet and variant.
"""

from __future__ import annotations

from wagtailusher_bench.quarantine.load import VARIANTS
from wagtailusher_bench.quarantine.runner import FLEETS, WAYS, CaseResult, run_case

__all__ = ["FLEETS", "VARIANTS", "WAYS", "CaseResult", "run_case"]
