"""Runs a stand-in for one target of a database group, based on SQLite."""

from pathlib import Path
from typing import Annotated

import typer

from siskindale.models.address import Address
from siskindale.models.group import Role
from standins.server import parse_address, serve_until_signal
from standins.target.api import ControlServer, DataServer, TargetLimits
from standins.target.replication import Replicator, TargetFaults
from standins.target.sessions import FifoSemaphore, TargetResources
from standins.target.storage import State, Storage


def parse_peers(text: str) -> dict[str, Address]:
    """Parses control addresses given as `name=HOST:PORT,...`."""
    pairs = (item.partition("=") for item in text.split(",") if item)
    return {name: parse_address(address) for name, _, address in pairs}


def store_first_term(
    storage: Storage, primary: str, voters: tuple[str, ...], peers: dict[str, Address]
) -> None:
    """Stores the first term in an empty target; all initial targets of a group store the same."""
    if not storage.is_empty or not primary:
        return
    if primary == storage.name:
        storage.store_state_with_marker(State(1, Role.PRIMARY), voters)
    else:
        storage.store_state_with_marker(State(1, Role.REPLICA, primary, peers[primary]), voters)


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

    Without `--initial-primary`, an empty target waits for a `/follow` request to join the group.
    Replication re-executes statements, so writes must not depend on random numbers or the time.
    """
    directory.mkdir(parents=True, exist_ok=True)
    storage = Storage(name, directory / f"{group}-{name}.sqlite")
    voter_names = tuple(voter for voter in voters.split(",") if voter)
    store_first_term(storage, initial_primary, voter_names, parse_peers(peers))
    faults = TargetFaults(ship_lag_ms=ship_lag_ms, apply_lag_ms=apply_lag_ms)
    limits = TargetLimits(connections, connect_ms, idle_timeout_s, network_ms)
    resources = TargetResources(storage, FifoSemaphore(slots))
    data_server = DataServer(parse_address(data), resources, limits, faults)
    control_server = ControlServer(parse_address(control), resources, limits, faults)
    control_server.data_server = data_server
    Replicator(storage, faults).start()
    serve_until_signal([data_server, control_server])


if __name__ == "__main__":
    typer.run(run)
