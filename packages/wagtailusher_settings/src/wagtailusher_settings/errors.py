"""Errors of settings, with every problem of a document by key and line."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from wagtailusher_core import ErrorCode, WagtailusherError


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One fault of a document; line and column count from 1."""

    key: str
    reason: str
    line: int | None = None
    column: int | None = None

    def __str__(self) -> str:
        position = "" if self.line is None else f"line {self.line}, column {self.column}: "
        return f"{position}{self.key or '(document)'}: {self.reason}"


class SettingsError(WagtailusherError):
    """A document was rejected; `problems` holds every fault found in it."""

    code = ErrorCode.SETTINGS_INVALID

    def __init__(self, problems: Iterable[Problem], *, code: ErrorCode | None = None) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(str(problem) for problem in self.problems), code=code)


class UnknownKeyError(WagtailusherError):
    """The settings have no such workspace, route, class, path or API key."""
