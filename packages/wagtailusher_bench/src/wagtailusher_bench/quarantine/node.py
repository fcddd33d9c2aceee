"""What each way of finding the part offers to the simulated VM that uses it."""

from __future__ import annotations

from collections.abc import Callable, Iterable
import gc
from random import Random
import sys
from types import BuiltinFunctionType, FunctionType, ModuleType
from typing import Protocol

from wagtailusher_bench.quarantine.links import Links
from wagtailusher_quarantine import QuarantineSummary, Suspect

_SHARED_TYPES = (type, ModuleType, FunctionType, BuiltinFunctionType)


class Node(Protocol):
    """One VM's part of a way."""

    @property
    def state(self) -> object:
        """Return what the VM keeps in memory."""

    def admit(self, prints: tuple[str, ...], now_ms: int, then: Callable[[bool], None]) -> None:
        """Tell whether a request may be sent, maybe later."""

    def record_crash(self, suspects: Iterable[Suspect], endpoint_id: str, now_ms: int) -> None:
        """Record the requests of this VM that were in flight at a crash."""

    def record_complete(self, prints: tuple[str, ...], now_ms: int) -> None:
        """Record a complete answer."""

    def receive(self, sender: str, summary: QuarantineSummary, now_ms: int) -> None:
        """Merge a datagram."""

    def greet(self, vm_id: str, now_ms: int) -> None:
        """Tell a new VM what is known."""

    def tick(self, now_ms: int) -> None:
        """Spread what peers may not know."""


NodeFactory = Callable[[str, Links, Random], Node]


def sample(rng: Random, items: list[str], count: int) -> list[str]:
    """Return at most some of the items."""
    return rng.sample(items, min(count, len(items)))


def size_bytes(root: object) -> int:
    """Return the memory of an object and all that it refers to."""
    seen = {id(root)}
    queue = [root]
    total = 0
    while queue:
        item = queue.pop()
        total += sys.getsizeof(item)
        for child in gc.get_referents(item):
            if id(child) not in seen and not isinstance(child, _SHARED_TYPES):
                seen.add(id(child))
                queue.append(child)
    return total
