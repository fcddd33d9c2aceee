"""Which engines' load this VM polls, and the latest word on each."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from wagtailusher_core import EndpointId, VmId
from wagtailusher_daemon.const import LOAD_NEWS_MS
from wagtailusher_placement import EndpointInfo, LoadReport


class LoadWatch:
    """A steward polls its endpoints and tells the holders of leases with each grant.

    Others poll an engine only when they have heard nothing of it for a while.
    """

    def __init__(self, vm_id: VmId) -> None:
        """Start without reports."""
        self._vm_id = vm_id
        self._latest: dict[EndpointId, LoadReport] = {}
        self._news_at_ms: dict[EndpointId, int] = {}

    def due(
        self,
        engines: Iterable[EndpointInfo],
        stewards: Mapping[EndpointId, VmId | None],
        now_ms: int,
    ) -> Iterator[EndpointInfo]:
        """Yield the engines to poll now, those whose steward this VM is first."""
        others = []
        for info in engines:
            if stewards.get(info.endpoint_id) == self._vm_id:
                yield info
            elif now_ms - self._news_at_ms.get(info.endpoint_id, 0) >= LOAD_NEWS_MS:
                others.append(info)
        for info in others:
            self._news_at_ms[info.endpoint_id] = now_ms
            yield info

    def observe(self, report: LoadReport, now_ms: int) -> None:
        """Keep the latest report of an endpoint."""
        known = self._latest.get(report.endpoint_id)
        if known is None or known.reported_at_ms <= report.reported_at_ms:
            self._latest[report.endpoint_id] = report
        self._news_at_ms[report.endpoint_id] = now_ms

    def latest(self, endpoint_id: EndpointId) -> LoadReport | None:
        """Return the latest report of an endpoint."""
        return self._latest.get(endpoint_id)

    def keep_only(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Forget endpoints that are no longer listed."""
        listed = set(endpoint_ids)
        self._latest = {key: item for key, item in self._latest.items() if key in listed}
        self._news_at_ms = {key: at for key, at in self._news_at_ms.items() if key in listed}
