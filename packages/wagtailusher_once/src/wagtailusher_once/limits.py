"""Limits of the at-most-once decider."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_once.const import (
    DEFAULT_KEY_LIFETIME_MS,
    DEFAULT_MAX_ANSWER_BYTES,
    DEFAULT_MAX_ANSWERS_BYTES,
    DEFAULT_MAX_CLOCK_SKEW_MS,
    DEFAULT_MAX_LIST_AGE_MS,
    DEFAULT_MAX_LIST_LAG_MS,
    DEFAULT_MAX_RECORDS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class OnceLimits:
    """Limits of the at-most-once decider, in time and memory.

    `max_clock_skew_ms` is the greatest difference between any two wall clocks, including those of
    callers; `max_list_lag_ms` is the maximum age of the platform's list when it is read, and
    `max_list_age_ms` the maximum time since that read.
    """

    max_records: int = DEFAULT_MAX_RECORDS
    max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES
    max_answers_bytes: int = DEFAULT_MAX_ANSWERS_BYTES
    max_clock_skew_ms: int = DEFAULT_MAX_CLOCK_SKEW_MS
    key_lifetime_ms: int = DEFAULT_KEY_LIFETIME_MS
    max_list_lag_ms: int = DEFAULT_MAX_LIST_LAG_MS
    max_list_age_ms: int = DEFAULT_MAX_LIST_AGE_MS

    @property
    def settling_ms(self) -> int:
        """Return the time for which a VM must have been a key's home before it may run it."""
        return 2 * (self.max_list_lag_ms + self.max_list_age_ms + self.max_clock_skew_ms)
