"""Tests of connections that serve a single workspace each."""

from random import Random

import attrs
import pytest

from siskindale.models.group import LogPosition
from siskindale.proxy.decisions import bound_connections, placement
from siskindale.proxy.tables import Group, Need, Target

MAX_CONNECTIONS = 63


@attrs.define(eq=False)
class FakeConnection:
    """A connection, with the attributes that the decisions read."""

    workspace: str
    used_at: float = 0.0
    in_use: bool = False
    resting: bool = False


def add(target: Target, connection: FakeConnection) -> FakeConnection:
    target.bound_connections.setdefault(connection.workspace, []).append(connection)  # type: ignore
    if not connection.in_use:
        target.idle_connections.append(connection)  # type: ignore[arg-type]
    target.open_count += 1
    return connection


def remove(target: Target, connection: FakeConnection) -> None:
    target.idle_connections.remove(connection)  # type: ignore[arg-type]
    target.bound_connections[connection.workspace].remove(connection)  # type: ignore[arg-type]
    target.open_count -= 1


def test_all_owners_and_a_successor_stay_within_the_limit() -> None:
    """Guards against refused connections while those of a lost owner still count."""
    for owners in (1, 2, 3, 6):
        held = bound_connections.connection_limit(MAX_CONNECTIONS, owners)
        assert held * (owners + 1) <= MAX_CONNECTIONS


def test_a_statement_waits_for_a_connection_that_is_free_sooner(group: Group) -> None:
    """Guards against an opening, which takes a slot, where waiting would be shorter."""
    target = group.targets["a"]
    for _ in range(4):
        add(target, FakeConnection("w", in_use=True))
    assert not bound_connections.needs_connection(target, "w", 1, latency_s=0.024, now=1.0)
    assert bound_connections.needs_connection(target, "w", 9, latency_s=0.024, now=1.0)


def test_connections_of_resting_transactions_are_not_waited_for(group: Group) -> None:
    """Guards against a workspace that waits for its own transactions, whose clients rest."""
    target = group.targets["a"]
    for _ in range(4):
        add(target, FakeConnection("w", in_use=True, resting=True))
    assert bound_connections.needs_connection(target, "w", 1, latency_s=0.024, now=1.0)


def test_openings_are_limited(group: Group) -> None:
    """Guards against slots that are all taken by new connections after a restart."""
    target = group.targets["a"]
    target.opening_workspaces = ["w"]
    target.opening_count = 1
    assert not bound_connections.needs_connection(target, "w", 1, 0.024, 1.0)
    assert bound_connections.needs_connection(target, "v", 1, 0.024, 1.0)
    target.opening_count = bound_connections.MAX_OPENING
    assert not bound_connections.needs_connection(target, "v", 1, 0.024, 1.0)


def test_no_connection_is_taken_from_a_workspace_that_needs_it(group: Group) -> None:
    """Guards against two workspaces that take one connection from each other in turns."""
    target = group.targets["a"]
    add(target, FakeConnection("waiting", used_at=0.0))
    add(target, FakeConnection("just-used", used_at=0.99))
    assert bound_connections.connection_to_replace(target, ["waiting"], now=1.0) is None


@pytest.mark.parametrize("workspaces", [28, 42])
def test_most_statements_find_a_connection_of_their_workspace(
    group: Group, workspaces: int
) -> None:
    """Guards against closing connections that are needed again at once.

    More workspaces than connections, each a tenth less busy than the one before it. The rule must
    not open more connections than closing the one that was used least recently.
    """
    opened = {"expected": 0, "oldest": 0}
    limit = bound_connections.connection_limit(MAX_CONNECTIONS, 3)
    names = [f"w{number}" for number in range(workspaces)]
    weights = [0.85**number for number in range(workspaces)]
    for rule in opened:
        random = Random(7)
        target = Target(group.targets["a"].entry)
        now = 0.0
        for _ in range(4000):
            now += random.expovariate(30.0)
            name = random.choices(names, weights)[0]
            bound_connections.note_use(target, name, now)
            found = target.connections_of(name)
            if found:
                found[0].used_at = now
                continue
            opened[rule] += 1
            if target.open_count >= limit:
                replaced = bound_connections.connection_to_replace(target, [name], now)
                if rule == "oldest":
                    replaced = min(target.idle_connections, key=lambda c: c.used_at)
                assert replaced is not None
                remove(target, replaced)  # type: ignore[arg-type]
            add(target, FakeConnection(name, used_at=now))
    assert opened["expected"] <= opened["oldest"]
    assert opened["expected"] < 4000 / 8


def test_reads_stay_at_targets_where_the_workspace_has_connections(group: Group) -> None:
    """Guards against a workspace that opens connections to all targets of a group."""
    need = Need(LogPosition(1, 1), 1, 9.0, primary_only=False, objective_at=8.0, workspace="w")
    add(group.targets["c"], FakeConnection("w"))
    first = placement.candidates(group, need, (), "nowhere", 0.0, 7.0, Random(1))[0]
    assert first is group.targets["c"]
    first.in_flight = 6
    assert placement.candidates(group, need, (), "nowhere", 0.0, 7.0, Random(1))[0] is not first


def test_workspaces_without_connections_spread_over_replicas(group: Group) -> None:
    """Guards against all workspaces choosing the same replica after a restart."""
    chosen = {
        placement.candidates(
            group,
            Need(LogPosition(1, 1), 1, 9.0, False, 8.0, f"w{number}"),
            (),
            "x",
            0.0,
            7.0,
            Random(1),
        )[0].id
        for number in range(20)
    }
    assert chosen >= {"b", "c"}
