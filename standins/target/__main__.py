"""Stand-in for one target of a database group, on SQLite."""

from pathlib import Path
from typing import Annotated

import typer

from siskindale.models.address import Address
from siskindale.models.group import Role
from standins.server import parse_address, serve_until_signal
from standins.target.api import ControlServer, DataServer, Limits
from standins.target.replication import Replicator, TargetFaults
from standins.target.sessions import Engine, Slots
from standins.target.storage import State, Storage


def parse_peers(text: str) -> dict[str, Address]:
    """Returns the control addresses of `name=HOST:PORT,...`."""
    pairs = (item.partition("=") for item in text.split(",") if item)
    return {name: parse_address(address) for name, _, address in pairs}


def initialise(
    storage: Storage, primary: str, voters: tuple[str, ...], peers: dict[str, Address]
) -> None:
    """Gives an empty target the first term, identical on all initial targets of a group."""
    if not storage.empty or not primary:
        return
    if primary == storage.name:
        storage.enter_with_marker(State(1, Role.PRIMARY), voters)
    else:
        storage.enter_with_marker(State(1, Role.REPLICA, primary, peers[primary]), voters)


def run(
    name: Annotated[str, typer.Option()],
    group: Annotated[str, typer.Option()],
    data: Annotated[str, typer.Option()],
    control: Annotated[str, typer.Option()],
    directory: Annotated[Path, typer.Option("--dir")],
    peers: str = "",
    slots: int = 2,
    connections: int = 16,
    connect_ms: float = 10.0,
    ship_lag_ms: float = 0.0,
    apply_lag_ms: float = 0.0,
    initial_primary: str = "",
    voters: str = "",
    idle_timeout_s: float = 30.0,
    network_ms: float = 0.0,
) -> None:
    """Runs one target; `--peers` holds the control addresses of the group's targets.

    Without `--initial-primary` an empty target joins: it waits for `follow`. Replication repeats
    statements, so that writes must not depend on random numbers or the time.
    """
    directory.mkdir(parents=True, exist_ok=True)
    storage = Storage(name, directory / f"{group}-{name}.sqlite")
    voting = tuple(voter for voter in voters.split(",") if voter)
    initialise(storage, initial_primary, voting, parse_peers(peers))
    faults = TargetFaults(ship_lag_ms=ship_lag_ms, apply_lag_ms=apply_lag_ms)
    limits = Limits(connections, connect_ms, idle_timeout_s, network_ms)
    engine = Engine(storage, Slots(slots))
    data_server = DataServer(parse_address(data), engine, limits, faults)
    control_server = ControlServer(parse_address(control), engine, limits, faults)
    control_server.data_server = data_server
    Replicator(storage, faults).start()
    serve_until_signal([data_server, control_server])


if __name__ == "__main__":
    typer.run(run)
