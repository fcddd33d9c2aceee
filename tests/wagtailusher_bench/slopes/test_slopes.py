"""Tests of the slopes: the fit on known lines, and small runs of every measurement.

A wrong fit, or a measurement whose work is skipped, would give wrong capacity figures.
"""

from __future__ import annotations

import unittest

from wagtailusher_bench.slopes import Point, fit_line
from wagtailusher_bench.slopes.daemon import (
    async_daemon_setup,
    async_measure_daemon,
    async_measure_streams,
)
from wagtailusher_bench.slopes.lists import measure_lists
from wagtailusher_bench.slopes.memory import measure_memory
from wagtailusher_bench.slopes.wire import measure_wire
from wagtailusher_bench.slopes.work import measure_work


class FitTest(unittest.TestCase):
    """The fit recovers a known line and reports an error for a curve."""

    def test_known_line(self) -> None:
        points = [Point(size=size, value=7 + 3 * size) for size in (1, 5, 20)]
        fitted = fit_line("made", unit="us", per="thing", points=points)
        self.assertAlmostEqual(fitted.slope, 3)
        self.assertAlmostEqual(fitted.intercept, 7)
        self.assertAlmostEqual(fitted.fit_error, 0)

    def test_curve_has_an_error(self) -> None:
        points = [Point(size=size, value=size**2) for size in (1, 5, 20)]
        fitted = fit_line("made", unit="us", per="thing", points=points)
        self.assertGreater(fitted.fit_error, 0.02)

    def test_two_sizes_are_rejected(self) -> None:
        points = [Point(size=1, value=1), Point(size=2, value=2), Point(size=2, value=3)]
        with self.assertRaises(ValueError):
            fit_line("made", unit="us", per="thing", points=points)


class MeasureTest(unittest.IsolatedAsyncioTestCase):
    """Each measurement runs and does its work; most figures are not checked."""

    def test_memory_grows_with_size(self) -> None:
        found = list(
            measure_memory(
                workspaces=(5, 20, 60),
                endpoints=(5, 50, 200),
                peers=(3, 6, 9),
                queued=(10, 50, 200),
            )
        )
        self.assertEqual(len(found), 6)
        for slope in found:
            with self.subTest(measure=slope.measure):
                self.assertGreater(slope.slope, 0)

    def test_every_size_is_measured(self) -> None:
        found = measure_work(
            decisions=(2, 4, 6),
            endpoints=(3, 6, 9),
            renewals=(2, 4, 6),
            nodes=(3, 4, 5),
            content_lines=(10, 20, 30),
        )
        wire = measure_wire(renewals=(2, 4, 6))
        lists = measure_lists(endpoints=(2, 4, 6), workspaces=(2, 4, 6))
        for slope in (*found, *wire, *lists):
            with self.subTest(measure=slope.measure):
                self.assertEqual(len(slope.values), 3)

    async def test_daemon_is_measured(self) -> None:
        slopes = async_measure_daemon(
            streams=(1, 2, 3), requests=(8, 16, 24), endpoints=(1, 2, 3), window_ms=100
        )
        found = {slope.measure: slope async for slope in slopes}
        self.assertEqual(found["request_cpu"].sizes, (8, 16, 24))
        self.assertEqual(len(found), 6)

    async def test_same_chunk_count_is_not_measured_twice(self) -> None:
        async with async_daemon_setup(1) as setup:
            _, cpu = await async_measure_streams(setup, (1, 1, 1, 1), window_ms=20)
        self.assertEqual(len({point.size for point in cpu}), 4)


if __name__ == "__main__":
    unittest.main()
