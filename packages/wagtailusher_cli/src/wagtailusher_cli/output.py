"""Output as tables and lines, or as JSON."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import asdict, is_dataclass
from enum import Enum
from json import dumps
import sys
from typing import Any

from pydantic import BaseModel
from rich.console import Console
from rich.markup import escape
from rich.table import Table


def write_json(value: Any) -> None:
    """Write one JSON object on one line."""
    sys.stdout.write(dumps(_to_plain(value), default=_to_plain, separators=(",", ":")) + "\n")


def write_line(text: str) -> None:
    """Write one line."""
    Console(highlight=False, soft_wrap=True).print(escape(text))


def write_error(text: str) -> None:
    """Write one line to standard error."""
    sys.stderr.write(text + "\n")


def write_table(title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Write a table; it is as wide as its content where the output is not a terminal."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(escape(format_cell(cell)) for cell in row))
    console = Console(highlight=False)
    if not console.is_terminal:
        console = Console(highlight=False, width=200)
    console.print(table)


def format_cell(value: Any) -> str:
    """Return a value as text for a table cell."""
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case Enum():
            return str(value.value)
        case set() | frozenset():
            return ", ".join(sorted(map(str, value)))
        case list() | tuple():
            return ", ".join(map(str, value))
    return str(value)


def _to_plain(value: Any) -> Any:
    """Return a value that JSON can hold."""
    if isinstance(value, BaseModel):
        return value.model_dump(mode="json")
    if is_dataclass(value) and not isinstance(value, type):
        return asdict(value)
    if isinstance(value, set | frozenset):
        return sorted(value)
    if isinstance(value, tuple | list | dict | str | int | float | bool) or value is None:
        return value
    return str(value)
