"""Parses the time for which an endpoint wants no requests."""

from __future__ import annotations

from collections.abc import Sequence
import re

from wagtailusher_availability.const import MAX_WAIT_MS, MS_PER_S

_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,9})?", re.ASCII)


class UnreadableWaitError(ValueError):
    """The time is not one non-negative decimal number of seconds."""


def parse_wait_ms(values: Sequence[str]) -> int | None:
    """Return the ms that the values of a field in seconds name, or None without the field.

    At most `MAX_WAIT_MS`. Raises UnreadableWaitError for several values, and for one that is no
    plain decimal number, such as a date.
    """
    if not values:
        return None
    if len(values) > 1:
        raise UnreadableWaitError("the field occurs more than once")
    text = values[0].strip()
    if _DECIMAL.fullmatch(text) is None:
        raise UnreadableWaitError("the value is not a decimal number")
    return min(MAX_WAIT_MS, round(float(text) * MS_PER_S))
