"""Retries and hedges from budgets, so that failures don't multiply the load."""

from __future__ import annotations

from wagtailusher_placement.const import (
    DEFAULT_HEDGE_QUANTILE,
    DEFAULT_HEDGE_SHARE,
    DEFAULT_RETRY_BURST,
    DEFAULT_RETRY_SHARE,
)


class RetryBudget:
    """Allows retries as a share of first attempts, with a bounded burst."""

    def __init__(
        self, *, share: float = DEFAULT_RETRY_SHARE, burst: float = DEFAULT_RETRY_BURST
    ) -> None:
        """Start with a whole burst."""
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Return how many retries are left."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Earn a part of a retry."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Spend a retry, or return False when the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _Quantile:
    """A streaming estimate of one quantile by steps that shrink to a share of its value."""

    __slots__ = ("_quantile", "count", "value")

    def __init__(self, quantile: float) -> None:
        """Start without samples."""
        self._quantile = quantile
        self.count = 0
        self.value = 0.0

    def add(self, sample: float) -> None:
        """Move the estimate towards the quantile."""
        self.count += 1
        if self.count == 1:
            self.value = sample
            return
        step = max(1.0, self.value) * max(0.02, 1 / self.count)
        if sample > self.value:
            self.value += step * self._quantile
        else:
            self.value -= step * (1 - self._quantile)


class HedgePolicy:
    """Says when a second attempt beside a slow first one is worth its work.

    Only work that may be repeated is hedged, once, after a high quantile of first-token times,
    and out of a budget. The tokens that lost attempts produced are counted.
    """

    def __init__(
        self, *, share: float = DEFAULT_HEDGE_SHARE, quantile: float = DEFAULT_HEDGE_QUANTILE
    ) -> None:
        """Start without knowledge of first-token times; until then nothing is hedged."""
        self._budget = RetryBudget(share=share, burst=1.0)
        self._first_token_ms = _Quantile(quantile)
        self._min_samples = int(1 / (1 - quantile))
        self.wasted_tokens = 0

    def first_attempt(self) -> None:
        """Note a first attempt, which earns a part of a hedge."""
        self._budget.record_first_attempt()

    def observe_first_token(self, elapsed_ms: int) -> None:
        """Take in how long a first token took."""
        self._first_token_ms.add(float(elapsed_ms))

    def hedge_after_ms(self, *, repeatable: bool) -> int | None:
        """Return how long to wait for a first token before asking `take`, or None for never."""
        if not repeatable or self._first_token_ms.count < self._min_samples:
            return None
        return max(1, round(self._first_token_ms.value))

    def take(self, *, repeatable: bool, waited_ms: int, hedges: int = 0) -> bool:
        """Spend a hedge on a request, or return False."""
        after_ms = self.hedge_after_ms(repeatable=repeatable)
        if after_ms is None or hedges > 0 or waited_ms < after_ms:
            return False
        return self._budget.try_spend()

    def lost(self, output_tokens: int) -> None:
        """Count the output of the attempt that was not used."""
        self.wasted_tokens += output_tokens
