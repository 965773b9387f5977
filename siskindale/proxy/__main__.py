"""Entry point of `siskindale-proxy`."""

import gc

# Garbage collection during the imports would free nothing and take a tenth of the start time.
gc.disable()

import os  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

from siskindale.proxy import listening  # noqa: E402

SETTINGS_VARIABLE = "SISKINDALE_SETTINGS"


def main() -> None:
    """Runs the program and exits with its status."""
    args = sys.argv[1:]
    path = _settings_path(args)
    listener = None
    if path:
        # Until the program installs its handlers, signals would end the process or be lost.
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
        listener = listening.listen(path)

    from siskindale.context import Environment
    from siskindale.proxy import core

    env = Environment(program="siskindale-proxy")
    sys.exit(core.serve(path, env, listener) if path else core.main(args, env))


def _settings_path(args: list[str]) -> str:
    """Returns the settings file to serve with, empty if the command line must be parsed.

    Importing the parser of the command line would double the start time.
    """
    if not args:
        return os.environ.get(SETTINGS_VARIABLE, "")
    return args[1] if len(args) == 2 and args[0] == "--settings" else ""


if __name__ == "__main__":
    main()
