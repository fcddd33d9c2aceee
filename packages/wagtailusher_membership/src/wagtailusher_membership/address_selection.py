"""Selects the entry VMs whose addresses are returned to a caller."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate, islice
from random import Random

from wagtailusher_core import FailureDomainId, VmId

_DRAWS_PER_ADDRESS = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressChoice:
    """An entry VM that is offered to a caller."""

    vm_id: VmId
    address: str
    failure_domain_id: FailureDomainId


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedAddress:
    """A candidate with its weight; one of weight 0 is only used to fill up an answer."""

    choice: AddressChoice
    weight: float


class AddressTable:
    """A snapshot of the candidates that several answers are drawn from."""

    def __init__(self, candidates: Iterable[WeightedAddress]) -> None:
        ordered = sorted(candidates, key=lambda candidate: -candidate.weight)
        self._choices = [candidate.choice for candidate in ordered]
        self._weighted_count = sum(candidate.weight > 0 for candidate in ordered)
        self._cumulative_weights = list(
            accumulate(candidate.weight for candidate in ordered[: self._weighted_count])
        )

    def draw(
        self, count: int, near_domain: FailureDomainId, rng: Random
    ) -> tuple[AddressChoice, ...]:
        """Return up to count distinct addresses drawn by weight, those in the domain first."""
        drawn: dict[int, None] = {}
        wanted = min(count, self._weighted_count)
        for _ in range(_DRAWS_PER_ADDRESS * count):
            if len(drawn) >= wanted:
                break
            drawn[
                bisect(
                    self._cumulative_weights,
                    rng.random() * self._cumulative_weights[-1],
                    0,
                    self._weighted_count - 1,
                )
            ] = None
        undrawn = (index for index in range(self._weighted_count) if index not in drawn)
        drawn.update(dict.fromkeys(islice(undrawn, wanted - len(drawn))))
        if len(drawn) < count:
            zero_weight = range(self._weighted_count, len(self._choices))
            drawn.update(
                dict.fromkeys(rng.sample(zero_weight, min(len(zero_weight), count - len(drawn))))
            )
        chosen = [self._choices[index] for index in drawn]
        return tuple(sorted(chosen, key=lambda choice: choice.failure_domain_id != near_domain))
