"""Reports: one self-contained HTML page with plots of a run or of measured decisions."""

from __future__ import annotations

from wagtailusher_bench.report.errors import ReportError
from wagtailusher_bench.report.page import render_page
from wagtailusher_bench.report.reading import (
    CaseRow,
    Mark,
    RequestRow,
    Run,
    read_cases,
    read_run,
)

__all__ = [
    "CaseRow",
    "Mark",
    "ReportError",
    "RequestRow",
    "Run",
    "read_cases",
    "read_run",
    "render_page",
]
