"""Renders plots as SVG text."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from io import StringIO

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from wagtailusher_bench.report.json_lines import CaseRow, Run

BIN_MS = 1_000
MS_PER_S = 1_000
_WIDTH_INCHES = 9.0
_HEIGHT_INCHES = 3.2
_ON_TARGET = "on_target"
_WASTED = frozenset({"broken", "unknown"})


def plot_attainment_over_time(run: Run) -> str:
    """Plot each class's share of requests on target per second, with the run's marks."""
    figure, axes = _new_axes("attainment", "time (s)")
    by_class: defaultdict[str, defaultdict[int, list[bool]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for row in run.requests:
        by_class[row.class_id][row.at_ms // BIN_MS].append(row.result == _ON_TARGET)
    for class_id, bins in sorted(by_class.items()):
        seconds = sorted(bins)
        shares = [sum(bins[second]) / len(bins[second]) for second in seconds]
        axes.plot(seconds, shares, label=class_id, linewidth=1.4)
    axes.set_ylim(-0.02, 1.05)
    _draw_marks(axes, run)
    return _render_svg(figure, axes)


def plot_work_over_time(run: Run) -> str:
    """Plot answers on target and wasted answers per second, with the run's marks."""
    figure, axes = _new_axes("answers per second", "time (s)")
    good: defaultdict[int, int] = defaultdict(int)
    wasted: defaultdict[int, int] = defaultdict(int)
    for row in run.requests:
        second = row.at_ms // BIN_MS
        good[second] += row.result == _ON_TARGET
        wasted[second] += row.result in _WASTED
    seconds = range(max(row.at_ms for row in run.requests) // BIN_MS + 1)
    axes.plot(seconds, [good[second] for second in seconds], label="on target")
    axes.plot(seconds, [wasted[second] for second in seconds], label="wasted")
    _draw_marks(axes, run)
    return _render_svg(figure, axes)


def plot_attainment_by_load(cases: Iterable[CaseRow]) -> str:
    """Plot each class's attainment over load; the cases are of one mix and policy."""
    figure, axes = _new_axes("attainment", "load (times capacity)")
    by_class: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    for case in cases:
        for class_id, share in case.attainment_by_class.items():
            by_class[class_id].append((case.load, share))
    for class_id, points in sorted(by_class.items()):
        ordered = sorted(points)
        loads = [load for load, _ in ordered]
        axes.plot(loads, [share for _, share in ordered], marker="o", label=class_id)
    axes.set_ylim(-0.02, 1.05)
    return _render_svg(figure, axes)


def plot_goodput_by_load(cases: Iterable[CaseRow]) -> str:
    """Plot each policy's goodput over load; the cases are of one mix."""
    figure, axes = _new_axes("goodput (share of capacity)", "load (times capacity)")
    by_policy: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    for case in cases:
        by_policy[case.policy].append((case.load, case.goodput))
    for policy, points in sorted(by_policy.items()):
        ordered = sorted(points)
        loads = [load for load, _ in ordered]
        axes.plot(loads, [goodput for _, goodput in ordered], marker="o", label=policy)
    axes.set_ylim(bottom=-0.02)
    return _render_svg(figure, axes)


def _new_axes(y_label: str, x_label: str) -> tuple[Figure, Axes]:
    figure = Figure(figsize=(_WIDTH_INCHES, _HEIGHT_INCHES), layout="constrained")
    axes = figure.add_subplot()
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.grid(alpha=0.3)
    return figure, axes


def _draw_marks(axes: Axes, run: Run) -> None:
    """Draw a vertical line at each mark, numbered as in the list below the plot."""
    for number, mark in enumerate(run.marks, 1):
        at_s = mark.at_ms / MS_PER_S
        axes.axvline(at_s, color="0.4", linewidth=0.8, linestyle="--")
        axes.annotate(str(number), (at_s, 1.0), xycoords=("data", "axes fraction"), fontsize=8)


def _render_svg(figure: Figure, axes: Axes) -> str:
    """Return a plot as an SVG element without the XML prologue."""
    axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5), fontsize=8)
    stream = StringIO()
    figure.savefig(stream, format="svg", metadata={"Date": None, "Creator": None})
    text = stream.getvalue()
    return text[text.index("<svg") :]
