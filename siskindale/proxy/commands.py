"""Command line of the session proxy: its options and commands."""

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import typer
from returns.result import Failure

from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.proxy import core
from siskindale.proxy.settings import load_settings
from siskindale.proxy.status import read_status
from siskindale.runtime.commands import SettingsOption, VersionOption, invoke, print_errors

EXAMPLES = """
Serve client sessions on this VM.

\b
  siskindale-proxy --settings proxy.json
  siskindale-proxy check-settings proxy.json
  siskindale-proxy status proxy.json --json

Without options, the settings file is the one that SISKINDALE_SETTINGS names.
"""

app = typer.Typer(help=EXAMPLES, add_completion=False, pretty_exceptions_enable=False)


@app.callback(invoke_without_command=True)
def run(
    context: typer.Context, settings: SettingsOption = None, version: VersionOption = False
) -> ExitStatus | None:
    """Serve client sessions on this VM."""
    if context.invoked_subcommand is not None:
        return None
    if settings is None:
        raise typer.BadParameter("--settings FILE is missing")
    return core.serve(settings, context.obj)


@app.command("check-settings")
def check_settings(context: typer.Context, file: Path) -> ExitStatus:
    """Check a settings file and print every finding."""
    loaded = load_settings(file)
    if isinstance(loaded, Failure):
        print_errors(context.obj, loaded.failure())
        return ExitStatus.INVALID_INPUT
    typer.echo(f"{file}: no findings")
    return ExitStatus.SUCCESS


@app.command()
def status(
    context: typer.Context,
    file: Path,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> ExitStatus:
    """Show the catalog, the targets and the holder of the failover duty, from the store."""
    loaded = load_settings(file)
    if isinstance(loaded, Failure):
        print_errors(context.obj, loaded.failure())
        return ExitStatus.INVALID_INPUT
    read_result = read_status(loaded.unwrap())
    if isinstance(read_result, Failure):
        print_errors(context.obj, [f"store: {read_result.failure().detail}"])
        return ExitStatus.ERROR
    deployment_status = read_result.unwrap()
    typer.echo(deployment_status.as_json() if as_json else deployment_status.as_text())
    return ExitStatus.SUCCESS


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the command line."""
    return invoke(app, args, env)
