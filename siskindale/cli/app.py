"""Definition of the `siskindale` command line; other modules implement the commands."""

import getpass
from pathlib import Path
from typing import Annotated

import typer

from siskindale.cli import bundles, keys
from siskindale.cli import status as status_commands
from siskindale.cli.command import Console
from siskindale.config.checks import check_settings_file
from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.runtime.commands import VersionOption

TYPER_OPTIONS = {"pretty_exceptions_enable": False, "rich_markup_mode": None}

app = typer.Typer(help="Administer a siskindale deployment.", **TYPER_OPTIONS)  # type: ignore[arg-type]
bundle_app = typer.Typer(
    help="Write, check, sign and roll bundles.", add_completion=False, **TYPER_OPTIONS  # type: ignore
)
key_app = typer.Typer(help="Keys of operators.", add_completion=False, **TYPER_OPTIONS)  # type: ignore
app.add_typer(bundle_app, name="bundle")
app.add_typer(key_app, name="key")

BundleFile = Annotated[Path, typer.Argument(help="Bundle as JSON with comments.")]
SettingsFile = Annotated[
    Path, typer.Option("--settings", envvar="SISKINDALE_SETTINGS", help="Settings of any VM.")
]
OptionalSettings = Annotated[
    Path | None,
    typer.Option("--settings", envvar="SISKINDALE_SETTINGS", help="Settings of any VM."),
]
JsonFlag = Annotated[bool, typer.Option("--json", help="Print JSON.")]
OutputFile = Annotated[Path | None, typer.Option("--out", help="File instead of standard output.")]


def _create_console(context: typer.Context, json: bool = False) -> Console:
    environment: Environment = context.obj
    return Console(environment, "json" if json else "human")


@app.callback()
def siskindale(version: VersionOption = False) -> None:
    """Administer a siskindale deployment: bundles, status, audit."""


@bundle_app.command("new")
def new(context: typer.Context, settings: SettingsFile, out: OutputFile = None) -> ExitStatus:
    """Print a draft of the next version, based on the bundle in effect.

    Example: siskindale bundle new --settings settings.json --out draft.json
    """
    return bundles.new(_create_console(context), settings, out)


@bundle_app.command("check")
def check(
    context: typer.Context, file: BundleFile, settings: OptionalSettings = None
) -> ExitStatus:
    """Print every problem of a bundle; with --settings also of its change from the head.

    Example: siskindale bundle check draft.json --settings settings.json
    """
    return bundles.check(_create_console(context), file, settings)


@bundle_app.command("diff")
def diff(
    context: typer.Context,
    file: BundleFile,
    before: Annotated[Path | None, typer.Argument(help="File to compare with.")] = None,
    settings: OptionalSettings = None,
    json: JsonFlag = False,
) -> ExitStatus:
    """List the differences of a bundle from another file or from the head.

    Example: siskindale bundle diff draft.json --settings settings.json
    """
    return bundles.diff(_create_console(context, json), file, before, settings)


@bundle_app.command("sign")
def sign(
    context: typer.Context,
    file: BundleFile,
    key: Annotated[Path, typer.Option("--key", help="Key file of the operator.")],
    out: Annotated[Path, typer.Option("--out", help="File for the signed bundle.")],
    settings: OptionalSettings = None,
    previous: Annotated[
        Path | None, typer.Option("--previous", help="Bundle that this one replaces.")
    ] = None,
) -> ExitStatus:
    """Check a bundle and add a signature; a signed bundle gets an additional one.

    Example: siskindale bundle sign draft.json --key vesela.key --out signed.json
    """
    return bundles.sign(_create_console(context), file, key, out, settings, previous)


@bundle_app.command("roll")
def roll(
    context: typer.Context,
    file: BundleFile,
    settings: SettingsFile,
    operator: Annotated[
        str, typer.Option(help="Name for the audit row.", envvar="SISKINDALE_OPERATOR")
    ] = "",
    timeout: Annotated[float, typer.Option(help="Seconds before giving up.", min=0.1)] = 10.0,
    roll_id: Annotated[
        str | None, typer.Option(help="Id of an earlier attempt whose outcome is unknown.")
    ] = None,
    json: JsonFlag = False,
) -> ExitStatus:
    """Make a signed bundle the head and report whether it was accepted.

    Exit status: 0 accepted, 3 not accepted because of a conflict or missing signatures, 1 not
    accepted because the store is down, 4 unknown.

    Example: siskindale bundle roll signed.json --settings settings.json
    """
    name = operator or getpass.getuser()
    return bundles.roll(_create_console(context, json), file, settings, name, timeout, roll_id)


@bundle_app.command("show")
def show(
    context: typer.Context,
    settings: SettingsFile,
    at: Annotated[int | None, typer.Option("--at", help="Version; the head if omitted.")] = None,
    roll: Annotated[str | None, typer.Option("--roll", help="Id of a roll.")] = None,
    full: Annotated[bool, typer.Option("--full", help="Print the whole bundle.")] = False,
    json: JsonFlag = False,
) -> ExitStatus:
    """Show the bundle in effect, an older version, or whether a roll took effect.

    Example: siskindale bundle show --settings settings.json --at 7 --full
    """
    return bundles.show(_create_console(context, json), settings, at, roll, full)


@bundle_app.command("history")
def history(
    context: typer.Context,
    settings: SettingsFile,
    limit: Annotated[int, typer.Option(help="Number of rolls.", min=1)] = 20,
    json: JsonFlag = False,
) -> ExitStatus:
    """List the latest rolls, newest first.

    Example: siskindale bundle history --settings settings.json --limit 5 --json
    """
    return bundles.history(_create_console(context, json), settings, limit)


@app.command("status")
def status(
    context: typer.Context,
    settings: OptionalSettings = None,
    address: Annotated[
        list[str] | None, typer.Option("--address", help="Health address IP:PORT; repeatable.")
    ] = None,
    timeout: Annotated[float, typer.Option(help="Seconds for each request.", min=0.1)] = 2.0,
    json: JsonFlag = False,
) -> ExitStatus:
    """Query the health addresses of programs; exit status 1 unless all are ready.

    Example: siskindale status --settings settings.json --address 127.0.0.1:31112
    """
    console = _create_console(context, json)
    return status_commands.status(console, settings, address or [], timeout)


@app.command("audit")
def audit(
    context: typer.Context,
    settings: SettingsFile,
    verify: Annotated[bool, typer.Option("--verify", help="Verify the hash chain.")] = False,
    json: JsonFlag = False,
) -> ExitStatus:
    """List the audit rows, or detect changed, missing and reordered ones.

    Example: siskindale audit --verify --settings settings.json
    """
    return status_commands.show_audit(_create_console(context, json), settings, verify)


@app.command("check-settings")
def check_settings(context: typer.Context, file: Path) -> ExitStatus:
    """Print every problem of a settings file.

    Example: siskindale check-settings settings.json
    """
    return check_settings_file(file, context.obj)


@key_app.command("new")
def new_key(
    context: typer.Context,
    signer: Annotated[str, typer.Argument(help="Name of the operator.")],
    out: Annotated[Path, typer.Option("--out", help="New key file, readable by its owner only.")],
) -> ExitStatus:
    """Create an Ed25519 key pair and print its entry for $.trust.signers of the settings.

    Example: siskindale key new vesela --out vesela.key
    """
    key = keys.create(signer)
    keys.write(key, out)
    entry = f'{{"name": "{key.signer}", "public_key": "{key.public_key}"}}'
    _create_console(context).print_text(entry)
    return ExitStatus.SUCCESS
