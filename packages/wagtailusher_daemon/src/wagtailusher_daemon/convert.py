"""Converts between data classes with the same fields, and splits what one message can't hold."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import fields
from typing import Any, TypeVar

ConvertedT = TypeVar("ConvertedT")
ItemT = TypeVar("ItemT")


def convert(message: Any, cls: type[ConvertedT]) -> ConvertedT:
    """Return a message converted to another class with the same fields."""
    return cls(**{field.name: getattr(message, field.name) for field in fields(message)})


def batches(items: Sequence[ItemT], size: int) -> Iterator[tuple[ItemT, ...]]:
    """Yield the items in tuples of at most a size."""
    for start in range(0, len(items), size):
        yield tuple(items[start : start + size])
