"""Entry point of `siskindale-proxy`."""

import sys

from siskindale.context import Environment
from siskindale.proxy import core


def main() -> None:
    """Runs the program and exits with its status."""
    sys.exit(core.main(sys.argv[1:], Environment(program="siskindale-proxy")))


if __name__ == "__main__":
    main()
