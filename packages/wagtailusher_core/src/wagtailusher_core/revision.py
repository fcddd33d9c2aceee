"""Revisions of configurations."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Revision:
    """Position of a configuration, or of a state of the platform, in their order, by epoch first.

    A person raises the epoch of configurations. That of the platform's state rises when its store
    comes back from an older copy and counts its changes from there.
    """

    epoch: int = 0
    number: int = 0

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number}"
