"""Decorator for synchronous functions that are safe to call in the event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

CallableT = TypeVar("CallableT", bound=Callable[..., Any])


def callback(func: CallableT) -> CallableT:
    """Mark a function that neither blocks nor awaits."""
    func.__dict__["is_callback"] = True
    return func
