"""Starts `siskindale-entry`."""

import sys

from siskindale.context import Environment
from siskindale.entry import core


def main() -> None:
    """Entry point of the installed command."""
    sys.exit(core.main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    main()
