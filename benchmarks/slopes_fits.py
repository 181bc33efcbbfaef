"""Straight lines through measured points, with the spread over repetitions."""

import collections.abc
import dataclasses
import statistics

__all__ = ["Figure", "Line", "figure", "fit", "quantile"]

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
class Figure:
    """One measured quantity over its sizes.

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
        Least and greatest value at each size.
    slope, intercept
        Of the line through all values.
    slope_spread
        Least and greatest slope of a line through one repetition.
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
        """Return the figure as JSON data with five significant digits."""
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


def figure(
    unit: str, per: str, rounds: collections.abc.Sequence[dict[float, float]]
) -> Figure:
    """Return the figure of repeated measurements.

    Parameters
    ----------
    unit
        Unit of the values.
    per
        What the sizes count.
    rounds
        For each repetition the value at each size.
    """
    sizes = sorted(rounds[0])
    columns = [[values[size] for values in rounds] for size in sizes]
    whole = fit([point for values in rounds for point in values.items()])
    slopes = [fit(list(values.items())).slope for values in rounds]
    return Figure(
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
