"""Keeps independent steps of periodic work or of a stop from ending each other."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
import logging

_LOGGER = logging.getLogger(__name__)


@contextmanager
def isolated(step: str) -> Iterator[None]:
    """Log an unexpected error of a step, so that the ones behind it go ahead."""
    try:
        yield
    except Exception:
        _LOGGER.exception("Step failed: %s", step, extra={"event": "step_failed", "step": step})


def run_steps(now_ms: int, *steps: Callable[[int], None]) -> None:
    """Run the steps one after the other, each of them whatever becomes of the others."""
    for step in steps:
        with isolated(getattr(step, "__qualname__", repr(step))):
            step(now_ms)
