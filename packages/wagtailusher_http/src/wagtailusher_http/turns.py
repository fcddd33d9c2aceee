"""Bounds how long the chunks of one body are parsed before other tasks run."""

from __future__ import annotations

from time import thread_time

from wagtailusher_http.const import (
    CHUNKS_PER_CLOCK_READ,
    MAX_CHUNKS_PER_TURN,
    MAX_TURN_MS,
    MS_PER_S,
)


def is_turn_used_up(chunk_count: int, started_s: float) -> bool:
    """Return whether a turn parsed the most chunks, or took the most processor time."""
    if chunk_count == 0 or chunk_count % CHUNKS_PER_CLOCK_READ:
        return False
    if chunk_count >= MAX_CHUNKS_PER_TURN:
        return True
    return (thread_time() - started_s) * MS_PER_S >= MAX_TURN_MS
