"""Command line of the session proxy."""

import socket
from collections.abc import Sequence
from os import PathLike

from returns.result import Failure

from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.proxy.settings import load_settings


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the session proxy, or a command on its settings."""
    from siskindale.proxy import commands

    return commands.main(args, env)


def serve(
    path: str | PathLike[str], env: Environment, listener: socket.socket | None = None
) -> ExitStatus:
    """Runs the session proxy with a settings file until it has drained.

    `listener` is the socket for clients, if it is open already.
    """
    from siskindale.proxy import program

    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        for finding in loaded.failure():
            print(f"{env.program}: error: {finding}", file=env.stderr)
        return ExitStatus.INVALID_INPUT
    return program.run(loaded.unwrap(), env, lambda: load_settings(path), listener)
