"""Selects the engines whose load this VM polls, and caches their latest reports."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from wagtailusher_core import EndpointId, VmId
from wagtailusher_daemon.const import LOAD_REPORT_MAX_AGE_MS
from wagtailusher_placement import EndpointInfo, LoadReport


class LoadReportCache:
    """Caches load reports; a steward polls its engines and sends reports along with lease grants.

    Other VMs poll an engine only when they got no report for LOAD_REPORT_MAX_AGE_MS.
    """

    def __init__(self, vm_id: VmId) -> None:
        self._vm_id = vm_id
        self._latest: dict[EndpointId, LoadReport] = {}
        self._updated_ms: dict[EndpointId, int] = {}

    def engines_to_poll(
        self,
        engines: Iterable[EndpointInfo],
        stewards: Mapping[EndpointId, VmId | None],
        now_ms: int,
    ) -> Iterator[EndpointInfo]:
        """Yield the engines to poll now, those that this VM stewards first."""
        others = []
        for info in engines:
            if stewards.get(info.endpoint_id) == self._vm_id:
                yield info
            elif now_ms - self._updated_ms.get(info.endpoint_id, 0) >= LOAD_REPORT_MAX_AGE_MS:
                others.append(info)
        for info in others:
            self._updated_ms[info.endpoint_id] = now_ms
            yield info

    def record(self, report: LoadReport, now_ms: int) -> None:
        """Store a report unless a later one of the same endpoint is known."""
        previous = self._latest.get(report.endpoint_id)
        if previous is None or previous.reported_at_ms <= report.reported_at_ms:
            self._latest[report.endpoint_id] = report
        self._updated_ms[report.endpoint_id] = now_ms

    def latest(self, endpoint_id: EndpointId) -> LoadReport | None:
        """Return the latest report of an endpoint, or None."""
        return self._latest.get(endpoint_id)

    def retain(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Drop the reports of all but the given endpoints."""
        listed = set(endpoint_ids)
        self._latest = {key: item for key, item in self._latest.items() if key in listed}
        self._updated_ms = {
            key: updated_ms for key, updated_ms in self._updated_ms.items() if key in listed
        }
