"""Learned output lengths by class and workspace."""

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
        """Start without samples."""
        self.count = 0
        self.mean = 0.0

    def add(self, value: float) -> None:
        """Take in a sample."""
        self.count += 1
        self.mean += max(LENGTH_WEIGHT, 1 / self.count) * (value - self.mean)

    def shrink_to(self, prior: float) -> float:
        """Return the mean, drawn to a prior while samples are few."""
        weight = self.count / (self.count + LENGTH_PRIOR_SAMPLES)
        return weight * self.mean + (1 - weight) * prior


class LengthEstimator:
    """Expects a request's output tokens from past answers, never from what callers state.

    A workspace's class falls back to the class over all workspaces, and that to a default.
    """

    def __init__(
        self, *, max_keys: int = MAX_LENGTH_KEYS, default: float = DEFAULT_OUTPUT_TOKENS
    ) -> None:
        """Start with the default for everything."""
        self._max_keys = max_keys
        self._default = default
        self._by_key: OrderedDict[ClassKey, _Average] = OrderedDict()
        self._by_class: OrderedDict[ClassId, _Average] = OrderedDict()

    def observe(self, key: ClassKey, output_tokens: int, *, whole: bool = True) -> None:
        """Take in an answer's length; of a broken one only that it was at least so long."""
        if not whole and output_tokens <= self.expected(key):
            return
        self._average(self._by_class, key.class_id).add(output_tokens)
        self._average(self._by_key, key).add(output_tokens)

    def expected(self, key: ClassKey) -> float:
        """Return the expected output tokens of a new request."""
        of_class = self._by_class.get(key.class_id)
        prior = self._default
        if of_class is not None:
            prior = of_class.shrink_to(prior)
        of_key = self._by_key.get(key)
        return prior if of_key is None else of_key.shrink_to(prior)

    def _average(self, table: OrderedDict[KeyT, _Average], key: KeyT) -> _Average:
        """Return a key's average; the one unused for longest makes room."""
        average = table.get(key)
        if average is None:
            average = table[key] = _Average()
            if len(table) > self._max_keys:
                table.popitem(last=False)
        table.move_to_end(key)
        return average
