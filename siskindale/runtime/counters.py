"""Metrics that are kept without the metrics library, which shows them when they are asked for.

Importing the library takes a tenth of the time that a session proxy needs to start, and after a
loss of all VMs each of these milliseconds is an outage.
"""

from bisect import bisect_left
from collections.abc import Iterator
from itertools import accumulate

import attrs

Labels = tuple[str, ...]


class Value:
    """A number of one combination of labels."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Adds to the number."""
        self.value += amount

    def dec(self, amount: float = 1.0) -> None:
        """Subtracts from the number."""
        self.value -= amount


class Observations:
    """Counts of observed values by bucket, of one combination of labels."""

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Counts a value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    def buckets(self) -> list[tuple[str, float]]:
        """Returns cumulative counts by upper bound, as the text format has them."""
        bounds = [*map(str, self.bounds), "+Inf"]
        return list(zip(bounds, map(float, accumulate(self.counts)), strict=True))


@attrs.define(eq=False)
class Metric:
    """A named counter or gauge with a number for each combination of labels."""

    name: str
    help: str
    label_names: Labels = ()
    gauge: bool = False
    values: dict[Labels, Value] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        _METRICS.append(self)

    def labels(self, *labels: str) -> Value:
        """Returns the number of a combination of labels."""
        value = self.values.get(labels)
        if value is None:
            value = self.values[labels] = Value()
        return value


@attrs.define(eq=False)
class Distribution:
    """A named histogram with observations for each combination of labels."""

    name: str
    help: str
    label_names: Labels
    bounds: tuple[float, ...]
    values: dict[Labels, Observations] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        _METRICS.append(self)

    def labels(self, *labels: str) -> Observations:
        """Returns the observations of a combination of labels."""
        value = self.values.get(labels)
        if value is None:
            value = self.values[labels] = Observations(self.bounds)
        return value


_METRICS: list[Metric | Distribution] = []


class _Collector:
    """Shows all metrics of this module to the metrics library."""

    def collect(self) -> Iterator[object]:
        """Yields a family for each metric."""
        return (_family(metric) for metric in _METRICS)


def _family(metric: Metric | Distribution) -> object:
    from prometheus_client import core

    if isinstance(metric, Distribution):
        histogram = core.HistogramMetricFamily(metric.name, metric.help, labels=metric.label_names)
        for labels, observed in metric.values.items():
            histogram.add_metric(labels, observed.buckets(), observed.total)
        return histogram
    cls = core.GaugeMetricFamily if metric.gauge else core.CounterMetricFamily
    family = cls(metric.name, metric.help, labels=metric.label_names)
    for labels, value in metric.values.items():
        family.add_metric(labels, value.value)
    return family


_exposed: list[_Collector] = []


def expose() -> None:
    """Registers the metrics with the metrics library, once."""
    if _exposed:
        return
    from prometheus_client import REGISTRY

    _exposed.append(_Collector())
    REGISTRY.register(_exposed[0])  # type: ignore[arg-type]
