"""Command line of the session proxy."""

import os
import signal
from collections.abc import Sequence
from pathlib import Path

from returns.result import Failure

from siskindale.context import Environment
from siskindale.exits import ExitStatus

USAGE = "usage: siskindale-proxy [--settings FILE] [--check] [--version]"


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the session proxy, or checks its settings."""
    # Until handlers are set, these signals would end the process.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    from siskindale.platform.settings import SETTINGS_VARIABLE, load_settings
    from siskindale.proxy import program

    loaded = load_settings(Path(os.environ.get(SETTINGS_VARIABLE, "")))
    if isinstance(loaded, Failure):
        for finding in loaded.failure():
            print(f"{env.program}: error: {finding}", file=env.stderr)
        return ExitStatus.INVALID_INPUT
    return program.run(loaded.unwrap(), env)
