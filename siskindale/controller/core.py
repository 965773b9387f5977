"""Command line of the controller."""

from collections.abc import Sequence

from siskindale.context import Environment
from siskindale.controller.program import ControllerService
from siskindale.exits import ExitStatus
from siskindale.models.settings import Settings
from siskindale.runtime import program
from siskindale.runtime.commands import create_program_app, invoke

SUMMARY = "Detects failed primaries and replaces them; lets targets join and leave."


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the controller or checks its settings."""
    return invoke(create_program_app(serve, SUMMARY), args, env)


def serve(settings: Settings, env: Environment) -> ExitStatus:
    """Runs the controller until it has drained."""
    return program.run(program.ProgramKind.CONTROLLER, ControllerService, settings, env)
