"""Budgets of retries and hedged requests, so that failures don't multiply the load."""

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
        """Start with a full burst; `share` is the retries earned by each first attempt."""
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Return the retries that remain; the value may be fractional."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Spend a retry; return False when the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _Quantile:
    """A streaming estimate of one quantile by steps that shrink to a share of its value."""

    __slots__ = ("_quantile", "count", "value")

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self.count = 0
        self.value = 0.0

    def add(self, sample: float) -> None:
        """Adjust the estimate by one sample."""
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
    """Decides when to start a hedge: a second attempt in parallel to a slow first one.

    Only a repeatable request is hedged, once, after a high quantile of first-token times and
    within a budget. The output tokens of unused attempts are counted.
    """

    def __init__(
        self, *, share: float = DEFAULT_HEDGE_SHARE, quantile: float = DEFAULT_HEDGE_QUANTILE
    ) -> None:
        """Hedge nothing until there are enough samples of first-token times for the quantile."""
        self._budget = RetryBudget(share=share, burst=1.0)
        self._first_token_ms = _Quantile(quantile)
        self._min_samples = int(1 / (1 - quantile))
        self.wasted_tokens = 0

    def record_first_attempt(self) -> None:
        """Record a first attempt, which earns a share of a hedge."""
        self._budget.record_first_attempt()

    def observe_first_token(self, elapsed_ms: int) -> None:
        """Add a sample of the time to the first token."""
        self._first_token_ms.add(float(elapsed_ms))

    def hedge_after_ms(self, *, repeatable: bool) -> int | None:
        """Return how long to wait for a first token before `try_spend`, or None for never."""
        if not repeatable or self._first_token_ms.count < self._min_samples:
            return None
        return max(1, round(self._first_token_ms.value))

    def try_spend(self, *, repeatable: bool, waited_ms: int, hedges: int = 0) -> bool:
        """Spend a hedge on a request; return False when it may not be hedged now."""
        after_ms = self.hedge_after_ms(repeatable=repeatable)
        if after_ms is None or hedges > 0 or waited_ms < after_ms:
            return False
        return self._budget.try_spend()

    def record_wasted_tokens(self, output_tokens: int) -> None:
        """Add the output tokens of an attempt whose answer was not used."""
        self.wasted_tokens += output_tokens
