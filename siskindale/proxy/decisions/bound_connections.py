"""Which connections are opened and closed where each one serves a single workspace.

Load pattern: many workspaces share targets that admit fewer connections than there are workspaces.
A few of them have most of the load, and most send a statement every few seconds. Opening a
connection takes a slot for about as long as a statement does, so each connection should be used
again as often as possible.
"""

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from siskindale.proxy.decisions.connections import RESERVED_CONNECTIONS
from siskindale.proxy.tables import Target

if TYPE_CHECKING:
    from siskindale.proxy.connection import TargetConnection

# The start of a session takes a slot of the target for 12 ms, and a round trip.
OPENING_S = 0.015
MAX_OPENING = 2
# A connection is not taken from a workspace that has just used it, so that two workspaces do not
# take one connection from each other in turns.
MIN_IDLE_S = 0.05
# Longer than the pauses of a workspace that sends a statement every few seconds.
IDLE_TIMEOUT_S = 20.0
INTERVAL_SAMPLE_WEIGHT = 0.3


def connection_limit(max_connections: int, owner_count: int) -> int:
    """Returns how many connections to a target an owner may hold.

    The share of one more owner stays free: the target still counts the connections of a lost owner
    while those that take over from it open theirs.
    """
    return max(1, (max_connections - RESERVED_CONNECTIONS) // (owner_count + 1))


def needs_connection(
    target: Target, workspace: str, waiting_count: int, latency_s: float, now: float
) -> bool:
    """Returns whether `waiting_count` statements of a workspace get one more connection.

    They wait for a connection that is in use if it will be free before a new one is open.
    """
    opening_count = target.opening_workspaces.count(workspace)
    if target.closed or now < target.next_open_at or target.opening_count >= MAX_OPENING:
        return False
    if opening_count >= waiting_count:
        return False
    running_count = sum(
        connection.in_use and not connection.resting
        for connection in target.connections_of(workspace)
    )
    return not running_count or latency_s * waiting_count / running_count > OPENING_S


def connection_to_replace(
    target: Target, waiting_workspaces: Iterable[str], now: float
) -> "TargetConnection | None":
    """Returns the idle connection that is closed for another workspace, None if all are needed.

    It is the one whose workspace is expected to need it last.
    """
    waiting = set(waiting_workspaces)
    replaceable = [
        connection
        for connection in target.idle_connections
        if now - connection.used_at >= MIN_IDLE_S and connection.workspace not in waiting
    ]
    return max(
        replaceable,
        key=lambda c: _expected_idle_time(target, c, now),
        default=None,
    )


def expired(target: Target, now: float) -> "Sequence[TargetConnection]":
    """Returns the idle connections of workspaces that have not used them for long."""
    return [
        connection
        for connection in target.idle_connections
        if connection.workspace and now - connection.used_at >= IDLE_TIMEOUT_S
    ]


def note_use(target: Target, workspace: str, now: float) -> None:
    """Records that a workspace runs a statement at a target."""
    last_at, interval_s = target.use_intervals.get(workspace, (now, IDLE_TIMEOUT_S))
    interval_s += INTERVAL_SAMPLE_WEIGHT * (now - last_at - interval_s)
    target.use_intervals[workspace] = (now, interval_s)


def _expected_idle_time(target: Target, connection: "TargetConnection", now: float) -> float:
    """Returns how long a connection is expected to stay idle from now on, in seconds."""
    _, interval_s = target.use_intervals.get(connection.workspace, (now, IDLE_TIMEOUT_S))
    idle_count = sum(c.workspace == connection.workspace for c in target.idle_connections)
    return max(interval_s, now - connection.used_at) * idle_count
