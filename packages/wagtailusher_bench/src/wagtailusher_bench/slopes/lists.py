"""Measures the size and parsing time of the VM list and of a next settings revision."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import asdict
import json
from statistics import median
from time import process_time

from wagtailusher_bench.slopes.deciders import make_endpoints, make_vms
from wagtailusher_bench.slopes.fit import Point, Slope, fit_line
from wagtailusher_integrations.vm_list import parse_vm_list
from wagtailusher_settings import canonical_bytes, parse_settings
from wagtailusher_settings.measure import build_document

REPEATS = 3
US_PER_S = 1_000_000


def measure_lists(*, endpoints: Sequence[int], workspaces: Sequence[int]) -> Iterator[Slope]:
    """Yield the slopes of the list's size, its parsing time, and that of a settings revision."""
    lists = {count: make_list_document(count) for count in endpoints}
    sizes = [Point(size=count, value=len(content)) for count, content in lists.items()]
    yield fit_line("vm_list_document", unit="bytes", per="endpoint", points=sizes)
    parsed = [Point(size=count, value=_parse_us(content)) for count, content in lists.items()]
    yield fit_line("vm_list_parse_cpu", unit="us", per="endpoint", points=parsed)
    revisions = [Point(size=count, value=_next_revision_us(count)) for count in workspaces]
    yield fit_line("settings_next_revision_cpu", unit="us", per="workspace", points=revisions)


def make_list_document(endpoints: int) -> bytes:
    """Return a list in the form that the platform publishes."""
    listed = [
        {**asdict(info), "pool_ids": sorted(info.pool_ids)} for info in make_endpoints(endpoints)
    ]
    value = {
        "version": 1,
        "entry_vms": [asdict(vm) for vm in make_vms()],
        "endpoints": listed,
    }
    return json.dumps(value, separators=(",", ":")).encode()


def _parse_us(content: bytes) -> float:
    """Return the median processor time to parse a list."""
    spent: list[float] = []
    for _ in range(REPEATS):
        started = process_time()
        parse_vm_list(content)
        spent.append((process_time() - started) * US_PER_S)
    return median(spent)


def _next_revision_us(workspaces: int) -> float:
    """Return the median processor time to parse settings in which one workspace changed."""
    document = build_document(workspaces)
    settings = parse_settings(canonical_bytes(json.dumps(document).encode()))
    document["revision"] = 2
    document["workspaces"]["workspace-00000"]["weight"] = 9.0
    changed = canonical_bytes(json.dumps(document).encode())
    spent: list[float] = []
    for _ in range(REPEATS):
        started = process_time()
        parse_settings(changed, previous=settings)
        spent.append((process_time() - started) * US_PER_S)
    return median(spent)
