"""Renders the HTML page that contains the plots."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from html import escape

from wagtailusher_bench.report.json_lines import CaseRow, Run
from wagtailusher_bench.report.plots import (
    plot_attainment_by_load,
    plot_attainment_over_time,
    plot_goodput_by_load,
    plot_work_over_time,
)

_OWN_POLICY = "wagtailusher"
_NO_FAULT = "none"
_STYLE = (
    "body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}"
    "table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .6em;"
    "text-align:right}td:first-child,th:first-child{text-align:left}svg{max-width:100%}"
)


def render_page(run: Run | None, cases: Sequence[CaseRow]) -> str:
    """Return a self-contained HTML page about a demo run, measured cases, or both."""
    parts = ["<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'>"]
    parts.append(f"<title>wagtailusher report</title><style>{_STYLE}</style></head><body>")
    parts.append("<h1>wagtailusher report</h1>")
    if run is not None:
        parts.extend(_run_parts(run))
    for mix in sorted({case.mix for case in cases}):
        parts.extend(_mix_parts(mix, [case for case in cases if case.mix == mix]))
    parts.append("</body></html>")
    return "\n".join(parts)


def _run_parts(run: Run) -> Iterator[str]:
    """Yield the HTML section of a demo run."""
    yield "<h2>A run with real processes</h2><h3>Attainment</h3>"
    yield plot_attainment_over_time(run)
    yield "<h3>Goodput and waste</h3>"
    yield plot_work_over_time(run)
    yield "<ol>"
    for mark in run.marks:
        yield f"<li>{mark.at_ms / 1000:.1f} s: {escape(mark.text)}</li>"
    yield "</ol>"


def _mix_parts(mix: str, cases: list[CaseRow]) -> Iterator[str]:
    """Yield the HTML section of one traffic mix."""
    plain = [case for case in cases if case.fault == _NO_FAULT]
    own = [case for case in plain if case.policy == _OWN_POLICY]
    yield f"<h2>Measured decisions: {escape(mix)}</h2>"
    if own:
        yield "<h3>Attainment by class</h3>"
        yield plot_attainment_by_load(own)
    if plain:
        yield "<h3>Goodput by policy</h3>"
        yield plot_goodput_by_load(plain)
    yield from _table([case for case in cases if case.policy == _OWN_POLICY])


def _table(cases: list[CaseRow]) -> Iterator[str]:
    """Yield an HTML table of the given cases."""
    classes = sorted({class_id for case in cases for class_id in case.attainment_by_class})
    heads = ["fault", "load", "goodput", "wasted", *classes]
    yield "<table><tr>" + "".join(f"<th>{escape(head)}</th>" for head in heads) + "</tr>"
    for case in cases:
        shares = [f"{case.attainment_by_class.get(class_id, 0.0):.1%}" for class_id in classes]
        cells = [escape(case.fault), f"{case.load:g}", f"{case.goodput:.3f}"]
        cells.append(f"{case.wasted_work_share:.1%}")
        yield "<tr>" + "".join(f"<td>{cell}</td>" for cell in [*cells, *shares]) + "</tr>"
    yield "</table>"
