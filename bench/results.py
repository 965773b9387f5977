"""Figures of an experiment, and the comparison of two of them."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs
import msgspec
from hdrh.histogram import HdrHistogram

from bench.checks import READS, WRITES, Verdict
from bench.experiment import Experiment
from bench.history import DONE, Event, FaultEvent, Record
from bench.resources import Usage

LONGEST_US = 120_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@attrs.frozen
class Latency:
    """Milliseconds from the time an operation was due to its answer, acknowledged ones only."""

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
    """Everything that is kept of an experiment besides its history.

    `outcomes` counts requests by kind and outcome, `problems` refusals by type.
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


def summarise(
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
        replica_read_share=replica_share(record.events),
        failovers=list(failovers(record.events, record.faults, start_at)),
        latencies={kind: latency(events) for kind, events in _by_kind(done).items()},
        outcomes={kind: dict(counts) for kind, counts in outcomes.items()},
        problems=dict(Counter(e.problem for e in record.events if e.problem).most_common(20)),
        verdicts=verdicts,
        resources=resources,
        without_session=without_session,
    )


def replica_share(events: Iterable[Event]) -> float | None:
    """Returns the part of the reads, strict ones included, that replicas served."""
    reads = [e for e in events if e.kind in (*READS, "large") and e.outcome == DONE]
    return sum(e.role == "replica" for e in reads) / len(reads) if reads else None


def failovers(
    events: Iterable[Event], faults: Iterable[FaultEvent], start_at: float
) -> Iterator[Failover]:
    """Returns the failover of each lost primary."""
    writes = [e for e in events if e.kind in WRITES and e.outcome == DONE]
    for fault in faults:
        if not fault.found.get("lost_primary"):
            continue
        database = fault.found["database"]
        ends = [e.ended_at for e in writes if e.database == database and e.sent_at > fault.at]
        seconds = min(ends) - fault.at if ends else None
        yield Failover(database, fault.action, fault.at - start_at, seconds)


def latency(events: Iterable[Event]) -> Latency:
    """Returns the latency of events."""
    histogram = HdrHistogram(1, LONGEST_US, 3)
    for event in events:
        histogram.record_value(max(1, int((event.ended_at - event.due_at) * 1e6)))
    percentiles = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return Latency(
        histogram.get_total_count(),
        round(histogram.get_mean_value() / 1000, 3),
        percentiles,
        histogram.get_max_value() / 1000,
    )


def _by_kind(events: Iterable[Event]) -> dict[str, list[Event]]:
    kinds: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        kinds[event.kind].append(event)
    return kinds


def write_results(results: Results, path: Path) -> None:
    """Writes the results as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results)))


def read_results(path: Path) -> Results:
    """Reads results; raises `msgspec.MsgspecError` if they do not fit."""
    return msgspec.json.decode(path.read_bytes(), type=Results)


def figures(results: Results) -> dict[str, float | None]:
    """Returns the figures that `compare` shows, by name."""
    found = [f.seconds for f in results.failovers if f.seconds is not None]
    programs = {
        kind: [u.cpu_share for name, u in results.resources.items() if name.endswith(f"-{kind}")]
        for kind in ("entry", "pool", "controller")
    }
    return {
        "throughput (1/s)": results.throughput,
        "reads on replicas": results.replica_read_share,
        "slowest failover (s)": max(found, default=None),
        **{
            f"{kind} {name} (ms)": value
            for kind, measured in sorted(results.latencies.items())
            for name, value in measured.percentiles.items()
            if name in ("p50", "p99")
        },
        **{f"{kind} CPU (cores)": sum(shares) for kind, shares in programs.items() if shares},
    }


def compare(before: Results, after: Results) -> Iterator[str]:
    """Returns a table of the figures of two experiments."""
    old, new = figures(before), figures(after)
    yield f"{'':28}{'before':>12}{'after':>12}{'ratio':>9}"
    for name in dict.fromkeys((*old, *new)):
        yield _row(name, old.get(name), new.get(name))
    if before.experiment != after.experiment:
        yield "the experiments differ, so the figures may not be comparable"


def _row(name: str, old: float | None, new: float | None) -> str:
    ratio = f"{new / old:9.2f}" if old and new is not None else f"{'':>9}"
    return f"{name:28}{_number(old):>12}{_number(new):>12}{ratio}"


def _number(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"


def report(results: Results) -> Iterator[str]:
    """Returns the lines that a person reads after an experiment."""
    share = results.replica_read_share
    yield f"throughput: {results.throughput:.1f} requests/s"
    yield f"reads served by replicas: {'-' if share is None else f'{share:.1%}'}"
    for failover in results.failovers:
        seconds = "none" if failover.seconds is None else f"{failover.seconds:.2f} s"
        yield f"failover of {failover.database} after {failover.action}: {seconds}"
    for kind, measured in sorted(results.latencies.items()):
        percentiles = measured.percentiles
        yield (
            f"latency of {kind}: median {percentiles['p50']:.1f} ms, "
            f"p99 {percentiles['p99']:.1f} ms, {measured.count} requests"
        )
    for kind, counts in sorted(results.outcomes.items()):
        yield f"outcomes of {kind}: {', '.join(f'{n} {o}' for o, n in sorted(counts.items()))}"
    if results.problems:
        yield f"problems: {_pairs(results.problems)}"
    if results.without_session:
        yield f"not sent, because no session was idle: {results.without_session}"
    yield ""
    for number, found in enumerate(results.verdicts, start=1):
        yield f"{number}. {found.promise}: {found.status} ({found.evidence})"
        yield from (f"   {violation}" for violation in found.violations)


def _pairs(counts: dict[str, Any]) -> str:
    return ", ".join(f"{count} {name}" for name, count in counts.items())
