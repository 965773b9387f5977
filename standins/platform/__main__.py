"""Runs the stand-in for the platform, with its three services on one address."""

from typing import Annotated

import typer

from standins.platform.api import PlatformServers
from standins.server import parse_address, serve_until_signal


def run(
    listen: Annotated[str, typer.Option(help="HOST:PORT of the three services.")],
    admin: Annotated[str, typer.Option(help="HOST:PORT of /faults and /live.")],
) -> None:
    """Runs the platform; its state is lost when the process ends."""
    servers = PlatformServers(parse_address(listen), parse_address(admin))
    servers.start()
    serve_until_signal([servers.admin])


if __name__ == "__main__":
    typer.run(run)
