"""Parses the JSON lines of demo runs and of measured decisions."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated, Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from wagtailusher_bench.report.errors import ReportError


class RequestRow(BaseModel):
    """Result of one request; `at_ms` counts from the start of the run."""

    model_config = ConfigDict(extra="ignore")

    kind: Literal["request"] = "request"
    at_ms: int
    class_id: str
    result: str
    tokens: int = 0


class Mark(BaseModel):
    """An action on the system during the run, such as a fault."""

    model_config = ConfigDict(extra="ignore")

    kind: Literal["mark"] = "mark"
    at_ms: int
    text: str


class CaseRow(BaseModel):
    """The fields of a measured case that reports use."""

    model_config = ConfigDict(extra="ignore")

    mix: str
    policy: str
    load: float
    fault: str
    goodput: float
    wasted_work_share: float
    attainment_by_class: dict[str, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """The requests of a demo run in order of time, and its marks."""

    requests: tuple[RequestRow, ...]
    marks: tuple[Mark, ...]


RowT = TypeVar("RowT")

_ROW: TypeAdapter[RequestRow | Mark] = TypeAdapter(
    Annotated[RequestRow | Mark, Field(discriminator="kind")]
)
_CASE: TypeAdapter[CaseRow] = TypeAdapter(CaseRow)


def read_run(lines: Iterable[str], name: str) -> Run:
    """Return a demo run; raise ReportError for an invalid row, with its line, or no requests."""
    rows = [_parse(_ROW, line, name, number) for number, line in _numbered(lines)]
    requests = [row for row in rows if isinstance(row, RequestRow)]
    if not requests:
        raise ReportError(f"{name}: no request rows found")
    return Run(
        requests=tuple(sorted(requests, key=lambda row: row.at_ms)),
        marks=tuple(row for row in rows if isinstance(row, Mark)),
    )


def read_cases(lines: Iterable[str], name: str) -> tuple[CaseRow, ...]:
    """Return measured cases; raise ReportError for an invalid one, with its line, or no cases."""
    cases = tuple(_parse(_CASE, line, name, number) for number, line in _numbered(lines))
    if not cases:
        raise ReportError(f"{name}: no cases found")
    return cases


def _numbered(lines: Iterable[str]) -> Iterator[tuple[int, str]]:
    """Yield the lines that are not blank, with their line numbers from 1."""
    for number, line in enumerate(lines, 1):
        if line.strip():
            yield number, line


def _parse(adapter: TypeAdapter[RowT], line: str, name: str, number: int) -> RowT:
    try:
        return adapter.validate_json(line)
    except ValidationError as err:
        problem = err.errors(include_url=False, include_input=False)[0]
        key = ".".join(map(str, problem["loc"])) or "line"
        raise ReportError(f"{name}:{number}: {key}: {problem['msg']}") from err
