"""A stand-in for the platform's configuration service, with long polls, outages and stale reads."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from wagtailusher_bench.fleet.network import Network
from wagtailusher_core import Revision

_READ_MS = 5
_WATCH_MS = 10_000

AnswerCallback = Callable[[Revision | None, bytes], None]
"""Receives revision and content; no revision means that a watch ended without a change."""


class ConfigurationService:
    """Serves one configuration to all regions and counts calls.

    Regions in `stale` are served an old configuration, reads from regions in `down` fail.
    """

    def __init__(self, network: Network) -> None:
        self._network = network
        self._watches: dict[int, tuple[int, AnswerCallback]] = {}
        self._watch_count = 0
        self.revision = Revision(number=1)
        self.content = b"first"
        self.stale: dict[int, tuple[Revision, bytes]] = {}
        self.down: set[int] = set()
        self.calls = 0
        self.calls_by_second: Counter[int] = Counter()

    def publish(self, revision: Revision, content: bytes) -> None:
        """Serve another configuration and answer the watches."""
        self.revision, self.content = revision, content
        for number, (region, answer) in list(self._watches.items()):
            if region not in self.stale and region not in self.down:
                del self._watches[number]
                self._reply(region, answer)

    def read(
        self, region: int, since: Revision, answer: AnswerCallback, failed: Callable[[], None]
    ) -> None:
        """Answer at once if the region's revision differs from `since`, or else watch for a change.

        In a region that is down, `failed` is called instead of `answer`.
        """
        self.calls += 1
        self.calls_by_second[self._network.now_ms // 1_000] += 1
        if region in self.down:
            self._network.call_at(self._network.now_ms + _READ_MS, failed)
        elif since != self._served_content(region)[0]:
            self._reply(region, answer)
        else:
            self._watch(region, answer)

    def _served_content(self, region: int) -> tuple[Revision, bytes]:
        """Return the configuration that a region is served; a stale replica serves its old one."""
        return self.stale.get(region, (self.revision, self.content))

    def _reply(self, region: int, answer: AnswerCallback) -> None:
        """Answer after the duration of a read."""
        revision, content = self._served_content(region)
        self._network.call_at(self._network.now_ms + _READ_MS, lambda: answer(revision, content))

    def _watch(self, region: int, answer: AnswerCallback) -> None:
        """Register a watch, which ends without a change after _WATCH_MS."""
        self._watch_count += 1
        number = self._watch_count
        self._watches[number] = (region, answer)

        def end() -> None:
            if self._watches.pop(number, None) is not None:
                answer(None, b"")

        self._network.call_at(self._network.now_ms + _WATCH_MS, end)
