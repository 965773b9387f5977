"""Command lines shared by the programs."""

import io
import json
from pathlib import Path
from typing import Any

import attrs
import pytest

from siskindale import __version__
from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.models.settings import Settings
from siskindale.runtime.commands import create_program_app, invoke
from tests.fakes.settings import vm_settings

SETTINGS: dict[str, Any] = attrs.asdict(vm_settings())


def run_command_line(*args: str) -> tuple[ExitStatus, str, str]:
    """Runs the command line of a program that only reports that it was started."""

    def serve(settings: Settings, env: Environment) -> ExitStatus:
        print(f"served {settings.vm}", file=env.stdout)
        return ExitStatus.SUCCESS

    env = Environment(stdout=io.StringIO(), stderr=io.StringIO(), program="siskindale-entry")
    status = invoke(create_program_app(serve, "Summary."), args, env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()  # type: ignore[attr-defined]


def write_settings(path: Path, **changes: Any) -> str:
    """Writes the settings with changes and returns the path of the file."""
    path.write_text(json.dumps(SETTINGS | changes))
    return str(path)


def test_valid_settings_are_served_and_pass_the_check(tmp_path: Path) -> None:
    """Guards against `check-settings` and the program accepting different settings."""
    valid_file = write_settings(tmp_path / "settings.json")
    assert run_command_line("--settings", valid_file) == (ExitStatus.SUCCESS, "served vm0\n", "")
    assert run_command_line("check-settings", valid_file) == (
        ExitStatus.SUCCESS,
        f"{valid_file}: ok\n",
        "",
    )


@pytest.mark.parametrize("command", ["--settings", "check-settings"])
def test_invalid_settings_print_every_finding(tmp_path: Path, command: str) -> None:
    """Guards against reporting only the first problem, and against tracebacks."""
    invalid_file = write_settings(
        tmp_path / "settings.json", vm=None, pool={"inbox": SETTINGS["pool"]["inbox"]}, color="red"
    )
    status, _, errors = run_command_line(command, invalid_file)
    assert status == ExitStatus.INVALID_INPUT
    assert len(errors.splitlines()) >= 2
    assert all(line.startswith("siskindale-entry: error: ") for line in errors.splitlines())


def test_values_are_checked(tmp_path: Path) -> None:
    """Guards against settings with valid types but unusable values."""
    entry = SETTINGS["entry"] | {"max_deadline_ms": 1, "max_callers": 0}
    entry["listen"] = {"host": "entry.example", "port": 0}
    invalid_file = write_settings(
        tmp_path / "settings.json",
        entry=entry,
        pool=SETTINGS["pool"] | {"inbox": SETTINGS["entry"]["inbox"], "target_driver": "grpc"},
        session_keys=[{"id": "a", "secret": "00"}, {"id": "a", "secret": "zz" * 32}],
        trust=SETTINGS["trust"] | {"required_signatures": 3},
        log_level="loud",
        vm="vm/0",
    )
    status, _, errors = run_command_line("check-settings", invalid_file)
    assert status == ExitStatus.INVALID_INPUT
    assert len(errors.splitlines()) == 12
    assert "$.pool.inbox: address '127.0.0.1:20001' is already used at $.entry.inbox" in errors


def test_unknown_driver_is_a_finding(tmp_path: Path) -> None:
    """Guards against a traceback for a driver that does not exist."""
    invalid_file = write_settings(
        tmp_path / "settings.json",
        platform=SETTINGS["platform"] | {"driver": "htpp"},
        pool=SETTINGS["pool"] | {"target_driver": "grpc"},
    )
    status, _, errors = run_command_line("--settings", invalid_file)
    assert status == ExitStatus.INVALID_INPUT
    assert "$.platform.driver: unknown driver 'htpp'; did you mean 'http'?" in errors
    assert "$.pool.target_driver: unknown driver 'grpc'; known: http" in errors


@pytest.mark.parametrize("args", [[], ["--sttings", "x"], ["check-settings"], ["--settings", "/x"]])
def test_invalid_command_line_prints_one_line(args: list[str]) -> None:
    """Guards against a traceback for a mistyped command line."""
    status, _, errors = run_command_line(*args)
    assert status == ExitStatus.INVALID_INPUT
    assert errors.startswith("siskindale-entry: error: ")


def test_version_and_help() -> None:
    """Guards against a version number that only the package metadata contains."""
    assert run_command_line("--version") == (ExitStatus.SUCCESS, f"{__version__}\n", "")
    assert "check-settings" in run_command_line("--help")[1]
