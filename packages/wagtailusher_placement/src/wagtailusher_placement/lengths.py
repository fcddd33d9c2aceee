"""Output lengths learned by class and workspace."""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeVar

from wagtailusher_core import ClassId, ClassKey
from wagtailusher_placement.const import (
    DEFAULT_OUTPUT_TOKENS,
    LENGTH_PRIOR_SAMPLES,
    LENGTH_WEIGHT,
    MAX_LENGTH_KEYS,
)

KeyT = TypeVar("KeyT")


class _Average:
    """A mean that turns into an exponentially weighted one as samples grow."""

    __slots__ = ("count", "mean")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0

    def add(self, value: float) -> None:
        """Add a sample."""
        self.count += 1
        self.mean += max(LENGTH_WEIGHT, 1 / self.count) * (value - self.mean)

    def shrink_to(self, prior: float) -> float:
        """Return the mean, weighted with a prior while there are few samples."""
        weight = self.count / (self.count + LENGTH_PRIOR_SAMPLES)
        return weight * self.mean + (1 - weight) * prior


class LengthEstimator:
    """Estimates a request's output tokens from past answers, never from callers' statements.

    The estimate of a workspace's class falls back to the class over all workspaces, and that to
    the default.
    """

    def __init__(
        self, *, max_keys: int = MAX_LENGTH_KEYS, default: float = DEFAULT_OUTPUT_TOKENS
    ) -> None:
        """Estimate `default` before the first answer; keep at most `max_keys` averages a table."""
        self._max_keys = max_keys
        self._default = default
        self._by_key: OrderedDict[ClassKey, _Average] = OrderedDict()
        self._by_class: OrderedDict[ClassId, _Average] = OrderedDict()

    def observe(self, key: ClassKey, output_tokens: int, *, complete: bool = True) -> None:
        """Add an answer's length; an incomplete answer counts only as a lower bound."""
        if not complete and output_tokens <= self.estimate(key):
            return
        self._get_average(self._by_class, key.class_id).add(output_tokens)
        self._get_average(self._by_key, key).add(output_tokens)

    def estimate(self, key: ClassKey) -> float:
        """Return the estimated output tokens of a new request."""
        class_average = self._by_class.get(key.class_id)
        prior = self._default
        if class_average is not None:
            prior = class_average.shrink_to(prior)
        key_average = self._by_key.get(key)
        return prior if key_average is None else key_average.shrink_to(prior)

    def _get_average(self, table: OrderedDict[KeyT, _Average], key: KeyT) -> _Average:
        """Return a key's average; evict the least recently used one when the table is full."""
        average = table.get(key)
        if average is None:
            average = table[key] = _Average()
            if len(table) > self._max_keys:
                table.popitem(last=False)
        table.move_to_end(key)
        return average
