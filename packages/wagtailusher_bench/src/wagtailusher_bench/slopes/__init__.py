"""Measures how memory, processor time and traffic grow with the size of the fleet."""

from __future__ import annotations

from wagtailusher_bench.slopes.fit import Point, Slope, fit_line

__all__ = ["Point", "Slope", "fit_line"]
