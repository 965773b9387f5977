"""Main function of the `siskindale` command."""

from collections.abc import Sequence

from siskindale.cli.app import app
from siskindale.cli.command import CommandError
from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.runtime.commands import invoke, print_errors

PROGRAM_NAME = "siskindale"


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the command; `args` does not include the program name."""
    env.program = PROGRAM_NAME
    try:
        return invoke(app, args, env)
    except CommandError as error:
        print_errors(env, error.problems)
        return error.status
