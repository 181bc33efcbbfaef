"""Load reports that targets attach to responses."""

import dataclasses
import math

import msgspec

from coltsfootchute import registries

__all__ = ["FORMATS", "LoadReport", "parse"]

MAX_HEADER_CHARS = 2048
IN_FLIGHT_METRIC = "named_metrics.in_flight"
MAX_COUNTS = 8
FORMATS = registries.Registry("load format")
UTILIZATION_METRICS = ("application_utilization", "cpu_utilization")


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a target at the time of a response.

    Parameters
    ----------
    in_flight
        Requests in progress at the target, from all entries; None if the
        target reports only its utilization.
    utilization
        Share of the capacity in use, 0 to 1 or more; None if not reported.
    slowdown
        How long work takes on the target's machine at the moment, over the usual
        time; None if not reported.
    """

    in_flight: float | None = None
    utilization: float | None = None
    slowdown: float | None = None

    def requests(self, slots: int) -> float:
        """Return the load as a number of requests in progress.

        Parameters
        ----------
        slots
            Requests that the target runs at the same time.
        """
        if self.in_flight is not None:
            return self.in_flight
        return (self.utilization or 0.0) * slots


@FORMATS.register("orca")
def parse(header: str) -> LoadReport | None:
    """Read an ``endpoint-load-metrics`` header in its TEXT or JSON form.

    Parameters
    ----------
    header
        Value of the header, such as
        ``TEXT cpu_utilization=0.3, named_metrics.in_flight=4``.

    Returns
    -------
    LoadReport or None
        None if the header holds no usable metric. A malformed report is not an
        error, because the response that carries it is complete without it.

    Examples
    --------
    >>> parse("TEXT cpu_utilization=0.5, named_metrics.in_flight=4")
    LoadReport(in_flight=4.0, utilization=0.5, slowdown=None)
    >>> parse('JSON {"named_metrics": {"in_flight": 2}}')
    LoadReport(in_flight=2.0, utilization=None, slowdown=None)
    >>> parse("BIN CgQ") is None
    True
    """
    form, _, body = header[:MAX_HEADER_CHARS].strip().partition(" ")
    readers = {"TEXT": _text_metrics, "JSON": _json_metrics}
    if form not in readers:
        return None
    metrics = readers[form](body)
    in_flight = metrics.get(IN_FLIGHT_METRIC)
    known = [metrics[name] for name in UTILIZATION_METRICS if name in metrics]
    utilization = known[0] if known else None
    if in_flight is None and utilization is None:
        return None
    return LoadReport(in_flight, utilization)


@FORMATS.register("counts")
def parse_counts(header: str) -> LoadReport | None:
    """Read running requests, waiting requests, slots and pace in percent.

    Parameters
    ----------
    header
        Value of the header; the pace may be missing.

    Returns
    -------
    LoadReport or None
        None if the header is malformed.

    Examples
    --------
    >>> parse_counts("3,1,8,150")
    LoadReport(in_flight=4.0, utilization=None, slowdown=1.5)
    >>> parse_counts("3,x") is None
    True
    """
    fields = header[:MAX_HEADER_CHARS].split(",", MAX_COUNTS)
    numbers = _numbers({str(i): field for i, field in enumerate(fields)})
    if not {"0", "1", "2"} <= numbers.keys():
        return None
    pace = numbers["3"] / 100 if "3" in numbers else None
    return LoadReport(numbers["0"] + numbers["1"], None, pace)


def _text_metrics(body: str) -> dict[str, float]:
    pairs = (item.partition("=") for item in body.split(","))
    return _numbers({name.strip(): value for name, _, value in pairs})


def _json_metrics(body: str) -> dict[str, float]:
    try:
        report = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return {}
    if not isinstance(report, dict):
        return {}
    named = report.get("named_metrics")
    nested = named if isinstance(named, dict) else {}
    flat = {f"named_metrics.{name}": value for name, value in nested.items()}
    return _numbers({**report, **flat})


def _numbers(raw: dict[str, object]) -> dict[str, float]:
    numbers = {}
    for name, value in raw.items():
        if not isinstance(value, str | int | float):
            continue
        try:
            number = float(value)
        except (ValueError, OverflowError):
            continue
        if math.isfinite(number) and number >= 0:
            numbers[name] = number
    return numbers
