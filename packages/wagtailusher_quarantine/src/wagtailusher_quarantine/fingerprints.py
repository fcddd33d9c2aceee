"""Fingerprints of what may crash endpoints: whole requests, and parts of their prompts."""

from __future__ import annotations

_PART_PREFIX = "part:"


def part_fingerprint(part_id: str) -> str:
    """Return the fingerprint of a part of a prompt."""
    return f"{_PART_PREFIX}{part_id}"


def is_part(fingerprint: str) -> bool:
    """Return whether a fingerprint is that of a part, which many requests may share."""
    return fingerprint.startswith(_PART_PREFIX)
