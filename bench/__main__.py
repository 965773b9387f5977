"""Command line interface of the load and experiment tool."""

import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from returns.result import Failure

from bench import commands
from bench.checks import Status
from bench.experiment import DeploymentPlan, Experiment, Fault, Workload, load_experiment
from bench.faults import random_schedule
from bench.plot import plot_timeline
from bench.results import compare as compare_results
from bench.results import read_results, report_lines
from bench.run import Run, run_experiment

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False, no_args_is_help=True)
app.add_typer(commands.app)

# The demo ends within a minute even on an overloaded machine.
DEMO_LIMIT_S = 57
DEMO = Experiment(
    workload=Workload(seconds=20.0, rate=150.0),
    faults=(
        # The three commands of a roll take several seconds on a busy machine.
        Fault(1.0, "roll", {}),
        Fault(3.0, "kill", {"database": "caves", "role": "primary"}),
        Fault(7.0, "restart", {"database": "caves"}),
        Fault(10.0, "leave", {"database": "finds", "role": "replica"}),
        Fault(16.0, "terminate", {"vm": "vm3"}),
    ),
)


def _interrupt(*_: Any) -> None:
    raise KeyboardInterrupt


@app.command()
def demo(
    seconds: Annotated[float, typer.Option(help="Length of the load.")] = 16.0,
    keep: Annotated[Path | None, typer.Option(help="Directory for logs and history.")] = None,
) -> None:
    """Run a deployment under load with a killed primary and check the nine promises.

    Example: python -m bench demo
    """
    scale = seconds / DEMO.workload.seconds
    experiment = Experiment(
        DEMO.deployment,
        Workload(seconds=seconds, rate=DEMO.workload.rate),
        tuple(Fault(f.at_s * scale, f.action, f.options) for f in DEMO.faults),
    )
    signal.signal(signal.SIGALRM, _interrupt)
    signal.alarm(DEMO_LIMIT_S)
    _run(experiment, keep)


@app.command()
def load(
    experiment: Annotated[Path, typer.Argument(help="Experiment as JSON with comments.")],
    out: Annotated[Path, typer.Option(help="Directory for results, history and logs.")],
    plot: Annotated[bool, typer.Option("--plot", help="Write timeline.png.")] = False,
) -> None:
    """Run the experiment of a file.

    Example: python -m bench load experiment.json --out results/a --plot
    """
    loaded = load_experiment(experiment)
    if isinstance(loaded, Failure):
        for finding in loaded.failure():
            print(f"bench: error: {finding}", file=sys.stderr)
        raise typer.Exit(2)
    _run(loaded.unwrap(), out, plot)


@app.command()
def fuzz(
    seed: Annotated[int, typer.Option(help="Seed of faults and load.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length of the load.")] = 60.0,
    rate: Annotated[float, typer.Option(help="Operations per second.")] = 120.0,
    out: Annotated[Path | None, typer.Option(help="Directory for logs and history.")] = None,
) -> None:
    """Run random faults under load and check the promises.

    Example: python -m bench fuzz --seed 7 --seconds 120
    """
    plan = DeploymentPlan()
    faults = tuple(random_schedule(plan, seconds, seed))
    workload = Workload(seconds=seconds, rate=rate, seed=seed)
    _run(Experiment(plan, workload, faults), out)


@app.command()
def compare(before: Path, after: Path) -> None:
    """Compare two results.json files.

    Example: python -m bench compare results/a/results.json results/b/results.json
    """
    try:
        old, new = read_results(before), read_results(after)
    except (OSError, msgspec.MsgspecError) as error:
        print(f"bench: error: {error}", file=sys.stderr)
        raise typer.Exit(2) from error
    for line in compare_results(old, new):
        print(line)


def _run(experiment: Experiment, directory: Path | None, plot: bool = False) -> None:
    """Runs an experiment and prints its report; exits with 1 if a promise was violated."""
    # A shell starts background jobs with SIGINT ignored, so both handlers are set explicitly.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _interrupt)
    started_at = time.monotonic()
    if directory is not None and directory.exists() and any(directory.iterdir()):
        # Targets would start with an earlier run's data, which the checks report as violations.
        print(f"bench: error: {directory} is not empty", file=sys.stderr)
        raise typer.Exit(2)
    try:
        if directory is None:
            with tempfile.TemporaryDirectory(prefix="siskindale-bench-") as temporary:
                run = run_experiment(experiment, Path(temporary))
        else:
            run = run_experiment(experiment, directory)
    except KeyboardInterrupt:
        print("bench: interrupted", file=sys.stderr)
        raise typer.Exit(1) from None
    except (TimeoutError, RuntimeError) as error:
        print(f"bench: error: {error}", file=sys.stderr)
        raise typer.Exit(1) from error
    if plot and directory is not None:
        plot_timeline(run.record, run.start_at, directory / "timeline.png")
    _print_report(run, time.monotonic() - started_at)


def _print_report(run: Run, elapsed_s: float) -> None:
    for line in report_lines(run.results):
        print(line)
    print(f"\nended after {elapsed_s:.1f} s")
    if any(verdict.status is Status.VIOLATED for verdict in run.results.verdicts):
        raise typer.Exit(1)


if __name__ == "__main__":
    app()
