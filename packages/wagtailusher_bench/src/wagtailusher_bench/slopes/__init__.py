"""Slopes of memory, processor time and bytes against the sizes of the fleet."""

from __future__ import annotations

from wagtailusher_bench.slopes.fit import Point, Slope, fit_line

__all__ = ["Point", "Slope", "fit_line"]
