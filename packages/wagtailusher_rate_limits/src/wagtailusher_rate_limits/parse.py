"""Parses the limit that an endpoint names."""

from __future__ import annotations

from collections.abc import Sequence
import re

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?", re.ASCII)


class UnreadableLimitError(ValueError):
    """The limit is not one non-negative decimal number."""


def parse_limit(values: Sequence[str]) -> float | None:
    """Return the requests a second that the values of a field name, or None without the field.

    Raises UnreadableLimitError for several values, and for one that is no plain decimal number.
    """
    if not values:
        return None
    if len(values) > 1:
        raise UnreadableLimitError("the field occurs more than once")
    text = values[0].strip()
    if _DECIMAL.fullmatch(text) is None:
        raise UnreadableLimitError("the value is not a decimal number")
    return float(text)
