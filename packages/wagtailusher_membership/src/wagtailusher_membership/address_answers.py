"""Which entry VMs a caller is told to use."""

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
    """An entry VM for a caller."""

    vm_id: VmId
    address: str
    failure_domain_id: FailureDomainId


@dataclass(frozen=True, slots=True, kw_only=True)
class WeighedAddress:
    """A candidate with its weight; those without any are the last resort."""

    choice: AddressChoice
    weight: float


class AddressTable:
    """Candidates as of one moment, to draw several answers from."""

    def __init__(self, candidates: Iterable[WeighedAddress]) -> None:
        """Take the candidates in."""
        ordered = sorted(candidates, key=lambda candidate: -candidate.weight)
        self._choices = [candidate.choice for candidate in ordered]
        self._drawable = sum(candidate.weight > 0 for candidate in ordered)
        self._sums = list(accumulate(candidate.weight for candidate in ordered[: self._drawable]))

    def draw(self, count: int, near: FailureDomainId, rng: Random) -> tuple[AddressChoice, ...]:
        """Return different addresses drawn by weight, near ones first."""
        drawn: dict[int, None] = {}
        wanted = min(count, self._drawable)
        for _ in range(_DRAWS_PER_ADDRESS * count):
            if len(drawn) >= wanted:
                break
            drawn[bisect(self._sums, rng.random() * self._sums[-1], 0, self._drawable - 1)] = None
        heaviest = (index for index in range(self._drawable) if index not in drawn)
        drawn.update(dict.fromkeys(islice(heaviest, wanted - len(drawn))))
        if len(drawn) < count:
            full = range(self._drawable, len(self._choices))
            drawn.update(dict.fromkeys(rng.sample(full, min(len(full), count - len(drawn)))))
        chosen = [self._choices[index] for index in drawn]
        return tuple(sorted(chosen, key=lambda choice: choice.failure_domain_id != near))
