"""Extracts one request's events from captured logs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
import json
from pathlib import Path
from typing import Any

from wagtailusher_cli.const import EXIT_OK, EXIT_PROBLEM
from wagtailusher_cli.exceptions import UsageError
from wagtailusher_cli.output import write_json, write_line

Line = Mapping[str, Any]

STATE_EVENTS = frozenset({"configuration", "evacuation", "members", "view_pull"})
"""Events that report a VM's state; the latest of each before the request is shown."""

DEPENDENCY_EVENTS = frozenset({"dependency_lost", "dependency_regained"})

QUARANTINE_EVENTS = frozenset({"quarantined", "released"})
"""Events about a fingerprint that crashes endpoints; shown for requests that it refused."""

LIVENESS_EVENTS = frozenset({"endpoint_suspected", "endpoint_unresponsive", "endpoint_responsive"})
"""Events about an endpoint that falls silent; shown for requests that it got."""

LIMIT_EVENT = "endpoint_limit"
"""Event about the limit that an endpoint names; shown for requests that it got."""

_HIDDEN = frozenset({"message", "level", "vm", "at_ms", "event", "request", "went_well"})


def story(log: Path, request: str, *, json: bool = False) -> int:
    """Show the events of one request, and the last known state of its VM.

    :param log: Captured output of the daemons; anything around the JSON of a line is skipped.
    :param request: Identifier of the caller's attempt.
    :param json: Write one JSON object a line instead of text.
    """
    try:
        lines = tuple(read_lines(log.read_text(encoding="utf-8", errors="replace").splitlines()))
    except OSError as err:
        raise UsageError(f"{log}: {err.strerror}") from err
    selected = select_lines(lines, request)
    for line in selected:
        if json:
            write_json(dict(line))
        else:
            write_line(format_line(line))
    if not selected:
        write_line(f"{request} is not in {log}; its line may have been dropped (dropped_before)")
    return EXIT_OK if selected else EXIT_PROBLEM


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the JSON objects of log lines; text before an object is skipped."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            value = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(value, dict) and "event" in value and "vm" in value:
            yield value


def select_lines(lines: Iterable[Line], request: str) -> list[Line]:
    """Return a request's lines and the last state lines of its VM before them, by time."""
    vm_states: dict[tuple[str, ...], Line] = {}
    states_by_vm: dict[str, dict[tuple[str, ...], Line]] = {}
    request_lines: list[Line] = []
    for line in lines:
        if line.get("request") == request:
            request_lines.append(line)
            vm_states = states_by_vm.setdefault(str(line["vm"]), {})
        elif not request_lines and (key := _state_key(line)) is not None:
            states_by_vm.setdefault(str(line["vm"]), {})[key] = line
    if not request_lines:
        return []
    state_lines = [line for key, line in vm_states.items() if _concerns(key, request_lines)]
    return sorted([*state_lines, *request_lines], key=lambda line: int(line.get("at_ms", 0)))


def _concerns(key: tuple[str, ...], request_lines: Iterable[Line]) -> bool:
    """Return whether a state line concerns one request: its endpoints, and what refused it."""
    fields = dict.fromkeys(("endpoint", "liveness", LIMIT_EVENT), "endpoint")
    field = (fields | {"quarantine": "quarantined"}).get(key[0])
    return field is None or key[1] in {str(line.get(field)) for line in request_lines}


def _state_key(line: Line) -> tuple[str, ...] | None:
    """Return the key under which a later state line replaces this one, None for others."""
    event = str(line["event"])
    if event in ("endpoint", LIMIT_EVENT):
        return event, str(line.get("endpoint"))
    if event in LIVENESS_EVENTS:
        return "liveness", str(line.get("endpoint"))
    if event in QUARANTINE_EVENTS:
        return "quarantine", str(line.get("fingerprint"))
    if event in DEPENDENCY_EVENTS:
        return "dependency", str(line.get("dependency"))
    return (event,) if event in STATE_EVENTS else None


def format_line(line: Line) -> str:
    """Return a line as text."""
    details = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _HIDDEN and value != ""
    )
    return f"{line.get('at_ms')} {line.get('vm')} {line.get('message')} [{details}]"
