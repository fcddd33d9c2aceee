"""Writes a report from a demonstration's and a measurement's JSON lines."""

from __future__ import annotations

from pathlib import Path
import sys

import defopt

from wagtailusher_bench.report.errors import ReportError
from wagtailusher_bench.report.page import render_page
from wagtailusher_bench.report.reading import read_cases, read_run

EXIT_USAGE = 2


def main(
    *, demo: Path | None = None, decisions: Path | None = None, out: Path = Path("report.html")
) -> None:
    """Write one self-contained HTML page.

    :param demo: JSON lines that script/demo wrote
    :param decisions: JSON lines that script/bench decisions printed
    :param out: the page to write
    """
    try:
        page = make_page(demo, decisions)
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(page, encoding="utf-8")
    except (ReportError, OSError) as err:
        sys.stderr.write(f"report: {err}\n")
        sys.exit(EXIT_USAGE)


def make_page(demo: Path | None, decisions: Path | None) -> str:
    """Return the page; raise ReportError when there is nothing to report on."""
    if demo is None and decisions is None:
        raise ReportError("give --demo, --decisions or both")
    run = None if demo is None else read_run(_lines(demo), demo.name)
    cases = () if decisions is None else read_cases(_lines(decisions), decisions.name)
    return render_page(run, cases)


def _lines(path: Path) -> list[str]:
    """Return a file's lines."""
    return path.read_text(encoding="utf-8").splitlines()


if __name__ == "__main__":
    defopt.run(main)
