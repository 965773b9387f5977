"""Command line of the controller."""

from collections.abc import Sequence

from siskindale.context import Environment
from siskindale.controller.program import ControllerService
from siskindale.exits import ExitStatus
from siskindale.models.settings import Settings
from siskindale.runtime import program
from siskindale.runtime.commands import invoke, program_app

SUMMARY = "Detects failed primaries and replaces them; lets targets join and leave."


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the controller or checks its settings."""
    return invoke(program_app(serve, SUMMARY), args, env)


def serve(settings: Settings, env: Environment) -> ExitStatus:
    """Runs the controller until it has drained."""
    return program.run(program.Kind.CONTROLLER, ControllerService, settings, env)
