"""Counters, gauges and histograms of the entry role, kept as plain numbers.

The library prometheus_client takes about 4 MB of memory, which is much for a page that
is fetched only now and then. The entry therefore keeps plain numbers, and imports the
library when the metrics are first fetched.
"""

import bisect
import collections.abc
import enum
import typing

__all__ = ["Family", "Histogram", "Kind", "Number", "exposition"]


class Kind(enum.Enum):
    """Types of metrics."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Number:
    """A counter or a gauge."""

    __slots__ = ("value",)

    def __init__(self):
        self.value = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount."""
        self.value += amount

    def dec(self, amount: float = 1.0) -> None:
        """Subtract an amount."""
        self.value -= amount

    def set(self, value: float) -> None:
        """Set a new value."""
        self.value = float(value)


class Histogram:
    """Observations counted in buckets; O(log n) for n buckets.

    Parameters
    ----------
    bounds
        Upper bounds of the buckets, ascending.
    """

    __slots__ = ("_bounds", "_counts", "_sum")

    def __init__(self, bounds: collections.abc.Sequence[float]):
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)
        self._sum = 0.0

    def observe(self, value: float) -> None:
        """Add an observation to its bucket and to the sum."""
        self._counts[bisect.bisect_left(self._bounds, value)] += 1
        self._sum += value

    @property
    def sum(self) -> float:
        """Sum of the observations."""
        return self._sum

    def buckets(self) -> list[tuple[str, float]]:
        """Return each upper bound with the number of observations up to the bound."""
        found, total = [], 0
        names = [*(str(float(bound)) for bound in self._bounds), "+Inf"]
        for name, count in zip(names, self._counts, strict=True):
            total += count
            found.append((name, float(total)))
        return found


class Family:
    """Metrics of the same name, one for each combination of label values.

    Parameters
    ----------
    kind
        Type of the metrics.
    name, help_text
        Name and help text, as written to the metrics page.
    label_names
        Names of the labels.
    bounds
        Upper bounds of the buckets of a histogram.
    """

    def __init__(
        self,
        kind: Kind,
        name: str,
        help_text: str,
        label_names: collections.abc.Sequence[str] = (),
        bounds: collections.abc.Sequence[float] = (),
    ):
        self.name = name
        self._kind = kind
        self._help_text = help_text
        self._label_names = label_names
        self._bounds = bounds
        self._children: dict[tuple[str, ...], typing.Any] = {}

    def labels(self, *values: str) -> typing.Any:
        """Return the `Number` or `Histogram` for some label values."""
        child = self._children.get(values)
        if child is None:
            is_histogram = self._kind is Kind.HISTOGRAM
            child = Histogram(self._bounds) if is_histogram else Number()
            self._children[values] = child
        return child

    def total(self) -> float:
        """Return the sum over all label values of a counter or gauge."""
        return sum(child.value for child in self._children.values())

    def collect(self) -> typing.Any:
        """Return the family as an object of prometheus_client."""
        import prometheus_client.core

        core = prometheus_client.core
        if self._kind is Kind.HISTOGRAM:
            family = core.HistogramMetricFamily
        elif self._kind is Kind.COUNTER:
            family = core.CounterMetricFamily
        else:
            family = core.GaugeMetricFamily
        found = family(self.name, self._help_text, labels=self._label_names)
        for values, child in self._children.items():
            if self._kind is Kind.HISTOGRAM:
                found.add_metric(values, child.buckets(), child.sum)
            else:
                found.add_metric(values, child.value)
        return found


class _Collector:
    """Collector that provides families to a registry of prometheus_client."""

    def __init__(self, families: collections.abc.Sequence[Family]):
        self._families = families

    def collect(self) -> collections.abc.Iterator[typing.Any]:
        """Return the families as objects of prometheus_client."""
        return (family.collect() for family in self._families)


def exposition(families: collections.abc.Sequence[Family]) -> bytes:
    """Return families in the text format of Prometheus."""
    import prometheus_client

    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(families))
    return prometheus_client.generate_latest(registry)
