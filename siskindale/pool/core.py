"""Command line of the pool."""

from collections.abc import Sequence

from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.models.settings import Settings
from siskindale.pool.program import PoolService
from siskindale.runtime import program
from siskindale.runtime.commands import create_program_app, invoke

SUMMARY = "Holds the connections to targets; admits, routes and acknowledges statements."


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the pool or checks its settings."""
    return invoke(create_program_app(serve, SUMMARY), args, env)


def serve(settings: Settings, env: Environment) -> ExitStatus:
    """Runs the pool until it has drained."""
    return program.run(program.ProgramKind.POOL, PoolService, settings, env)
