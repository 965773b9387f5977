"""Plots the timeline of an experiment."""

from collections import defaultdict
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402

from bench.history import DONE, Event, Record  # noqa: E402

BUCKET_S = 0.25


def plot_timeline(record: Record, start_at: float, path: Path) -> None:
    """Plots outcomes and latencies over time, with the faults as vertical lines."""
    figure, (rates, latencies) = plt.subplots(2, 1, sharex=True, figsize=(12, 7))
    events = [e for e in record.events if e.kind != "transaction"]
    _draw_outcomes(rates, events, start_at)
    _draw_latency(latencies, events, start_at)
    for fault in record.faults:
        for axes in (rates, latencies):
            axes.axvline(fault.at - start_at, color="grey", linewidth=0.8, linestyle="--")
        rates.annotate(
            fault.action, (fault.at - start_at, 1), xycoords=("data", "axes fraction"), rotation=40
        )
    rates.legend(loc="lower right")
    latencies.legend(loc="upper right")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    plt.close(figure)


def _draw_outcomes(axes: plt.Axes, events: list[Event], start_at: float) -> None:
    counts_by_series: dict[str, dict[int, int]] = defaultdict(lambda: defaultdict(int))
    for event in events:
        bucket = int((event.ended_at - start_at) / BUCKET_S)
        counts_by_series[event.outcome][bucket] += 1
        if event.outcome == DONE and event.role == "replica":
            counts_by_series["done by a replica"][bucket] += 1
    last = max((bucket for counts in counts_by_series.values() for bucket in counts), default=0)
    for name, counts in sorted(counts_by_series.items()):
        axes.plot(
            [bucket * BUCKET_S for bucket in range(last + 1)],
            [counts.get(bucket, 0) / BUCKET_S for bucket in range(last + 1)],
            label=name,
        )
    axes.set_ylabel("requests/s")


def _draw_latency(axes: plt.Axes, events: list[Event], start_at: float) -> None:
    by_kind: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if event.outcome == DONE:
            by_kind[event.kind].append(event)
    for kind, found in sorted(by_kind.items()):
        axes.scatter(
            [e.ended_at - start_at for e in found],
            [(e.ended_at - e.due_at) * 1000 for e in found],
            s=3,
            label=kind,
        )
    axes.set_yscale("log")
    axes.set_ylabel("latency (ms)")
    axes.set_xlabel("seconds")
