"""Fakes of engines and services that run in virtual time."""

from __future__ import annotations

from wagtailusher_bench.fakes.clock import VirtualClock
from wagtailusher_bench.fakes.engine import EngineTraits, FakeEngine
from wagtailusher_bench.fakes.job import Job, JobEnd
from wagtailusher_bench.fakes.prefix_cache import PrefixCache

__all__ = [
    "EngineTraits",
    "FakeEngine",
    "Job",
    "JobEnd",
    "PrefixCache",
    "VirtualClock",
]
