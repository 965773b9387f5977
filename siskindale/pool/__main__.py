"""Entry point of `siskindale-pool`."""

import sys

from siskindale.context import Environment
from siskindale.pool import core


def main() -> None:
    """Runs the program and exits with its status."""
    sys.exit(core.main(sys.argv[1:], Environment(program="siskindale-pool")))


if __name__ == "__main__":
    main()
