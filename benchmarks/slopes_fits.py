"""Least-squares lines through measurements, with the spread over repetitions."""

import collections.abc
import dataclasses
import statistics

__all__ = ["FittedSeries", "Line", "fit", "fit_series", "quantile"]

Point = tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line.

    Parameters
    ----------
    slope
        Change of the value per unit of size.
    intercept
        Value at size 0.
    """

    slope: float
    intercept: float


@dataclasses.dataclass(frozen=True, slots=True)
class FittedSeries:
    """One quantity that was measured at several sizes.

    Parameters
    ----------
    unit
        Unit of the values.
    per
        What the sizes count.
    sizes
        The measured sizes, ascending.
    medians
        Median value at each size.
    spread
        Minimum and maximum value at each size.
    slope, intercept
        Slope and intercept of the line through the values of all repetitions.
    slope_spread
        Minimum and maximum slope of the lines through single repetitions.
    """

    unit: str
    per: str
    sizes: list[float]
    medians: list[float]
    spread: list[list[float]]
    slope: float
    intercept: float
    slope_spread: list[float]

    def data(self) -> dict:
        """Return the fields as JSON data with five significant digits."""
        return _rounded(dataclasses.asdict(self))


def fit(points: collections.abc.Sequence[Point]) -> Line:
    """Return the least-squares line through points.

    Parameters
    ----------
    points
        Pairs of size and value, with at least two different sizes.
    """
    sizes, values = zip(*points, strict=True)
    line = statistics.linear_regression(sizes, values)
    return Line(line.slope, line.intercept)


def fit_series(
    unit: str, per: str, rounds: collections.abc.Sequence[dict[float, float]]
) -> FittedSeries:
    """Return the summary of repeated measurements.

    Parameters
    ----------
    unit
        Unit of the values.
    per
        What the sizes count.
    rounds
        Value by size for each repetition.
    """
    sizes = sorted(rounds[0])
    columns = [[values[size] for values in rounds] for size in sizes]
    whole = fit([point for values in rounds for point in values.items()])
    slopes = [fit(list(values.items())).slope for values in rounds]
    return FittedSeries(
        unit=unit,
        per=per,
        sizes=sizes,
        medians=[statistics.median(column) for column in columns],
        spread=[[min(column), max(column)] for column in columns],
        slope=whole.slope,
        intercept=whole.intercept,
        slope_spread=[min(slopes), max(slopes)],
    )


def quantile(values: collections.abc.Iterable[float], q: float) -> float:
    """Return a quantile by the nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


def _rounded(value):
    if isinstance(value, float):
        return float(f"{value:.5g}")
    if isinstance(value, list):
        return [_rounded(item) for item in value]
    if isinstance(value, dict):
        return {key: _rounded(item) for key, item in value.items()}
    return value
