"""Rendezvous hashing: all nodes with the same candidates choose the same one."""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def rank_by_rendezvous(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by descending weight; ties are ordered by name."""
    return sorted(candidates, key=lambda candidate: (-_hash_weight(key, candidate), candidate))


def first_by_rendezvous(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest weight, or None without candidates."""
    return min(
        candidates,
        key=lambda candidate: (-_hash_weight(key, candidate), candidate),
        default=None,
    )


def _hash_weight(key: str, candidate: str) -> int:
    """Return the hash of a key and a candidate, used as the candidate's weight."""
    return xxh3_64_intdigest(f"{key}\0{candidate}".encode())
