"""Connections: opens the pool's share in advance, reserves connections and closes them."""

from random import Random

from siskindale.pool.effects import (
    CloseConnection,
    ConnectionFailed,
    ConnectionLost,
    ConnectionOpened,
    Effect,
    OpenConnection,
)
from siskindale.pool.stages import QueueKind, TimerKind
from siskindale.pool.systems import timers
from siskindale.pool.tables import ConnectionRow, GroupRow, RequestRow, Tables, TargetRow
from siskindale.targets.interface import TargetFailure

MAX_OPENING_CONNECTIONS = 4
OPEN_RETRY_MIN_S = 0.05
OPEN_RETRY_MAX_S = 1.0
# Short, because a pool that hands over its work soon closes its connections.
LIMIT_RETRY_S = 0.2
# A leaving primary keeps taking new work until the planned promotion. The directory may report that
# it leaves only after 2 s, and the target must get no new work after 3 s.
LEAVING_PRIMARY_GRACE_S = 0.8
SERVICE_TIME_RISE_WEIGHT = 0.1
# The expected wait must fall quickly after a hang, or requests are refused needlessly.
SERVICE_TIME_FALL_WEIGHT = 0.3


def pool_share(limit: int, pools: int, rank: int) -> int:
    """Returns the share of a limit that the pool of this rank may use; at least 1.

    The target enforces the limit itself, so a pool without a share may still try to use one.
    """
    return max(1, limit // pools + (1 if rank < limit % pools else 0))


def accepts_new_work(tables: Tables, target: TargetRow, now: float) -> bool:
    """Whether a target gets new work: a leaving replica does not, a leaving primary for a while."""
    if target.leaving_since is None:
        return True
    if tables.degraded or target.group.primary is not target:
        return False
    return now - target.leaving_since < LEAVING_PRIMARY_GRACE_S


def has_capacity(target: TargetRow) -> bool:
    """Whether the target has a free slot and an idle connection."""
    return bool(target.idle_connections) and target.running_batches < target.slots


def has_read_capacity(target: TargetRow) -> bool:
    """Whether the target can take a read; one read may run even if writes occupy all slots.

    Writes may wait for a lock of an idle transaction, which would otherwise block all reads.
    """
    return has_capacity(target) or (bool(target.idle_connections) and not target.running_reads)


def take_idle(target: TargetRow) -> ConnectionRow:
    """Takes an idle connection to start a batch on."""
    return target.idle_connections.pop()


def mark_running(connection: ConnectionRow, request: RequestRow) -> None:
    """Marks a connection as running a batch of a request."""
    connection.busy = True
    connection.request = request
    request.connection = connection
    connection.target.running_batches += 1
    connection.target.running_reads += request.queue_kind is not QueueKind.WRITE


def mark_finished(connection: ConnectionRow, now: float) -> None:
    """Marks the batch as ended and updates the service time; the connection stays reserved."""
    target, request = connection.target, connection.request
    _mark_not_running(connection)
    if request is not None:
        change = now - request.batch_sent_at - target.service_time_s
        target.service_time_s += change * (
            SERVICE_TIME_FALL_WEIGHT if change < 0 else SERVICE_TIME_RISE_WEIGHT
        )


def _mark_not_running(connection: ConnectionRow) -> None:
    target, request = connection.target, connection.request
    connection.busy = False
    target.running_batches -= 1
    target.running_reads -= request is not None and request.queue_kind is not QueueKind.WRITE


def release(tables: Tables, connection: ConnectionRow) -> list[Effect]:
    """Returns a connection that is not in a transaction to the idle ones.

    Its last batch has ended. Whether the target has closed the connection shows at its next use,
    because a check each time would cost as much as a part of the request.
    """
    connection.request = None
    connection.transaction = None
    if connection.closed:
        return []
    target = connection.target
    if target.group.targets.get(target.name) is not target:
        return close(tables, connection)
    target.idle_connections.append(connection)
    tables.mark_dirty(target.group)
    return []


def close_lost(tables: Tables, event: ConnectionLost) -> list[Effect]:
    """Drops an idle connection that the target has closed, so that another one is opened."""
    connection = event.connection
    idle = not connection.busy and connection.transaction is None
    return close(tables, connection) if idle else []


def close(tables: Tables, connection: ConnectionRow) -> list[Effect]:
    """Closes a connection in any state; the target rolls back its open transaction."""
    if connection.closed:
        return []
    target = connection.target
    if connection.busy:
        _mark_not_running(connection)
    connection.closed = True
    connection.request = None
    target.open_connections.pop(connection.number, None)
    tables.connections.pop(connection.number, None)
    if connection in target.idle_connections:
        target.idle_connections.remove(connection)
    tables.mark_dirty(target.group)
    return [CloseConnection(connection)]


def add_opened(tables: Tables, event: ConnectionOpened) -> list[Effect]:
    """Adds a newly opened connection."""
    target = event.target
    target.opening_connections -= 1
    target.consecutive_failures = 0
    connection = ConnectionRow(tables.next_number(), target, event.handle)
    target.open_connections[connection.number] = connection
    tables.connections[connection.number] = connection
    if target.group.targets.get(target.name) is not target:
        return close(tables, connection)
    target.idle_connections.append(connection)
    tables.mark_dirty(target.group)
    return []


def delay_next_open(
    tables: Tables, event: ConnectionFailed, now: float, random: Random
) -> list[Effect]:
    """Delays the next attempt, with a fixed delay while other pools hold the connections."""
    target = event.target
    target.opening_connections -= 1
    target.consecutive_failures += 1
    delay = min(OPEN_RETRY_MAX_S, OPEN_RETRY_MIN_S * 2 ** min(target.consecutive_failures, 8))
    if event.error.kind is TargetFailure.LIMIT:
        delay = LIMIT_RETRY_S
    target.next_open_at = now + delay * random.uniform(0.5, 1.0)
    timers.schedule(tables, target.next_open_at, TimerKind.OPEN, target.group)
    return []


def maintain(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    """Opens missing connections in advance and closes surplus idle ones."""
    effects: list[Effect] = []
    queued = any(
        queue.queued_count for by_class in group.queues.values() for queue in by_class.values()
    )
    for target in group.targets.values():
        wanted = target.max_connections if accepts_new_work(tables, target, now) else 0
        if tables.draining and not queued:
            # The pool that takes over needs the connections; work in progress keeps its own.
            wanted = 0
        surplus = len(target.open_connections) - wanted
        while surplus > 0 and target.idle_connections:
            effects += close(tables, target.idle_connections[-1])
            surplus -= 1
        if now < target.next_open_at:
            continue
        missing = min(
            -surplus - target.opening_connections,
            MAX_OPENING_CONNECTIONS - target.opening_connections,
        )
        for _ in range(missing):
            target.opening_connections += 1
            effects.append(OpenConnection(target))
    return effects


def release_from_request(tables: Tables, request: RequestRow) -> list[Effect]:
    """Releases the connection of a request, if it has one."""
    connection, request.connection = request.connection, None
    return release(tables, connection) if connection is not None else []
