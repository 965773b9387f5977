"""Command lines of the programs, defined with typer; errors read `program: error: …`."""

import contextlib
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Annotated

import typer
from returns.result import Success

from siskindale import __version__
from siskindale.config.checks import check_settings_file, load_checked_settings
from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.models.settings import Settings

ServeFunction = Callable[[Settings, Environment], ExitStatus]


def print_errors(env: Environment, problems: Iterable[object]) -> None:
    """Prints each problem on a line of its own on standard error."""
    for problem in problems:
        print(f"{env.program}: error: {problem}", file=env.stderr)


def invoke(app: typer.Typer, args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs a command; an invalid command line prints an error and returns `INVALID_INPUT`.

    Commands receive the environment as `context.obj` and return an `ExitStatus`.
    """
    command = typer.main.get_command(app)
    with contextlib.redirect_stdout(env.stdout), contextlib.redirect_stderr(env.stderr):
        try:
            status = command.main(
                args=list(args), prog_name=env.program, standalone_mode=False, obj=env
            )
        except typer.Exit as exit_request:
            return ExitStatus(exit_request.exit_code)
        except typer.Abort:
            return ExitStatus.ERROR
        except typer.TyperException as error:
            print_errors(env, [getattr(error, "format_message", error.__str__)()])
            return ExitStatus.INVALID_INPUT
    return ExitStatus.SUCCESS if status is None else ExitStatus(status)


def print_version(requested: bool) -> None:
    """Prints the version and exits; typer callback of `--version`."""
    if requested:
        typer.echo(__version__)
        raise typer.Exit


SettingsOption = Annotated[Path | None, typer.Option(help="Settings file of this VM.")]
VersionOption = Annotated[
    bool,
    typer.Option("--version", callback=print_version, is_eager=True, help="Print the version."),
]


def create_program_app(serve: ServeFunction, summary: str) -> typer.Typer:
    """Returns the command line of a program: `--settings FILE` and `check-settings FILE`."""
    app = typer.Typer(help=summary, add_completion=False, pretty_exceptions_enable=False)

    @app.callback(invoke_without_command=True)
    def run(
        context: typer.Context,
        settings: SettingsOption = None,
        version: VersionOption = False,
    ) -> ExitStatus | None:
        if context.invoked_subcommand is not None:
            return None
        if settings is None:
            raise typer.BadParameter("--settings FILE is missing")
        return _serve_with_settings(settings, context.obj, serve)

    @app.command("check-settings")
    def check_settings(context: typer.Context, file: Path) -> ExitStatus:
        """Check a settings file and print every finding."""
        return check_settings_file(file, context.obj)

    return app


def _serve_with_settings(path: Path, env: Environment, serve: ServeFunction) -> ExitStatus:
    loaded = load_checked_settings(path)
    if isinstance(loaded, Success):
        return serve(loaded.unwrap(), env)
    print_errors(env, loaded.failure())
    return ExitStatus.INVALID_INPUT
