"""Runs the `siskindale` command of operators."""

import sys

from siskindale import core
from siskindale.context import Environment


def main() -> None:
    """Entry point of the installed `siskindale` command."""
    sys.exit(core.main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    main()
