"""Measures time and memory of settings; prints one JSON object per number of workspaces."""

from __future__ import annotations

from collections.abc import Callable, Iterator
import gc
from hashlib import sha256
import json
import sys
from time import perf_counter
import tracemalloc
from typing import Any, Final

import yaml

from wagtailusher_core import WorkspaceId
from wagtailusher_settings.canonical import canonical_bytes
from wagtailusher_settings.chunks import split_document
from wagtailusher_settings.parse import parse_settings
from wagtailusher_settings.settings import Settings

WORKSPACE_COUNTS: Final = (47, 470, 4_700)
RESOLUTION_COUNT: Final = 20_000


def build_document(workspace_count: int, revision: int = 1) -> dict[str, Any]:
    """Return a document whose workspaces have an API key, four routes and overrides each."""
    routes = {
        f"chat-{index}": {
            "models": ["small", "large"],
            "default_class": "advice",
            "classes": {"advice": {"tier": 2}, "review": {"tier": 1}, "lookup": {"tier": 5}},
        }
        for index in range(3)
    }
    desk = {"service": "desk", "classes": {"booking": {"tier": 0, "repeatable": False}}}
    workspaces = {
        f"workspace-{index:05d}": _build_workspace(index) for index in range(workspace_count)
    }
    fleet = {"routes": {**routes, "bookings": desk}}
    return {"epoch": 0, "revision": revision, "fleet": fleet, "workspaces": workspaces}


def _build_workspace(index: int) -> dict[str, Any]:
    """Return a workspace that overrides one route and one class in it."""
    route_override = {
        "models": ["small"],
        "classes": {"advice": {"first_token_target_ms": 900 + index % 7}},
    }
    digest = sha256(str(index).encode()).hexdigest()
    return {
        "api_key_sha256": [digest],
        "weight": 1.0 + index % 3,
        "routes": {"chat-0": route_override},
    }


def measure(workspace_count: int) -> dict[str, float | int]:
    """Return the measurements for one number of workspaces."""
    document = build_document(workspace_count)
    content = canonical_bytes(json.dumps(document).encode())
    text = yaml.dump(document, Dumper=yaml.CSafeDumper).encode()
    document["revision"] = 2
    document["workspaces"]["workspace-00000"]["weight"] = 9.0
    changed = canonical_bytes(json.dumps(document).encode())
    settings, json_s = _time(lambda: parse_settings(content))
    _, yaml_s = _time(lambda: parse_settings(text))
    _, next_s = _time(lambda: parse_settings(changed, previous=settings))
    document["fleet"]["tier"] = 4
    root_changed = canonical_bytes(json.dumps(document).encode())
    _, root_s = _time(lambda: parse_settings(root_changed, previous=settings))
    _, canonical_s = _time(lambda: canonical_bytes(text))
    return {
        "workspaces": workspace_count,
        "document_bytes": len(content),
        "parse_json_s": round(json_s, 4),
        "parse_yaml_s": round(yaml_s, 4),
        "parse_next_revision_s": round(next_s, 4),
        "parse_root_change_s": round(root_s, 4),
        "canonical_from_yaml_s": round(canonical_s, 4),
        "chunks": len(split_document(content).chunks),
        **_measure_resolution(settings, workspace_count),
        **_measure_memory(content, changed),
    }


def _measure_resolution(settings: Settings, workspace_count: int) -> dict[str, float]:
    """Return the time of an uncached and of a cached resolution."""
    names = [WorkspaceId(f"workspace-{index:05d}") for index in range(workspace_count)]

    def resolve(count: int) -> None:
        for index in range(count):
            settings.resolve(workspace_id=names[index % workspace_count], route_id="chat-0")

    _, first_s = _time(lambda: resolve(workspace_count))
    _, repeated_s = _time(lambda: resolve(RESOLUTION_COUNT))
    return {
        "resolve_first_us": round(first_s / workspace_count * 1e6, 2),
        "resolve_cached_us": round(repeated_s / RESOLUTION_COUNT * 1e6, 2),
    }


def _measure_memory(content: bytes, changed: bytes) -> dict[str, float]:
    """Return the memory that settings occupy, and the peak while a revision is replaced."""
    gc.collect()
    tracemalloc.start()
    settings = parse_settings(content)
    gc.collect()
    kept, peak_first = tracemalloc.get_traced_memory()
    tracemalloc.reset_peak()
    settings = parse_settings(changed, previous=settings)
    _, peak_next = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "kept_mb": round(kept / 1e6, 2),
        "peak_first_mb": round(peak_first / 1e6, 2),
        "peak_next_mb": round(peak_next / 1e6, 2),
        "revision": settings.revision.number,
    }


def _time(function: Callable[[], Any]) -> tuple[Any, float]:
    """Return a function's result and run time in seconds."""
    gc.collect()
    started = perf_counter()
    result = function()
    return result, perf_counter() - started


def lines() -> Iterator[str]:
    """Yield one JSON object for each number of workspaces."""
    for workspace_count in WORKSPACE_COUNTS:
        yield json.dumps(measure(workspace_count))


if __name__ == "__main__":
    for line in lines():
        sys.stdout.write(line + "\n")
