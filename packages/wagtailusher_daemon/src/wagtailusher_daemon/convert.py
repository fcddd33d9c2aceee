"""Converts between data classes with the same fields."""

from __future__ import annotations

from dataclasses import fields
from typing import Any, TypeVar

ConvertedT = TypeVar("ConvertedT")


def convert(message: Any, cls: type[ConvertedT]) -> ConvertedT:
    """Return a message converted to another class with the same fields."""
    return cls(**{field.name: getattr(message, field.name) for field in fields(message)})
