"""Entry point of `siskindale-proxy`."""

import gc

# Collections during the imports would find nothing and take a tenth of the time to start.
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
        # They would end the process, or be lost, until the program handles them.
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
        listener = listening.listen(path)

    from siskindale.context import Environment
    from siskindale.proxy import core

    env = Environment(program="siskindale-proxy")
    sys.exit(core.serve(path, env, listener) if path else core.main(args, env))


def _settings_path(args: list[str]) -> str:
    """Returns the settings file to serve with, empty if the command line has to be parsed.

    Importing the parser would double the time to start.
    """
    if not args:
        return os.environ.get(SETTINGS_VARIABLE, "")
    return args[1] if len(args) == 2 and args[0] == "--settings" else ""


if __name__ == "__main__":
    main()
