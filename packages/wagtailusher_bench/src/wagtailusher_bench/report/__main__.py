"""Writes a report from the JSON lines of a demo run and of measured decisions."""

from __future__ import annotations

from pathlib import Path
import sys

import defopt

from wagtailusher_bench.report.errors import ReportError
from wagtailusher_bench.report.json_lines import read_cases, read_run
from wagtailusher_bench.report.page import render_page

EXIT_USAGE = 2


def main(
    *, demo: Path | None = None, decisions: Path | None = None, out: Path = Path("report.html")
) -> None:
    """Write a report as one self-contained HTML page.

    :param demo: JSON lines file written by script/demo
    :param decisions: JSON lines printed by script/bench decisions
    :param out: path of the HTML page to write
    """
    try:
        page = make_page(demo, decisions)
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(page, encoding="utf-8")
    except (ReportError, OSError) as err:
        sys.stderr.write(f"report: {err}\n")
        sys.exit(EXIT_USAGE)


def make_page(demo: Path | None, decisions: Path | None) -> str:
    """Return the HTML page; raise ReportError without an input or with an invalid one."""
    if demo is None and decisions is None:
        raise ReportError("give --demo, --decisions or both")
    run = None if demo is None else read_run(_lines(demo), demo.name)
    cases = () if decisions is None else read_cases(_lines(decisions), decisions.name)
    return render_page(run, cases)


def _lines(path: Path) -> list[str]:
    return path.read_text(encoding="utf-8").splitlines()


if __name__ == "__main__":
    defopt.run(main)
