"""Reports as one self-contained HTML page with plots of a demo run or of measured decisions."""

from __future__ import annotations

from wagtailusher_bench.report.errors import ReportError
from wagtailusher_bench.report.json_lines import (
    CaseRow,
    Mark,
    RequestRow,
    Run,
    read_cases,
    read_run,
)
from wagtailusher_bench.report.page import render_page

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
