"""Command line of the session proxy."""

import os
import signal
from collections.abc import Sequence
from os import PathLike

from returns.result import Failure

from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.proxy.settings import SETTINGS_VARIABLE, load_settings


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the session proxy, or checks its settings."""
    # Until the program handles them, these signals would end the process.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    if args:
        # Parsing of a command line is imported when needed: it would double the time to start.
        from siskindale.proxy import commands

        return commands.main(args, env)
    return serve(os.environ.get(SETTINGS_VARIABLE, ""), env)


def serve(path: str | PathLike[str], env: Environment) -> ExitStatus:
    """Runs the session proxy with a settings file until it has drained."""
    from siskindale.proxy import program

    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        for finding in loaded.failure():
            print(f"{env.program}: error: {finding}", file=env.stderr)
        return ExitStatus.INVALID_INPUT
    return program.run(loaded.unwrap(), env, lambda: load_settings(path))
