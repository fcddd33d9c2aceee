"""Revisions of configurations."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Revision:
    """Position of a configuration in their order, by epoch first.

    Only a person raises the epoch.
    """

    epoch: int = 0
    number: int = 0

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number}"
