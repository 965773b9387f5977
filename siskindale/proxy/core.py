"""Entry points of the session proxy: the command line, and serving without it."""

import socket
from collections.abc import Sequence
from os import PathLike

from returns.result import Failure

from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.proxy.listening import AddressUnavailableError
from siskindale.proxy.settings import load_settings


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Parses the command line, then serves or runs a command."""
    from siskindale.proxy import commands

    return commands.main(args, env)


def serve(
    path: str | PathLike[str], env: Environment, listener: socket.socket | None = None
) -> ExitStatus:
    """Runs the session proxy until it is stopped; returns an error for invalid settings.

    `listener` is the socket for clients if it is already open.
    """
    from siskindale.proxy import program

    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        for finding in loaded.failure():
            print(f"{env.program}: error: {finding}", file=env.stderr)
        return ExitStatus.INVALID_INPUT
    try:
        return program.run(loaded.unwrap(), env, lambda: load_settings(path), listener)
    except AddressUnavailableError as error:
        print(f"{env.program}: error: {error}", file=env.stderr)
        return ExitStatus.ERROR
