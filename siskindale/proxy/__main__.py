"""Entry point of `siskindale-proxy`."""

import gc

# Collections during the imports would find nothing and take a tenth of the time to start.
gc.disable()

import sys  # noqa: E402

from siskindale.context import Environment  # noqa: E402
from siskindale.proxy import core  # noqa: E402


def main() -> None:
    """Runs the program and exits with its status."""
    sys.exit(core.main(sys.argv[1:], Environment(program="siskindale-proxy")))


if __name__ == "__main__":
    main()
