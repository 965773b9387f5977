"""Commands of bench that each measure one quantity."""

import itertools
import os
import platform
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import msgspec
import psutil
import typer

from bench import failover as failover_bench
from bench import ordering as ordering_bench
from bench import promotions as promotions_bench
from bench import propagation as propagation_bench
from bench import routing as routing_bench
from bench import speed as speed_bench
from bench.capacity import callers, model, node, page
from bench.processes import ROOT
from bench.soak.report import soak_report
from bench.soak.run import SoakPlan, run_soak

POOL_UTILISATION = 0.75
IDLE_CALLER_COUNTS = (500, 1000, 2000, 4000)
NODE_SIZES = ((100, 120), (300, 360), (770, 920))
CALLER_COUNTS = (8, 32, 64)
MAX_SHOWN_OUTAGES = 5
# Current interval and the one for the planned size; a loss is detected after four intervals.
PROBE_INTERVALS_MS = (150, 1250)

app = typer.Typer()


@app.command()
def speed(
    reads: Annotated[int, typer.Option(help="Sequential statements of each kind.")] = 2000,
    statements: Annotated[int, typer.Option(help="Statements at each number of callers.")] = 6000,
) -> None:
    """Measure the added time of a read and the statements a second of one entry and one pool."""
    with tempfile.TemporaryDirectory(prefix="siskindale-speed-") as directory:
        speed_results = speed_bench.measure(Path(directory), reads, statements, CALLER_COUNTS)
    print(msgspec.json.format(msgspec.json.encode(speed_results)).decode())


@app.command()
def promotions(logs: list[Path]) -> None:
    """Summarise the outages of recorded days from the log lines of their session proxies."""
    events = [promotions_bench.read_events(log) for log in logs]
    outages = list(itertools.chain.from_iterable(map(promotions_bench.find_outages, events)))
    for outage in sorted(outages, key=lambda outage: -outage.total_s)[:MAX_SHOWN_OUTAGES]:
        print(outage)
    for line in promotions_bench.summary_lines(outages):
        print(line)


@app.command()
def failover(
    rounds: Annotated[int, typer.Option(help="Losses of each of the eight databases.")] = 4,
    out: Annotated[Path | None, typer.Option(help="File for every loss and the figures.")] = None,
    keep: Annotated[Path | None, typer.Option(help="Directory for the logs.")] = None,
) -> None:
    """Measure the failover time over lost primaries, with the store up and down.

    Example: python -m bench failover --out failover.json
    """
    with tempfile.TemporaryDirectory(prefix="siskindale-failover-") as temporary:
        directory = keep or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        losses = failover_bench.measure(
            directory, rounds, lambda loss: _print_progress("loss", loss)
        )
    summaries = failover_bench.summarise(losses)
    for summary in summaries:
        print(summary)
    if out is not None:
        document = {"losses": losses, "figures": summaries}
        out.write_bytes(msgspec.json.format(msgspec.json.encode(document)) + b"\n")


@app.command()
def routing(
    seconds: Annotated[float, typer.Option(help="Length of the load at each lag.")] = 12.0,
    out: Annotated[Path | None, typer.Option(help="File for the results as JSON.")] = None,
) -> None:
    """Measure the share of reads on replicas at four lags for both deployments' mixes."""
    results = []
    for name, lag in itertools.product(routing_bench.DEPLOYMENTS, routing_bench.LAGS_MS):
        with tempfile.TemporaryDirectory(prefix="siskindale-routing-") as directory:
            result = routing_bench.measure(name, lag, seconds, Path(directory))
        results.append(result)
        print(
            f"{name}, lag {lag:g} ms: {result.share:.1%} of {result.reads} reads on replicas, "
            f"{result.oracle_share:.1%} of the oracle's {result.eligible}; "
            f"round robin: 100.0%, {result.round_robin_broken} of {result.round_robin_reads} "
            "reads miss an own write",
            flush=True,
        )
    if out is not None:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(results)))


@app.command()
def ordering(
    count: Annotated[int, typer.Option(help="Number of simulated statements.")] = 100_000,
    seconds: Annotated[float, typer.Option(help="Length of the load through the pool.")] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
) -> None:
    """Compare orders of statements within a class at a target with two slots.

    The first lines are simulated, the last ones measured through the current pool.
    """
    for utilisation in (0.7, 0.9):
        statements = ordering_bench.arrivals(utilisation, count, seed)
        for policy in ordering_bench.POLICIES:
            for row in ordering_bench.simulate(policy, statements):
                print(
                    f"utilisation {utilisation:.0%}, {policy}, {row.text}: wait median "
                    f"{row.median_ms:.1f} ms, p99 {row.p99_ms:.1f} ms, max {row.maximum_ms:.1f} ms"
                )
    with tempfile.TemporaryDirectory(prefix="siskindale-ordering-") as directory:
        for served in ordering_bench.measure_through_pool(
            Path(directory), POOL_UTILISATION, seconds, seed
        ):
            print(f"through the pool, {served}")


@app.command()
def slopes(
    out: Annotated[Path, typer.Option(help="File for the measurements.")] = page.MEASUREMENTS,
    seconds: Annotated[float, typer.Option(help="Length of each node observation.")] = 30.0,
) -> None:
    """Measure all slopes of docs/CAPACITY.md; takes about ten minutes."""
    with tempfile.TemporaryDirectory(prefix="siskindale-slopes-") as directory:
        root = Path(directory)
        idle = callers.measure(IDLE_CALLER_COUNTS, _make_subdirectory(root, "callers"))
        _print_progress("idle callers", idle)
        speed_results = speed_bench.measure(
            _make_subdirectory(root, "speed"), 1000, 6000, CALLER_COUNTS
        )
        _print_progress("speed", speed_results.throughput)
        nodes = {
            interval: [
                _measure_node(
                    vms,
                    groups,
                    interval,
                    seconds,
                    _make_subdirectory(root, f"node-{interval}-{vms}"),
                )
                for vms, groups in NODE_SIZES
            ]
            for interval in PROBE_INTERVALS_MS
        }
    measured = model.Measurements(
        _machine_description(),
        _commit_hash(),
        dict(zip(IDLE_CALLER_COUNTS, idle, strict=True)),
        speed_results,
        nodes[PROBE_INTERVALS_MS[0]],
        nodes[PROBE_INTERVALS_MS[1]],
    )
    out.write_bytes(msgspec.json.format(msgspec.json.encode(measured)) + b"\n")


@app.command()
def capacity(
    check: Annotated[bool, typer.Option("--check", help="Only compare, change nothing.")] = False,
) -> None:
    """Write the generated part of docs/CAPACITY.md from the measurements."""
    if check:
        raise typer.Exit(0 if page.is_current() else 1)
    measured = model.read_measurements(page.MEASUREMENTS)
    page.PAGE.write_text(page.update_page(page.PAGE.read_text(), measured))


@app.command()
def propagation(
    rolls: Annotated[int, typer.Option(help="Rolls under each condition.", min=1)] = 10,
) -> None:
    """Measure the time from the acceptance of a bundle to the last of 21 programs.

    Exits with 1 if a roll took more than 8 s.

    Example: python -m bench propagation --rolls 10
    """
    with tempfile.TemporaryDirectory(prefix="siskindale-propagation-") as directory:
        results = propagation_bench.measure(Path(directory), rolls)
    for result in results:
        print(
            f"{result.condition}: {len(result.last_s)} rolls to {result.programs} programs:"
            f" median {result.median_s:.2f} s, maximum {result.max_s:.2f} s"
        )
    if max(result.max_s for result in results) > propagation_bench.PROPAGATION_LIMIT_S:
        raise typer.Exit(1)


def _measure_node(
    vms: int, groups: int, interval: int, seconds: float, directory: Path
) -> node.NodeCost:
    node_cost = node.measure(vms, groups, seconds, 3, directory, interval)
    _print_progress(f"node {vms}/{groups} at {interval} ms", node_cost)
    return node_cost


def _make_subdirectory(root: Path, name: str) -> Path:
    directory = root / name
    directory.mkdir()
    return directory


def _print_progress(label: str, value: object) -> None:
    print(f"{label}: {value}", file=sys.stderr, flush=True)


def _machine_description() -> str:
    memory = psutil.virtual_memory().total / 2**30
    return f"{psutil.cpu_count()} cores, {memory:.0f} GiB, Python {platform.python_version()}"


def _commit_hash() -> str:
    command = ("git", "rev-parse", "--short", "HEAD")
    return subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.strip()


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="Number of seeds, one run each.")] = 1,
    seconds: Annotated[float, typer.Option(help="Time in which troubles begin.")] = 30.0,
    vms: Annotated[int, typer.Option(help="Number of session proxies.")] = 3,
    out: Annotated[Path | None, typer.Option(help="File for the figures of each run.")] = None,
    keep: Annotated[
        Path | None, typer.Option(help="Directory for the logs of each run that finds something.")
    ] = None,
) -> None:
    """Run session proxies under overlapping troubles and judge what callers saw.

    With TROUBLE=0 in the environment the callers run without troubles.
    """
    troubles = os.environ.get("TROUBLE", "1") != "0"
    # A process that crashes in native code then leaves its stack in its log.
    os.environ.setdefault("PYTHONFAULTHANDLER", "1")
    reports = []
    for current in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory(prefix="siskindale-soak-") as directory:
            plan = SoakPlan(current, seconds, vms, troubles)
            report = soak_report(plan, *run_soak(plan, Path(directory)))
            if keep is not None and report.violations:
                shutil.copytree(directory, keep / f"seed-{current}", dirs_exist_ok=True)
        print("\n".join(report.lines()), flush=True)
        reports.append(report)
    if out is not None:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(reports)))
    if any(report.violations for report in reports):
        raise typer.Exit(1)
