"""Metrics that are recorded without `prometheus_client`, which exports them when requested.

Importing the library takes a tenth of the start-up time of a session proxy, which prolongs the
outage after a loss of all VMs.
"""

from bisect import bisect_left
from collections.abc import Iterator
from itertools import accumulate

import attrs

Labels = tuple[str, ...]


class MetricValue:
    """Value of a counter or gauge for one combination of labels."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Increases the value."""
        self.value += amount

    def dec(self, amount: float = 1.0) -> None:
        """Decreases the value."""
        self.value -= amount


class HistogramValue:
    """Counts of observed values by bucket for one combination of labels."""

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Adds a value to its bucket and to the sum."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    def buckets(self) -> list[tuple[str, float]]:
        """Returns cumulative counts by upper bound, as in the Prometheus text format."""
        bounds = [*map(str, self.bounds), "+Inf"]
        return list(zip(bounds, map(float, accumulate(self.counts)), strict=True))


@attrs.define(eq=False)
class Metric:
    """A named counter or gauge with a value for each combination of labels."""

    name: str
    help: str
    label_names: Labels = ()
    gauge: bool = False
    values: dict[Labels, MetricValue] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        _ALL_METRICS.append(self)

    def labels(self, *labels: str) -> MetricValue:
        """Returns the value for a combination of labels, created on first use."""
        value = self.values.get(labels)
        if value is None:
            value = self.values[labels] = MetricValue()
        return value


@attrs.define(eq=False)
class Histogram:
    """A named histogram with bucket counts for each combination of labels."""

    name: str
    help: str
    label_names: Labels
    bounds: tuple[float, ...]
    values: dict[Labels, HistogramValue] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        _ALL_METRICS.append(self)

    def labels(self, *labels: str) -> HistogramValue:
        """Returns the bucket counts for a combination of labels, created on first use."""
        value = self.values.get(labels)
        if value is None:
            value = self.values[labels] = HistogramValue(self.bounds)
        return value


_ALL_METRICS: list[Metric | Histogram] = []


class _MetricCollector:
    """Collector that exports all metrics of this module to `prometheus_client`."""

    def collect(self) -> Iterator[object]:
        """Returns a metric family for each metric."""
        return (_metric_family(metric) for metric in _ALL_METRICS)


def _metric_family(metric: Metric | Histogram) -> object:
    from prometheus_client import core

    if isinstance(metric, Histogram):
        histogram = core.HistogramMetricFamily(metric.name, metric.help, labels=metric.label_names)
        for labels, histogram_value in metric.values.items():
            histogram.add_metric(labels, histogram_value.buckets(), histogram_value.total)
        return histogram
    family_class = core.GaugeMetricFamily if metric.gauge else core.CounterMetricFamily
    family = family_class(metric.name, metric.help, labels=metric.label_names)
    for labels, value in metric.values.items():
        family.add_metric(labels, value.value)
    return family


_registered_collectors: list[_MetricCollector] = []


def register_collector() -> None:
    """Registers the collector with `prometheus_client` on the first call."""
    if _registered_collectors:
        return
    from prometheus_client import REGISTRY

    _registered_collectors.append(_MetricCollector())
    REGISTRY.register(_registered_collectors[0])  # type: ignore[arg-type]
