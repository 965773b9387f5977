"""Figures computed from an experiment, and the comparison of two experiments."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs
import msgspec
from hdrh.histogram import HdrHistogram

from bench.checks import READ_KINDS, WRITE_KINDS, Verdict
from bench.experiment import Experiment
from bench.history import DONE, Event, FaultEvent, Record
from bench.resources import Usage

MAX_LATENCY_US = 120_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@attrs.frozen
class Latency:
    """Milliseconds from the due time of acknowledged requests to their answers."""

    count: int
    mean: float
    percentiles: dict[str, float]
    maximum: float


@attrs.frozen
class Failover:
    """Time from the loss of a primary until a later write was acknowledged, None if none was."""

    database: str
    action: str
    lost_at_s: float
    seconds: float | None


@attrs.frozen
class Results:
    """Stored results of an experiment; its history is stored separately.

    `outcomes` counts requests by kind and outcome, `problems` the most common problem types.
    """

    experiment: Experiment
    throughput: float
    replica_read_share: float | None
    failovers: list[Failover]
    latencies: dict[str, Latency]
    outcomes: dict[str, dict[str, int]]
    problems: dict[str, int]
    verdicts: list[Verdict]
    resources: dict[str, Usage]
    without_session: int = 0


def compute_results(
    experiment: Experiment,
    record: Record,
    start_at: float,
    verdicts: list[Verdict],
    resources: dict[str, Usage],
    without_session: int,
) -> Results:
    """Computes the figures of a recorded experiment."""
    done = [e for e in record.events if e.outcome == DONE and e.kind != "transaction"]
    outcomes: dict[str, Counter[str]] = defaultdict(Counter)
    for event in record.events:
        outcomes[event.kind][event.outcome] += 1
    return Results(
        experiment=experiment,
        throughput=len(done) / experiment.workload.seconds,
        replica_read_share=compute_replica_share(record.events),
        failovers=list(find_failovers(record.events, record.faults, start_at)),
        latencies={kind: compute_latency(events) for kind, events in _group_by_kind(done).items()},
        outcomes={kind: dict(counts) for kind, counts in outcomes.items()},
        problems=dict(Counter(e.problem for e in record.events if e.problem).most_common(20)),
        verdicts=verdicts,
        resources=resources,
        without_session=without_session,
    )


def compute_replica_share(events: Iterable[Event]) -> float | None:
    """Returns the share of all reads, including strict ones, that replicas served."""
    reads = [e for e in events if e.kind in (*READ_KINDS, "large") and e.outcome == DONE]
    return sum(e.role == "replica" for e in reads) / len(reads) if reads else None


def find_failovers(
    events: Iterable[Event], faults: Iterable[FaultEvent], start_at: float
) -> Iterator[Failover]:
    """Yields the failover after each lost primary."""
    writes = [e for e in events if e.kind in WRITE_KINDS and e.outcome == DONE]
    for fault in faults:
        if not fault.found.get("lost_primary"):
            continue
        database = fault.found["database"]
        write_ends = [e.ended_at for e in writes if e.database == database and e.sent_at > fault.at]
        seconds = min(write_ends) - fault.at if write_ends else None
        yield Failover(database, fault.action, fault.at - start_at, seconds)


def compute_latency(events: Iterable[Event]) -> Latency:
    """Returns the latency from the due times of the events to their ends."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for event in events:
        histogram.record_value(max(1, int((event.ended_at - event.due_at) * 1e6)))
    percentiles = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return Latency(
        histogram.get_total_count(),
        round(histogram.get_mean_value() / 1000, 3),
        percentiles,
        histogram.get_max_value() / 1000,
    )


def _group_by_kind(events: Iterable[Event]) -> dict[str, list[Event]]:
    events_by_kind: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        events_by_kind[event.kind].append(event)
    return events_by_kind


def write_results(results: Results, path: Path) -> None:
    """Writes the results as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results)))


def read_results(path: Path) -> Results:
    """Reads results; raises `msgspec.MsgspecError` if the file does not match `Results`."""
    return msgspec.json.decode(path.read_bytes(), type=Results)


def comparison_figures(results: Results) -> dict[str, float | None]:
    """Returns the figures shown by `compare`, by name."""
    failover_seconds = [f.seconds for f in results.failovers if f.seconds is not None]
    cpu_shares = {
        kind: [u.cpu_share for name, u in results.resources.items() if name.endswith(f"-{kind}")]
        for kind in ("entry", "pool", "controller")
    }
    return {
        "throughput (1/s)": results.throughput,
        "reads on replicas": results.replica_read_share,
        "slowest failover (s)": max(failover_seconds, default=None),
        **{
            f"{kind} {name} (ms)": value
            for kind, latency in sorted(results.latencies.items())
            for name, value in latency.percentiles.items()
            if name in ("p50", "p99")
        },
        **{f"{kind} CPU (cores)": sum(shares) for kind, shares in cpu_shares.items() if shares},
    }


def compare(before: Results, after: Results) -> Iterator[str]:
    """Yields the lines of a table with the figures of two experiments."""
    old, new = comparison_figures(before), comparison_figures(after)
    yield f"{'':28}{'before':>12}{'after':>12}{'ratio':>9}"
    for name in dict.fromkeys((*old, *new)):
        yield _comparison_row(name, old.get(name), new.get(name))
    if before.experiment != after.experiment:
        yield "the experiments differ, so the figures may not be comparable"


def _comparison_row(name: str, old: float | None, new: float | None) -> str:
    ratio = f"{new / old:9.2f}" if old and new is not None else f"{'':>9}"
    return f"{name:28}{_format_number(old):>12}{_format_number(new):>12}{ratio}"


def _format_number(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"


def report_lines(results: Results) -> Iterator[str]:
    """Yields the lines of the report printed after an experiment."""
    share = results.replica_read_share
    yield f"throughput: {results.throughput:.1f} requests/s"
    yield f"reads served by replicas: {'-' if share is None else f'{share:.1%}'}"
    for failover in results.failovers:
        seconds = "none" if failover.seconds is None else f"{failover.seconds:.2f} s"
        yield f"failover of {failover.database} after {failover.action}: {seconds}"
    for kind, latency in sorted(results.latencies.items()):
        percentiles = latency.percentiles
        yield (
            f"latency of {kind}: median {percentiles['p50']:.1f} ms, "
            f"p99 {percentiles['p99']:.1f} ms, {latency.count} requests"
        )
    for kind, counts in sorted(results.outcomes.items()):
        yield f"outcomes of {kind}: {', '.join(f'{n} {o}' for o, n in sorted(counts.items()))}"
    if results.problems:
        yield f"problems: {_format_counts(results.problems)}"
    if results.without_session:
        yield f"not sent, because no session was idle: {results.without_session}"
    yield ""
    for number, verdict in enumerate(results.verdicts, start=1):
        yield f"{number}. {verdict.promise}: {verdict.status} ({verdict.evidence})"
        yield from (f"   {violation}" for violation in verdict.violations)


def _format_counts(counts: dict[str, Any]) -> str:
    return ", ".join(f"{count} {name}" for name, count in counts.items())
