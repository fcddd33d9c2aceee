"""Memory that the deciders keep, against the number of workspaces, endpoints and peers."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
import gc
import json
import pickle
import tracemalloc

from wagtailusher_bench.fleet.membership import Fleet
from wagtailusher_bench.slopes.fit import Point, Slope, fit_line
from wagtailusher_bench.slopes.parts import (
    make_admission,
    make_endpoints,
    make_placement,
    make_steward,
)
from wagtailusher_settings import parse_settings
from wagtailusher_settings.measure import build_document


def measure_memory(
    *,
    workspaces: Sequence[int],
    endpoints: Sequence[int],
    peers: Sequence[int],
    queued: Sequence[int],
) -> Iterator[Slope]:
    """Yield the slopes of memory."""
    yield _line("settings_memory", "workspace", workspaces, _settings_bytes)
    yield _line("admission_memory", "queued request", queued, _admission_bytes)
    yield _line("placement_memory", "endpoint", endpoints, _placement_bytes)
    yield _line("steward_memory", "endpoint", endpoints, _steward_bytes)
    yield _line("member_records_memory", "peer", peers, _member_bytes)
    yield fit_line(
        "settings_document",
        unit="bytes",
        per="workspace",
        points=[Point(size=size, value=len(_document(size))) for size in workspaces],
    )


def traced_bytes(make: Callable[[], object]) -> float:
    """Return the memory that what is made keeps."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def _line(measure: str, per: str, sizes: Sequence[int], bytes_of: Callable[[int], float]) -> Slope:
    """Return one slope of memory."""
    points = [Point(size=size, value=bytes_of(size)) for size in sizes]
    return fit_line(measure, unit="bytes", per=per, points=points)


def _document(workspaces: int) -> bytes:
    """Return a settings document."""
    return json.dumps(build_document(workspaces)).encode()


def _settings_bytes(workspaces: int) -> float:
    """Return the memory of settings."""
    content = _document(workspaces)
    return traced_bytes(lambda: parse_settings(content))


def _admission_bytes(queued: int) -> float:
    """Return the memory of an admission decider with a queue."""
    return traced_bytes(lambda: make_admission(queued))


def _placement_bytes(endpoints: int) -> float:
    """Return the memory of a placement decider."""
    infos = make_endpoints(endpoints)
    return traced_bytes(lambda: make_placement(infos))


def _steward_bytes(endpoints: int) -> float:
    """Return the memory of a steward that alone charges every endpoint."""
    infos = make_endpoints(endpoints)
    return traced_bytes(lambda: make_steward(infos))


def _member_bytes(peers: int) -> float:
    """Return the memory of what one node of a fleet that has met knows of its members."""
    decider = Fleet(peers, seed=1).nodes[0].decider
    packed = pickle.dumps(dict(decider.members()))
    return traced_bytes(lambda: pickle.loads(packed))
