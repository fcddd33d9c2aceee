"""A stand-in for the platform's configuration service: it is read, watched, late or stale."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from wagtailusher_bench.fleet.network import Network
from wagtailusher_core import Revision

_READ_MS = 5
_WATCH_MS = 10_000

Answer = Callable[[Revision | None, bytes], None]
"""Takes the content in; no revision means that a watch ended without a change."""


class ConfigurationService:
    """Serves one configuration and counts calls."""

    def __init__(self, network: Network) -> None:
        """Start with an empty configuration."""
        self._network = network
        self._watches: dict[int, tuple[int, Answer]] = {}
        self._count = 0
        self.revision = Revision(number=1)
        self.content = b"first"
        self.stale: dict[int, tuple[Revision, bytes]] = {}
        self.down: set[int] = set()
        self.calls = 0
        self.calls_by_second: Counter[int] = Counter()

    def publish(self, revision: Revision, content: bytes) -> None:
        """Serve another configuration and tell those who wait."""
        self.revision, self.content = revision, content
        for number, (region, answer) in list(self._watches.items()):
            if region not in self.stale and region not in self.down:
                del self._watches[number]
                self._reply(region, answer)

    def read(
        self, region: int, since: Revision, answer: Answer, failed: Callable[[], None]
    ) -> None:
        """Answer at once where the revision isn't this one, or else wait for a change."""
        self.calls += 1
        self.calls_by_second[self._network.now_ms // 1_000] += 1
        if region in self.down:
            self._network.at(self._network.now_ms + _READ_MS, failed)
        elif since != self._served(region)[0]:
            self._reply(region, answer)
        else:
            self._watch(region, answer)

    def _served(self, region: int) -> tuple[Revision, bytes]:
        """Return what a region is served; a stale replica serves what it last saw."""
        return self.stale.get(region, (self.revision, self.content))

    def _reply(self, region: int, answer: Answer) -> None:
        """Answer after the time of a read."""
        revision, content = self._served(region)
        self._network.at(self._network.now_ms + _READ_MS, lambda: answer(revision, content))

    def _watch(self, region: int, answer: Answer) -> None:
        """Keep a watch for a bounded time."""
        self._count += 1
        number = self._count
        self._watches[number] = (region, answer)

        def end() -> None:
            if self._watches.pop(number, None) is not None:
                answer(None, b"")

        self._network.at(self._network.now_ms + _WATCH_MS, end)
