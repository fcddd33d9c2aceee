"""Parses the numbers that endpoints state."""

from __future__ import annotations

from collections.abc import Sequence
import re

from wagtailusher_availability.const import MAX_WAIT_MS, MS_PER_S

_WHOLE = re.compile(r"[0-9]{1,9}", re.ASCII)
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,9})?", re.ASCII)


class UnreadableWaitError(ValueError):
    """The value of a field is not one non-negative number."""


def parse_rejections(values: Sequence[str]) -> int | None:
    """Return the rejections a second that a brittle endpoint names, or None without the field.

    Raises UnreadableWaitError for several values, and for one that is no plain whole number.
    """
    if not values:
        return None
    text = values[0].strip()
    if len(values) > 1 or _WHOLE.fullmatch(text) is None:
        raise UnreadableWaitError("the value is not one whole number")
    return int(text)


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
