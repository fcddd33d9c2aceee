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
        self._watches: dict[int, tuple[Revision, Answer]] = {}
        self._count = 0
        self.revision = Revision(number=1)
        self.content = b"first"
        self.is_up = True
        self.calls = 0
        self.calls_by_second: Counter[int] = Counter()

    def publish(self, revision: Revision, content: bytes) -> None:
        """Serve another configuration and tell those who wait."""
        self.revision, self.content = revision, content
        waiting, self._watches = self._watches, {}
        for _, answer in waiting.values():
            self._reply(answer)

    def read(self, since: Revision, answer: Answer, failed: Callable[[], None]) -> None:
        """Answer at once where the revision isn't this one, or else wait for a change."""
        self.calls += 1
        self.calls_by_second[self._network.now_ms // 1_000] += 1
        if not self.is_up:
            self._network.at(self._network.now_ms + _READ_MS, failed)
        elif since != self.revision:
            self._reply(answer)
        else:
            self._watch(since, answer)

    def _reply(self, answer: Answer) -> None:
        """Answer after the time of a read."""
        revision, content = self.revision, self.content
        self._network.at(self._network.now_ms + _READ_MS, lambda: answer(revision, content))

    def _watch(self, since: Revision, answer: Answer) -> None:
        """Keep a watch for a bounded time."""
        self._count += 1
        number = self._count
        self._watches[number] = (since, answer)

        def end() -> None:
            if self._watches.pop(number, None) is not None:
                answer(None, b"")

        self._network.at(self._network.now_ms + _WATCH_MS, end)
