"""One request's story out of captured logs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
import json
from pathlib import Path
from typing import Any

from wagtailusher_cli.const import EXIT_OK, EXIT_PROBLEM
from wagtailusher_cli.exceptions import UsageError
from wagtailusher_cli.output import write_json, write_line

Line = Mapping[str, Any]

BELIEFS = frozenset({"configuration", "evacuation", "members", "view_pull"})
"""Events that tell what a VM believed, the latest of each of which is shown."""

DEPENDENCIES = frozenset({"dependency_lost", "dependency_regained"})

_HIDDEN = frozenset({"message", "level", "vm", "at_ms", "event", "request", "went_well"})


def story(log: Path, request: str, *, json: bool = False) -> int:
    """Show what became of one request, and what its VM believed at the time.

    :param log: Captured output of the daemons; anything around the JSON of a line is skipped.
    :param request: Identifier of the caller's attempt.
    :param json: Write one JSON object a line instead of text.
    """
    try:
        lines = tuple(read_lines(log.read_text(encoding="utf-8", errors="replace").splitlines()))
    except OSError as err:
        raise UsageError(f"{log}: {err.strerror}") from err
    told = tell(lines, request)
    for line in told:
        if json:
            write_json(dict(line))
        else:
            write_line(format_line(line))
    if not told:
        write_line(f"{request} is not in {log}; its line may have been dropped (dropped_before)")
    return EXIT_OK if told else EXIT_PROBLEM


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the JSON objects of log lines, whatever stands before them."""
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


def tell(lines: Iterable[Line], request: str) -> list[Line]:
    """Return the lines of a request, after those that say what its VM believed."""
    known: dict[tuple[str, ...], Line] = {}
    beliefs: dict[str, dict[tuple[str, ...], Line]] = {}
    own: list[Line] = []
    for line in lines:
        if line.get("request") == request:
            own.append(line)
            known = beliefs.setdefault(str(line["vm"]), {})
        elif not own and (key := _belief_key(line)) is not None:
            beliefs.setdefault(str(line["vm"]), {})[key] = line
    if not own:
        return []
    endpoints = {str(line.get("endpoint")) for line in own}
    shown = [line for key, line in known.items() if key[0] != "endpoint" or key[1] in endpoints]
    return sorted([*shown, *own], key=lambda line: int(line.get("at_ms", 0)))


def _belief_key(line: Line) -> tuple[str, ...] | None:
    """Return what a line is about, so that a later one replaces it."""
    event = str(line["event"])
    if event == "endpoint":
        return event, str(line.get("endpoint"))
    if event in DEPENDENCIES:
        return "dependency", str(line.get("dependency"))
    return (event,) if event in BELIEFS else None


def format_line(line: Line) -> str:
    """Return a line for people."""
    details = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _HIDDEN and value != ""
    )
    return f"{line.get('at_ms')} {line.get('vm')} {line.get('message')} [{details}]"
