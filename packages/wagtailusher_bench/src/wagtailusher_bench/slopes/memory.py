"""Measures the memory of deciders by number of workspaces, endpoints, peers and requests."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
import gc
import json
import pickle
import tracemalloc

from wagtailusher_bench.fleet.membership import Fleet
from wagtailusher_bench.slopes.deciders import (
    make_admission,
    make_endpoints,
    make_placement,
    make_steward,
)
from wagtailusher_bench.slopes.fit import Point, Slope, fit_line
from wagtailusher_settings import parse_settings
from wagtailusher_settings.measure import build_document


def measure_memory(
    *,
    workspaces: Sequence[int],
    endpoints: Sequence[int],
    peers: Sequence[int],
    queued: Sequence[int],
) -> Iterator[Slope]:
    """Yield the slopes of memory and of the settings document's size."""
    yield _memory_slope("settings_memory", "workspace", workspaces, _settings_bytes)
    yield _memory_slope("admission_memory", "queued request", queued, _admission_bytes)
    yield _memory_slope("placement_memory", "endpoint", endpoints, _placement_bytes)
    yield _memory_slope("steward_memory", "endpoint", endpoints, _steward_bytes)
    yield _memory_slope("member_records_memory", "peer", peers, _member_bytes)
    yield fit_line(
        "settings_document",
        unit="bytes",
        per="workspace",
        points=[Point(size=size, value=len(_settings_document(size))) for size in workspaces],
    )


def retained_bytes(make: Callable[[], object]) -> float:
    """Return the memory in bytes that the object returned by `make` retains."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def _memory_slope(
    measure: str, per: str, sizes: Sequence[int], bytes_of: Callable[[int], float]
) -> Slope:
    points = [Point(size=size, value=bytes_of(size)) for size in sizes]
    return fit_line(measure, unit="bytes", per=per, points=points)


def _settings_document(workspaces: int) -> bytes:
    return json.dumps(build_document(workspaces)).encode()


def _settings_bytes(workspaces: int) -> float:
    """Return the memory of parsed settings."""
    content = _settings_document(workspaces)
    return retained_bytes(lambda: parse_settings(content))


def _admission_bytes(queued: int) -> float:
    """Return the memory of an admission decider with queued requests."""
    return retained_bytes(lambda: make_admission(queued))


def _placement_bytes(endpoints: int) -> float:
    """Return the memory of a placement decider."""
    infos = make_endpoints(endpoints)
    return retained_bytes(lambda: make_placement(infos))


def _steward_bytes(endpoints: int) -> float:
    """Return the memory of a steward of all endpoints."""
    infos = make_endpoints(endpoints)
    return retained_bytes(lambda: make_steward(infos))


def _member_bytes(peers: int) -> float:
    """Return the memory of one node's member records.

    The records are unpickled from a running fleet's node so that only they are traced.
    """
    decider = Fleet(peers, seed=1).nodes[0].decider
    packed = pickle.dumps(dict(decider.members()))
    return retained_bytes(lambda: pickle.loads(packed))
