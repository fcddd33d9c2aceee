"""Rendezvous hashing: every node that knows the same candidates picks the same one."""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def rank_by_rendezvous(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates, best first; ties fall to the lesser name."""
    return sorted(candidates, key=lambda candidate: (-_weigh(key, candidate), candidate))


def first_by_rendezvous(key: str, candidates: Iterable[str]) -> str | None:
    """Return the best candidate, or None when there is none."""
    return min(
        candidates,
        key=lambda candidate: (-_weigh(key, candidate), candidate),
        default=None,
    )


def _weigh(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key."""
    return xxh3_64_intdigest(f"{key}\0{candidate}".encode())
