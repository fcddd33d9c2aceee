"""Fits a straight line to measured points."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

MIN_SIZES = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Point:
    """A measured value at one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """A line fitted to points.

    `fit_error` is the root mean square of the residuals divided by the largest absolute value.
    """

    measure: str
    unit: str
    per: str
    slope: float
    intercept: float
    fit_error: float
    sizes: tuple[float, ...]
    values: tuple[float, ...]


def fit_line(measure: str, *, unit: str, per: str, points: Sequence[Point]) -> Slope:
    """Return the least squares line; raise ValueError for fewer than MIN_SIZES distinct sizes."""
    if len({point.size for point in points}) < MIN_SIZES:
        raise ValueError(f"{measure}: a slope needs at least {MIN_SIZES} distinct sizes")
    sizes = np.array([point.size for point in points], dtype=float)
    values = np.array([point.value for point in points], dtype=float)
    slope, intercept = np.polyfit(sizes, values, 1)
    residuals = values - (slope * sizes + intercept)
    largest = float(np.max(np.abs(values))) or 1.0
    error = float(np.sqrt(np.mean(residuals**2))) / largest
    return Slope(
        measure=measure,
        unit=unit,
        per=per,
        slope=round(float(slope), 4),
        intercept=round(float(intercept), 4),
        fit_error=round(error, 4),
        sizes=tuple(point.size for point in points),
        values=tuple(round(point.value, 4) for point in points),
    )
