"""Main function of the operators' command."""

from collections.abc import Sequence

from siskindale.cli.app import app
from siskindale.cli.session import CommandError
from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.runtime.commands import invoke, print_errors

PROGRAM = "siskindale"


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the command with its arguments, without the program's name."""
    env.program = PROGRAM
    try:
        return invoke(app, args, env)
    except CommandError as error:
        print_errors(env, error.problems)
        return error.status
