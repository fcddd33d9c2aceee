"""Limits that differ between deployments."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_liveness.const import FIRST_BYTE_MS, SILENCE_MS, SINGLE_SILENCE_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class LivenessLimits:
    """How long an endpoint may be silent before it is checked."""

    silence_ms: int = SILENCE_MS
    """Where several answers have begun."""
    single_silence_ms: int = SINGLE_SILENCE_MS
    """Where one answer has begun."""
    first_byte_ms: int = FIRST_BYTE_MS
    """Where requests wait for their answers to begin."""
