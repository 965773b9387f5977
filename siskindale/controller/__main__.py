"""Entry point of `siskindale-controller`."""

import sys

from siskindale.context import Environment
from siskindale.controller import core


def main() -> None:
    """Runs the program and exits with its status."""
    sys.exit(core.main(sys.argv[1:], Environment(program="siskindale-controller")))


if __name__ == "__main__":
    main()
