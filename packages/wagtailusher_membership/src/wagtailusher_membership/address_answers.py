"""Which entry VMs a caller is told to use."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random

from wagtailusher_core import FailureDomainId, VmId


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


def draw_addresses(
    candidates: Iterable[WeighedAddress], count: int, near: FailureDomainId, rng: Random
) -> tuple[AddressChoice, ...]:
    """Return different addresses drawn by weight, near ones first."""
    drawn = list(_draw(list(candidates), count, rng))
    drawn.sort(key=lambda choice: choice.failure_domain_id != near)
    return tuple(drawn)


def _draw(candidates: list[WeighedAddress], count: int, rng: Random) -> Iterator[AddressChoice]:
    """Yield choices without putting them back; the smallest of exponential draws wins."""
    keyed = [
        (rng.expovariate(candidate.weight) if candidate.weight > 0 else float("inf"), index)
        for index, candidate in enumerate(candidates)
    ]
    rng.shuffle(keyed)
    keyed.sort(key=lambda pair: pair[0])
    for _, index in keyed[:count]:
        yield candidates[index].choice
